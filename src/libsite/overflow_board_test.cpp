#include "overflow_board.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

DomainServiceLoad
make_load(double slots, double demand)
{
  return { .hosts = 1,
           .listed = slots,
           .usable = slots,
           .busy = std::min(demand, slots),
           .demand = demand,
           .requests = 5 * demand };
}

DomainLoad
make_report(const std::string& domain, double demand, const ServiceName& service = "s")
{
  DomainLoad report;
  report.loads[domain][service] = make_load(10, demand);
  return report;
}

// Three control hosts; messages arrive at the next step. Entry hosts of the domains "a" and "b"
// report to the second and third of them.
class OverflowBoardTest : public ::testing::Test
{
protected:
  OverflowBoardTest()
  {
    for (const char* name : { "c1", "c2", "c3" }) {
      m_boards.emplace(name, make_board(name, true));
    }
  }

  OverflowBoard make_board(const std::string& name, bool enabled)
  {
    return { enabled, name, [this](std::string_view event, const std::vector<LogField>& fields) {
              std::string line(event);
              for (const LogField& field : fields) {
                line += " " + std::string(field.first) + "=" + field.second;
              }
              m_lines.push_back(line);
            } };
  }

  void step()
  {
    m_now += milliseconds(500);
    if (m_demand_a > 0) {
      m_boards.at("c2").receive("entry-a", make_report("a", m_demand_a), m_now);
    }
    if (m_demand_b > 0) {
      m_boards.at("c3").receive("entry-b", make_report("b", m_demand_b), m_now);
    }
    std::vector<std::pair<std::string, OverflowBoard::Outgoing>> sent;
    for (auto& [name, board] : m_boards) {
      const auto group = [&, own = name] {
        return OverflowBoard::Group{ .leads = own == m_leader,
                                     .term = m_term,
                                     .leader = m_leader,
                                     .members = { "c1", "c2", "c3" } };
      };
      for (auto& message : board.tick(group, m_now)) {
        sent.emplace_back(name, std::move(message));
      }
    }
    for (const auto& [from, message] : sent) {
      ++m_messages[from + "-" + message.address];
      const auto board = m_boards.find(message.address);
      if (board != m_boards.end()) {
        board->second.receive(from, message.message, m_now);
      } else {
        m_received[message.address] = std::get<DomainShares>(message.message);
      }
    }
  }

  void run(Duration time)
  {
    for (const TimePoint end = m_now + time; m_now < end;) {
      step();
    }
  }

  // \return the share of a's requests that leave for b, as the entry host of a last received it
  double share_of_a()
  {
    const DomainShares& shares = m_received["entry-a"];
    if (shares.services.empty() || shares.services.front().leaving.count("a") == 0) {
      return 0;
    }
    return shares.services.front().leaving.at("a").at("b");
  }

  std::map<std::string, OverflowBoard> m_boards;
  std::map<std::string, DomainShares> m_received;
  std::map<std::string, int> m_messages;
  std::vector<std::string> m_lines;
  std::string m_leader = "c1";
  std::uint64_t m_term = 1;
  double m_demand_a = 12;
  double m_demand_b = 2;
  TimePoint m_now = kStart;
};

// Guards against reports that don't reach the leader, and shares that don't reach the entry hosts
// or belong to another domain.
TEST_F(OverflowBoardTest, LeaderDecidesFromAllReports)
{
  run(seconds(8));
  EXPECT_NEAR(share_of_a(), 5.0 / 12, 0.1);
  EXPECT_EQ(m_received["entry-b"].services.front().leaving.size(), 0U);
  EXPECT_EQ(m_received["entry-b"].services.front().domains, (std::vector<std::string>{ "a", "b" }));
  ASSERT_EQ(m_lines.size(), 1U);
  EXPECT_EQ(m_lines.front().find("domain_overflow service=s domain=a reason=overloaded"), 0U);
  EXPECT_NE(m_boards.at("c1").render_metrics(m_now).find(
              "lovagehold_domain_overflow{service=\"s\",domain=\"a\",reason=\"overloaded\"} 1"),
            std::string::npos);
}

