#include "lovagehold/control_client.h"

#include <algorithm>
#include <gmock/gmock.h>
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
    { .control_addresses = { "first", "second" }, .subscription_timeout = milliseconds(1000) },
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

// Guards against proposals that wait for their resend, one after the other, when several of them
// are pending while the leader changes.
TEST(ControlClientProposals, AllRejectedProposalsAreSentToTheLeader)
{
  constexpr std::uint64_t kProposals = 3;
  std::vector<std::uint64_t> sent_to_leader;
  ControlClient client(
    { .control_addresses = { "follower" }, .follow = false, .first_request = 1 },
    [&](const std::string& to, const ClusterMessage& message) {
      if (to == "leader") {
        sent_to_leader.push_back(std::get<Propose>(message).id);
      }
    },
    [](const StateMachine&) {});
  for (std::uint64_t id = 1; id <= kProposals; ++id) {
    client.propose(
      ReplaceRouting{ .version = id }, [](const Result<ApplyResult>&) {}, kStart);
  }
  for (std::uint64_t id = 1; id <= kProposals; ++id) {
    client.receive(
      "follower", ProposeReply{ .id = id, .leader_address = "leader" }, kStart + milliseconds(20));
  }
  EXPECT_EQ(sent_to_leader, (std::vector<std::uint64_t>{ 1, 2, 3 }));
  // A rejection by the leader itself isn't answered at once.
  client.receive(
    "leader", ProposeReply{ .id = 1, .leader_address = "leader" }, kStart + milliseconds(40));
  EXPECT_EQ(sent_to_leader.size(), kProposals);
}

// A client of three control hosts, the first of which has confirmed its state at kStart. The test
// sees what it sends and answers by hand.
class ControlClientSourceTest : public ::testing::Test
{
protected:
  ControlClientSourceTest()
    : m_client(
        { .control_addresses = { "first" },
          .renew_interval = milliseconds(500),
          .max_state_age = milliseconds(1000),
          .on_source = [this](const std::string& address,
                              const char* reason) { m_followed = address + " " + reason; },
          .client = 1 },
        [this](const std::string& to, const ClusterMessage& message) {
          m_sent.emplace_back(to, message);
        },
        [](const StateMachine&) {})
  {
    m_client.tick(kStart);
    Entries entries = answer(milliseconds(0));
    entries.confirmed = true;
    entries.control = { { .address = "first" }, { .address = "second" }, { .address = "third" } };
    m_client.receive("first", entries, kStart);
    EXPECT_TRUE(m_client.ready());
    m_followed.clear();
  }

  // \return an answer to the last subscription
  Entries answer(milliseconds lag) const
  {
    Entries entries{ .first_index = 1, .lag = lag };
    for (const auto& [to, message] : m_sent) {
      if (const auto* subscribe = std::get_if<Subscribe>(&message)) {
        entries.answers = subscribe->request;
      }
    }
    return entries;
  }

  // Sends the status of a control host as the answer to the last query that it got. \return whether
  // it got one
  bool answer_query(const std::string& from, const SourceStatus& status, TimePoint now)
  {
    for (auto sent = m_sent.rbegin(); sent != m_sent.rend(); ++sent) {
      const auto* query = std::get_if<SourceQuery>(&sent->second);
      if (query != nullptr && sent->first == from) {
        SourceStatus answered = status;
        answered.answers = query->request;
        m_client.receive(from, answered, now);
        return true;
      }
    }
    return false;
  }

  std::size_t query_count() const
  {
    return static_cast<std::size_t>(
      std::count_if(m_sent.begin(), m_sent.end(), [](const auto& sent) {
        return std::holds_alternative<SourceQuery>(sent.second);
      }));
  }

  // Ticks without answers until the time.
  void run_until(TimePoint end)
  {
    for (; m_now < end; m_now += milliseconds(50)) {
      m_client.tick(m_now);
    }
  }

  TimePoint m_now = kStart;
  std::vector<std::pair<std::string, ClusterMessage>> m_sent;
  std::string m_followed;
  ControlClient m_client;
};

// Guards against a control host that answers so late that its answers tell of an old state, but is
// taken for current because it answers.
TEST_F(ControlClientSourceTest, LateAnswersDoNotMakeTheStateCurrent)
{
  run_until(kStart + milliseconds(550));
  const Entries late = answer(milliseconds(0));
  run_until(kStart + milliseconds(2000));
  m_client.receive("first", late, m_now);
  EXPECT_EQ(m_client.state_age(m_now), milliseconds(1500));
  EXPECT_GT(query_count(), 0U);
  ASSERT_TRUE(answer_query("second", {}, m_now) || answer_query("third", {}, m_now));
  EXPECT_THAT(m_followed, ::testing::EndsWith(" outdated"));
}

