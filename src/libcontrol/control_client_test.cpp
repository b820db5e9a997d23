#include "lovagehold/control_client.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

class ControlClientTest : public ::testing::Test
{
protected:
  ControlClientTest()
    : m_client(
        { .control_addresses = { "seed" } },
        [this](const std::string& to, const ClusterMessage&) { m_contacted.insert(to); },
        [](const StateMachine&) {})
  {
    m_client.tick(kStart);
    // The reported members of the group no longer include the seed.
    Entries entries{ .first_index = 1, .confirmed = true };
    entries.control = { { .address = "member" } };
    m_client.receive("seed", entries, kStart);
    m_contacted.clear();
  }

  void run_without_replies()
  {
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(5); now += milliseconds(50)) {
      m_client.tick(now);
    }
  }

  std::set<std::string> m_contacted;
  ControlClient m_client;
};

// Guards against a client that tries only known members, all of which were replaced while it was
// disconnected.
TEST_F(ControlClientTest, SeedsAreAskedWhenAllMembersAreSilent)
{
  run_without_replies();
  EXPECT_EQ(m_contacted, (std::set<std::string>{ "member", "seed" }));
}

// Guards against new seeds from reloaded settings that are not used.
TEST_F(ControlClientTest, ChangedSeedsAreAsked)
{
  m_client.set_seeds({ "new seed" });
  run_without_replies();
  EXPECT_EQ(m_contacted, (std::set<std::string>{ "member", "new seed" }));
}

// Guards against waiting for the whole timeout of a control host that is known to be unreachable,
// and against leaving one that is only starting.
TEST(ControlClientStart, UnreachableSeedIsLeft)
{
  std::vector<std::string> contacted;
  ControlClient client(
    { .control_addresses = { "first", "second" },
      .initial_subscription_timeout = milliseconds(1000) },
    [&](const std::string& to, const ClusterMessage&) { contacted.push_back(to); },
    [](const StateMachine&) {});
  client.tick(kStart);
  client.unreachable("first", kStart + milliseconds(50));
  client.unreachable("second", kStart + milliseconds(300));
  EXPECT_EQ(contacted, std::vector<std::string>{ "first" });
  client.unreachable("first", kStart + milliseconds(300));
  EXPECT_EQ(contacted.back(), "second");
  const std::size_t count = contacted.size();
  client.tick(kStart + milliseconds(301));
  client.tick(kStart + milliseconds(1299));
  EXPECT_EQ(contacted.back(), "second");
  client.tick(kStart + milliseconds(1301));
  EXPECT_EQ(contacted.back(), "first");
  EXPECT_GT(contacted.size(), count);
}

} // namespace
} // namespace lovagehold