// Guards against messages that the switch should prevent.
TEST_F(OverflowBoardTest, DisabledBoardSendsAndServesNothing)
{
  OverflowBoard board = make_board("c1", false);
  EXPECT_TRUE(board.receive("entry-a", make_report("a", 12), kStart));
  EXPECT_TRUE(board.receive("entry-b", make_report("b", 2), kStart));
  for (int i = 0; i < 10; ++i) {
    const auto group = [] { return OverflowBoard::Group{ .leads = true }; };
    EXPECT_TRUE(board.tick(group, kStart + i * milliseconds(500)).empty());
  }
  EXPECT_EQ(board.render_metrics(kStart), "");
}

// Guards against messages at each tick although nothing changes, and against messages without any
// requests.
TEST_F(OverflowBoardTest, UnchangedSharesAreSentOncePerSecond)
{
  m_demand_a = 2;
  run(seconds(5));
  m_messages.clear();
  run(seconds(10));
  EXPECT_LE(m_messages["c1-c2"], 10);
  EXPECT_GE(m_messages["c2-entry-a"], 9);
  EXPECT_LE(m_messages["c2-entry-a"], 11);
  m_demand_a = m_demand_b = 0;
  m_boards.at("c2").receive("entry-a", DomainLoad{}, m_now);
  m_boards.at("c3").receive("entry-b", DomainLoad{}, m_now);
  run(seconds(8));
  m_messages.clear();
  run(seconds(10));
  EXPECT_TRUE(m_messages.empty());
}

// Guards against a new leader that starts without shares, so that all requests return at once, and
// against a deposed one whose decisions are still used.
TEST_F(OverflowBoardTest, NewLeaderContinuesFromTheLastShares)
{
  run(seconds(8));
  const double before = share_of_a();
  ASSERT_GT(before, 0.3);
  m_leader = "c2";
  m_term = 2;
  for (int i = 0; i < 12; ++i) {
    step();
    EXPECT_NEAR(share_of_a(), before, 0.1);
  }
  EXPECT_EQ(m_received["entry-a"].term, 2U);
  OverflowBoard& follower = m_boards.at("c3");
  DomainShares old{ .term = 1 };
  old.services.push_back({ .service = "s", .domains = { "a", "b" } });
  const std::string metrics = follower.render_metrics(m_now);
  follower.receive("c1", old, m_now);
  EXPECT_EQ(follower.render_metrics(m_now), metrics);
}

// Guards against requests that are sent to a domain which has been cut off.
TEST_F(OverflowBoardTest, SilentDomainGetsNothing)
{
  run(seconds(8));
  ASSERT_GT(share_of_a(), 0.3);
  m_demand_b = 0;
  run(seconds(5));
  EXPECT_EQ(share_of_a(), 0);
  EXPECT_EQ(m_received["entry-a"].services.front().domains, (std::vector<std::string>{ "a", "b" }));
}

// Guards against an idle domain that is taken for one that is cut off: requests may go there by the
// choice of each host.
TEST_F(OverflowBoardTest, DomainWithoutRequestsIsNotDecided)
{
  run(seconds(8));
  m_demand_b = 0;
  m_boards.at("c3").receive("entry-b", DomainLoad{}, m_now);
  m_received.clear();
  run(seconds(10));
  m_received.clear();
  run(seconds(3));
  EXPECT_TRUE(m_received["entry-a"].services.empty());
}

// Guards against messages with services that a host doesn't serve, and against a host with few
// requests that decides otherwise than the rest of its domain.
TEST_F(OverflowBoardTest, HostsGetTheServicesThatTheyServe)
{
  const auto busy = [this](const std::string& host, const ServiceName& service) {
    m_boards.at("c2").receive(host, make_report("a", 3, service), m_now);
    m_boards.at("c3").receive("b-" + host, make_report("b", 3, service), m_now);
  };
  m_demand_a = m_demand_b = 0;
  busy("entry-x", "s");
  for (int i = 0; i < 40; ++i) {
    busy("entry-y", "t");
    busy("entry-z", "s");
    m_received.clear();
    step();
    step();
  }
  ASSERT_EQ(m_received["entry-x"].services.size(), 1U);
  EXPECT_EQ(m_received["entry-x"].services.front().service, "s");
  ASSERT_EQ(m_received["entry-y"].services.size(), 1U);
  EXPECT_EQ(m_received["entry-y"].services.front().service, "t");
}

} // namespace
} // namespace lovagehold
