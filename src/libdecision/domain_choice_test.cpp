#include "lovagehold/domain_choice.h"
#include "lovagehold/server_selector.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

ServiceShares
make_shares(double to_b)
{
  ServiceShares shares{ .service = "s", .domains = { "a", "b", "c" } };
  if (to_b > 0) {
    shares.leaving["a"]["b"] = to_b;
  }
  return shares;
}

// Two servers in each of four failure domains; the decision doesn't cover "d".
class DomainChoiceTest : public ::testing::Test
{
protected:
  DomainChoiceTest()
    : m_selector({ .failure_domain = "a", .host = "h", .domain_overflow = true })
  {
    std::vector<ServerInfo> servers;
    for (const char* domain : { "a", "b", "c", "d" }) {
      for (const char* number : { "0", "1" }) {
        servers.push_back({ .service = "s",
                            .id = std::string(domain) + number,
                            .address = std::string("127.0.0.1:") + number,
                            .incarnation = 1,
                            .failure_domain = domain });
      }
    }
    m_selector.set_servers(servers, kStart);
  }

  void report(const std::string& domain, unsigned running, TimePoint now)
  {
    for (const char* number : { "0", "1" }) {
      m_selector.report(domain + number, { .running = running, .slots = 3 }, now);
    }
  }

  // Number of 1000 requests that go to each failure domain.
  std::map<char, int> pick_1000(TimePoint now, const std::set<ServerId>& tried = {})
  {
    std::map<char, int> counts;
    for (int i = 0; i < 1000; ++i) {
      const auto server = m_selector.pick(now, tried, 0, m_random);
      ++counts[server ? server->id.front() : '-'];
    }
    return counts;
  }

  ServerSelector m_selector;
  std::mt19937_64 m_random{ 1 };
};

// Guards against hosts that send another share of their requests than was decided, also while the
// other domain's servers have not reported their load.
TEST_F(DomainChoiceTest, ShareOfTheRequestsLeaves)
{
  report("a", 0, kStart);
  m_selector.set_domain_shares(make_shares(0.3), kStart);
  const auto counts = pick_1000(kStart);
  EXPECT_NEAR(counts.at('b'), 300, 50);
  EXPECT_EQ(counts.at('a') + counts.at('b'), 1000);
}

// Guards against requests that leave because of the cost of a single one although the decision is
// that all stay.
TEST_F(DomainChoiceTest, NothingLeavesWithoutAShare)
{
  m_selector.set_domain_shares(make_shares(0), kStart);
  report("a", 1, kStart);
  report("b", 0, kStart);
  EXPECT_EQ(pick_1000(kStart).at('a'), 1000);
}

// Guards against requests that wait for the drawn domain while another permitted one has room, and
// against requests to a domain that may send to this one.
TEST_F(DomainChoiceTest, DomainWithRoomReplacesAFullOne)
{
  m_selector.set_domain_shares(make_shares(0.3), kStart);
  report("a", 3, kStart);
  report("b", 0, kStart);
  report("c", 0, kStart);
  report("d", 3, kStart);
  EXPECT_EQ(pick_1000(kStart).at('b'), 1000);
  report("a", 0, kStart);
  report("b", 3, kStart);
  EXPECT_EQ(pick_1000(kStart).at('a'), 1000);
  report("a", 3, kStart);
  EXPECT_EQ(pick_1000(kStart).count('c'), 0U);
  report("d", 0, kStart);
  EXPECT_EQ(pick_1000(kStart).at('d'), 1000);
}

// Guards against requests that are refused between the moment when their domain becomes full and
// the decision on its share.
TEST_F(DomainChoiceTest, SpareCapacityIsUsedByRequestsWithoutRoom)
{
  ServiceShares shares = make_shares(0);
  shares.spare["a"] = { "b" };
  m_selector.set_domain_shares(shares, kStart);
  report("a", 0, kStart);
  report("d", 3, kStart);
  EXPECT_EQ(pick_1000(kStart).at('a'), 1000);
  report("a", 3, kStart);
  EXPECT_EQ(pick_1000(kStart).at('b'), 1000);
}

