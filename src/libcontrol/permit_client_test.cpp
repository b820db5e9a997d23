#include "lovagehold/permit_client.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

class PermitClientTest : public ::testing::Test
{
protected:
  PermitClientTest()
    : m_client([this](const std::string& address, const ClusterMessage& message) {
      m_sent.emplace_back(address, std::get<PermitRequest>(message).id);
    })
  {
    m_client.set_members({ "c1", "c2", "c3" });
  }

  void ask(TimePoint now)
  {
    m_client.request(
      { .service = "desk" },
      [this](const PermitAnswer& answer) { m_answers.push_back(answer); },
      now);
  }

  PermitClient m_client;
  std::vector<std::pair<std::string, std::uint64_t>> m_sent;
  std::vector<PermitAnswer> m_answers;
};

// Guards against a request that waits for the answer of a limiter that is down, and against one
// that is sent without a permit.
TEST_F(PermitClientTest, SilentLimiterIsReplacedByItsStandIn)
{
  const std::vector<std::string> limiters = limiters_of("desk", { "c1", "c2", "c3" });
  ask(kStart);
  EXPECT_EQ(m_sent.back().first, limiters[0]);
  EXPECT_EQ(m_client.next_expiry(), kStart + milliseconds(100));
  m_client.expire(kStart + milliseconds(100));
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0].server, "");
  ask(kStart + milliseconds(200));
  EXPECT_EQ(m_sent.back().first, limiters[1]);
  m_client.receive({ .id = m_sent.back().second, .answer = { .server = "i" } });
  ASSERT_EQ(m_answers.size(), 2U);
  EXPECT_EQ(m_answers[1].server, "i");
  ask(kStart + milliseconds(1200));
  EXPECT_EQ(m_sent.back().first, limiters[0]);
}

// Guards against a late answer that permits a request twice.
TEST_F(PermitClientTest, LateAndRepeatedAnswersAreIgnored)
{
  ask(kStart);
  m_client.expire(kStart + milliseconds(100));
  m_client.receive({ .id = m_sent.back().second, .answer = { .server = "i" } });
  EXPECT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_client.next_expiry(), TimePoint::max());
}

// Guards against requests to limited servers while no control host answers.
TEST_F(PermitClientTest, NoPermitWithoutControlHosts)
{
  ask(kStart);
  m_client.expire(kStart + milliseconds(100));
  ask(kStart + milliseconds(100));
  m_client.expire(kStart + milliseconds(200));
  ask(kStart + milliseconds(200));
  EXPECT_EQ(m_sent.size(), 2U);
  ASSERT_EQ(m_answers.size(), 3U);
  EXPECT_EQ(m_answers[2].server, "");
}

} // namespace
} // namespace lovagehold