// Guards against a control host that is not current itself but is followed because it answers.
TEST_F(ControlClientSourceTest, ControlHostThatIsBehindIsNotFollowed)
{
  run_until(kStart + milliseconds(1500));
  const SourceStatus behind{ .lag = milliseconds(1100) };
  ASSERT_TRUE(answer_query("second", behind, m_now) && answer_query("third", behind, m_now));
  EXPECT_EQ(m_followed, "");
}

// Guards against a search that goes on, or moves the client, once its own control host is current.
TEST_F(ControlClientSourceTest, SearchEndsWhenTheSourceIsCurrent)
{
  run_until(kStart + milliseconds(1500));
  ASSERT_GT(query_count(), 0U);
  m_client.tick(m_now);
  m_client.receive("first", answer(milliseconds(50)), m_now);
  answer_query("second", {}, m_now);
  answer_query("third", {}, m_now);
  EXPECT_EQ(m_followed, "");
  const std::size_t queries = query_count();
  run_until(m_now + milliseconds(400));
  EXPECT_EQ(query_count(), queries);
}

// Guards against a search that asks for a tick at a time that has passed, which would make its
// caller spin, and against one that floods the control hosts while none of them is current.
TEST_F(ControlClientSourceTest, SearchIsBounded)
{
  unsigned ticks = 0;
  while (m_now < kStart + std::chrono::seconds(20)) {
    m_client.tick(m_now);
    ++ticks;
    ASSERT_GT(m_client.next_tick(), m_now);
    m_now = m_client.next_tick();
  }
  EXPECT_LT(ticks, 100U);
  EXPECT_LT(query_count(), 90U);
}

// Guards against waiting for the state to get old when the control host is known to be gone.
TEST_F(ControlClientSourceTest, UnreachableControlHostIsReplacedAtOnce)
{
  const TimePoint now = kStart + milliseconds(100);
  m_client.unreachable("first", now);
  ASSERT_TRUE(answer_query("second", {}, now) || answer_query("third", {}, now));
  EXPECT_THAT(m_followed, ::testing::EndsWith(" outdated"));
}

// Guards against hosts that all leave the control hosts to which they were assigned for one of
// them.
TEST(ControlClientPreference, AssignedControlHostIsPreferred)
{
  const std::vector<ControlAddress> members{ { .address = "first" },
                                             { .address = "second" },
                                             { .address = "third" } };
  std::set<std::string> assigned;
  for (unsigned i = 0; i < 20; ++i) {
    const std::string address = "client-" + std::to_string(i);
    const std::string source = select_source(address, "", members);
    assigned.insert(source);
    unsigned queries = 0;
    ControlClient client(
      { .control_addresses = { source }, .address = address, .client = 1, .first_request = 1 },
      [&](const std::string&, const ClusterMessage& message) {
        queries += std::holds_alternative<SourceQuery>(message) ? 1 : 0;
      },
      [](const StateMachine&) {});
    client.tick(kStart);
    client.receive(
      source,
      Entries{ .confirmed = true, .control = members, .answers = 1, .lag = milliseconds(0) },
      kStart);
    EXPECT_TRUE(client.ready());
    EXPECT_EQ(queries, 0U) << address;
  }
  EXPECT_EQ(assigned.size(), members.size());
}

// Guards against a return to the preferred control host while that is down, which would make the
// state old again.
TEST(ControlClientPreference, PreferredControlHostIsFollowedOnceItIsCurrent)
{
  const std::vector<ControlAddress> members{ { .address = "far", .failure_domain = "b" },
                                             { .address = "near", .failure_domain = "a" } };
  std::vector<std::pair<std::string, ClusterMessage>> sent;
  ControlClient client(
    { .control_addresses = { "far" },
      .address = "client",
      .failure_domain = "a",
      .client = 1,
      .first_request = 1 },
    [&](const std::string& to, const ClusterMessage& message) { sent.emplace_back(to, message); },
    [](const StateMachine&) {});
  client.tick(kStart);
  client.receive(
    "far",
    Entries{ .confirmed = true, .control = members, .answers = 1, .lag = milliseconds(0) },
    kStart);
  const auto count = [&](const std::string& to) {
    return std::count_if(sent.begin(), sent.end(), [&](const auto& message) {
      return message.first == to && std::holds_alternative<Subscribe>(message.second);
    });
  };
  ASSERT_TRUE(std::holds_alternative<SourceQuery>(sent.back().second));
  EXPECT_EQ(sent.back().first, "near");
  EXPECT_EQ(count("near"), 0);
  const auto query = std::get<SourceQuery>(sent.back().second);
  client.receive("near", SourceStatus{ .answers = query.request }, kStart + milliseconds(1));
  EXPECT_EQ(count("near"), 1);
}

} // namespace
} // namespace lovagehold