// Guards against requests that fail because no permitted domain has a server.
TEST_F(DomainChoiceTest, RetriesGoAnywhere)
{
  m_selector.set_domain_shares(make_shares(0), kStart);
  const auto counts = pick_1000(kStart, { "a0", "a1", "d0", "d1" });
  EXPECT_EQ(counts.count('-'), 0U);
}

// Guards against old shares that stay in force, and against choices and random numbers that differ
// from those without shares.
TEST_F(DomainChoiceTest, OldOrMissingSharesHaveNoEffect)
{
  const auto pick_all = [](const ServerSelector& selector, TimePoint now) {
    std::mt19937_64 random(7);
    std::string picked;
    for (int i = 0; i < 200; ++i) {
      picked += selector.pick(now, {}, 0, random)->id + " ";
    }
    return picked + std::to_string(random());
  };
  report("a", 1, kStart);
  const std::string before = pick_all(m_selector, kStart + seconds(3));
  m_selector.set_domain_shares(make_shares(0.9), kStart);
  EXPECT_NE(pick_all(m_selector, kStart + milliseconds(2900)), before);
  EXPECT_EQ(pick_all(m_selector, kStart + seconds(3)), before);
  ServiceShares without_home = make_shares(0);
  without_home.domains = { "b", "c" };
  m_selector.set_domain_shares(without_home, kStart + seconds(3));
  EXPECT_EQ(pick_all(m_selector, kStart + seconds(3)), before);
}

// Guards against servers that must not be called, cold or limited ones, and old reports that count
// as capacity, and against the load of another domain.
TEST_F(DomainChoiceTest, OnlyFreshUsableServersAreReported)
{
  m_selector.take_domain_load(kStart);
  report("b", 0, kStart);
  DomainServiceLoad load = m_selector.take_domain_load(kStart + seconds(1));
  EXPECT_EQ(load.listed, 4);
  EXPECT_EQ(load.usable, 0);
  report("a", 2, kStart);
  load = m_selector.take_domain_load(kStart + seconds(1));
  EXPECT_EQ(load.usable, 4);
  EXPECT_EQ(load.busy, 4);
  EXPECT_EQ(m_selector.take_domain_load(kStart + milliseconds(3001)).usable, 0);
  m_selector.set_limit("a0", 1, 2.5, kStart);
  m_selector.mark_leaving("a1", 1, kStart);
  load = m_selector.take_domain_load(kStart);
  EXPECT_EQ(load.unusable, 4);
  EXPECT_EQ(load.usable, 0);
}

// Guards against a demand that depends on how often it is reported, and against attempts that count
// for the wrong domain.
TEST_F(DomainChoiceTest, TrafficIsReportedPerSecond)
{
  m_selector.take_domain_load(kStart);
  for (int i = 0; i < 8; ++i) {
    m_selector.begin("a0", kStart);
    m_selector.end("a0", AttemptEnd::Served, milliseconds(250), kStart);
  }
  m_selector.begin("b0", kStart);
  m_selector.end("b0", AttemptEnd::TimedOut, milliseconds(1000), kStart);
  m_selector.count_bytes(3000);
  const DomainServiceLoad load = m_selector.take_domain_load(kStart + seconds(2));
  EXPECT_NEAR(load.demand, 1.5, 1e-9);
  EXPECT_NEAR(load.requests, 4.5, 1e-9);
  EXPECT_NEAR(load.bytes, 1500, 1e-9);
  EXPECT_EQ(load.attempts.at("a"), (DomainAttempts{ .attempts = 4, .failed = 0 }));
  EXPECT_EQ(load.attempts.at("b"), (DomainAttempts{ .attempts = 0.5, .failed = 0.5 }));
  EXPECT_EQ(m_selector.take_domain_load(kStart + seconds(3)).requests, 0);
  EXPECT_EQ(m_selector.domain_attempts().at("a"), 8U);
}

} // namespace
} // namespace lovagehold
