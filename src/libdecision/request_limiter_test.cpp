#include "lovagehold/request_limiter.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
// The platform's bound: one and a half times the limit and five requests in each 4 s.
constexpr milliseconds kWindow{ 4000 };
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;

LimitedServer
server(const ServerId& id, double limit, milliseconds age = milliseconds(0))
{
  return { .id = id, .incarnation = 1, .limit = limit, .age = age };
}

PermitAnswer
ask(RequestLimiter& limiter, const LimitedServer& server, TimePoint now, milliseconds max_wait = {})
{
  return limiter.request(
    { .service = "s", .candidates = { server }, .max_wait = max_wait }, 1, now);
}

// Many hosts with views of different age, which ask the limiter that they believe in.
struct LimiterSimulation
{
  struct Host
  {
    LimiterSelection selection;
    /// Limits as last read, by server.
    std::map<ServerId, std::pair<double, TimePoint>> known;
    /// The host reaches this limiter.
    std::set<std::string> reachable;
  };

  std::vector<std::string> members{ "c1", "c2", "c3" };
  std::map<std::string, RequestLimiter> limiters;
  std::vector<Host> hosts;
  std::map<ServerId, double> limits;
  /// Times at which requests reach a server.
  std::map<ServerId, std::vector<TimePoint>> arrivals;
  /// Largest limit in force in the last window, by server.
  std::map<ServerId, std::vector<std::pair<TimePoint, double>>> limit_history;
  std::mt19937_64 random;

  explicit LimiterSimulation(std::size_t host_count, unsigned seed)
    : hosts(host_count)
    , random(seed)
  {
    for (Host& host : hosts) {
      host.selection.set_members(members);
      host.reachable = { members.begin(), members.end() };
    }
  }

  void set_limit(const ServerId& id, double limit, TimePoint now)
  {
    limits[id] = limit;
    limit_history[id].emplace_back(now, limit);
  }

  void read_limits(Host& host, TimePoint now) const
  {
    for (const auto& [id, limit] : limits) {
      host.known[id] = { limit, now };
    }
  }

  // A caller's request at the host that no other server can take.
  void request(Host& host, TimePoint now)
  {
    PermitQuery query{ .service = "s", .max_wait = milliseconds(80) };
    query.candidates.reserve(host.known.size());
    for (const auto& [id, known] : host.known) {
      query.candidates.push_back(
        server(id, known.first, std::chrono::duration_cast<milliseconds>(now - known.second)));
    }
    std::shuffle(query.candidates.begin(), query.candidates.end(), random);
    const std::string limiter = host.selection.select("s", now);
    if (limiter.empty()) {
      return;
    }
    if (host.reachable.count(limiter) == 0) {
      host.selection.timed_out(limiter, now);
      return;
    }
    host.selection.answered(limiter);
    const PermitAnswer answer =
      limiters[limiter].request(query, limiter_share("s", limiter, members), now);
    if (!answer.server.empty()) {
      arrivals[answer.server].push_back(now + answer.wait);
    }
  }

  // \return the largest share of the bound that a window of 4 s reaches
  double worst_use(const ServerId& id)
  {
    std::vector<TimePoint>& times = arrivals[id];
    std::sort(times.begin(), times.end());
    double worst = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
      const auto end = std::lower_bound(times.begin(), times.end(), times[first] + kWindow);
      const auto count = end - times.begin() - static_cast<std::ptrdiff_t>(first);
      worst = std::max(worst, static_cast<double>(count) / allowed(id, times[first]));
    }
    return worst;
  }

  // The largest limit that a host may know within the window holds for it.
  double allowed(const ServerId& id, TimePoint window_start)
  {
    double limit = 0;
    for (std::size_t i = 0; i < limit_history[id].size(); ++i) {
      const bool last = i + 1 == limit_history[id].size();
      const bool ended = !last && limit_history[id][i + 1].first + seconds(3) < window_start;
      const bool begins_later = limit_history[id][i].first >= window_start + kWindow;
      if (!ended && !begins_later) {
        limit = std::max(limit, limit_history[id][i].second);
      }
    }
    return kFactor * limit * std::chrono::duration<double>(kWindow).count() + kSlack;
  }
};

// Guards against hosts that each keep a server's limit but exceed it together, when their views
// differ, limiters restart and can't be reached, and limits change.
RC_GTEST_PROP(RequestLimiter, AllHostsTogetherKeepTheLimits, ())
{
  LimiterSimulation simulation(*rc::gen::inRange<std::size_t>(1, 60),
                               *rc::gen::arbitrary<unsigned>());
  const std::vector<double> choices{ 0, 0.05, 0.4, 1.3, 2.2, 3.2, 10, 40 };
  const auto any_limit = rc::gen::elementOf(choices);
  TimePoint now = kStart;
  const int servers = *rc::gen::inRange(1, 5);
  for (int i = 0; i < servers; ++i) {
    simulation.set_limit("i-" + std::to_string(i), *any_limit, now);
  }
  for (auto& host : simulation.hosts) {
    simulation.read_limits(host, now);
  }
  std::uniform_int_distribution<std::size_t> any_host(0, simulation.hosts.size() - 1);
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    auto& host = simulation.hosts[any_host(simulation.random)];
    const std::string member = simulation.members[simulation.random() % 3];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        simulation.limiters[member] = RequestLimiter();
        break;
      case 1:
        host.reachable.erase(member);
        break;
      case 2:
        host.reachable.insert(member);
        break;
      case 3:
        simulation.set_limit(
          "i-" + std::to_string(static_cast<int>(simulation.random() % servers)), *any_limit, now);
        break;
      default:
        break;
    }
    // Hosts learn of a change at different times, all of them within the settling time.
    for (int i = 0; i < 40; ++i) {
      now += milliseconds(1 + simulation.random() % 30);
      auto& asking = simulation.hosts[any_host(simulation.random)];
      const bool outdated =
        std::any_of(asking.known.begin(), asking.known.end(), [&](const auto& known) {
          return now - known.second.second > milliseconds(2500);
        });
      if (outdated || simulation.random() % 4 == 0) {
        simulation.read_limits(asking, now);
      }
      simulation.request(asking, now);
    }
  }
  for (const auto& [id, limit] : simulation.limits) {
    RC_ASSERT(simulation.worst_use(id) <= 1.0);
  }
}

// Guards against limits that are left unused while callers wait.
RC_GTEST_PROP(RequestLimiter, DemandUsesTheLimits, ())
{
  LimiterSimulation simulation(*rc::gen::inRange<std::size_t>(1, 60),
                               *rc::gen::arbitrary<unsigned>());
  const std::vector<double> limits{ 1.3, 2.2, 3.2 };
  TimePoint now = kStart;
  double sum = 0;
  for (std::size_t i = 0; i < limits.size(); ++i) {
    simulation.set_limit("i-" + std::to_string(i), limits[i], now);
    sum += limits[i];
  }
  for (auto& host : simulation.hosts) {
    simulation.read_limits(host, now);
  }
  const TimePoint end = now + seconds(30);
  while (now < end) {
    now += milliseconds(1 + simulation.random() % 100);
    simulation.request(simulation.hosts[simulation.random() % simulation.hosts.size()], now);
  }
  for (std::size_t i = 0; i < limits.size(); ++i) {
    const auto used = simulation.arrivals["i-" + std::to_string(i)].size();
    RC_ASSERT(static_cast<double>(used) >= 0.7 * 30 * limits[i]);
  }
}

// Guards against a limiter that grants a full burst right after its start, when the limiter before
// it may just have done so.
TEST(RequestLimiter, StartsWithoutCredit)
{
  RequestLimiter limiter;
  EXPECT_EQ(ask(limiter, server("i", 2), kStart).server, "");
  EXPECT_EQ(ask(limiter, server("i", 2), kStart).wait, milliseconds(500));
  EXPECT_EQ(ask(limiter, server("i", 2), kStart + milliseconds(500)).server, "i");
}

// Guards against callers that are refused although a permit is due before they give up.
TEST(RequestLimiter, GrantsAheadWithinTheWaitOfTheCaller)
{
  RequestLimiter limiter;
  ask(limiter, server("i", 10), kStart);
  const TimePoint now = kStart + milliseconds(60);
  EXPECT_EQ(ask(limiter, server("i", 10), now, milliseconds(30)).server, "");
  const PermitAnswer granted = ask(limiter, server("i", 10), now, milliseconds(50));
  EXPECT_EQ(granted.server, "i");
  EXPECT_EQ(granted.wait, milliseconds(40));
  EXPECT_EQ(ask(limiter, server("i", 10), now, milliseconds(139)).server, "");
}

// Guards against a host with an old view that brings back a limit that the server has changed.
TEST(RequestLimiter, NewestStatementOfALimitHolds)
{
  RequestLimiter limiter;
  ask(limiter, server("i", 0), kStart);
  EXPECT_EQ(ask(limiter, server("i", 100, milliseconds(900)), kStart + milliseconds(800)).server,
            "");
  EXPECT_EQ(ask(limiter, server("i", 100), kStart + milliseconds(800), milliseconds(10)).server,
            "i");
}

// Guards against a restarted server that is held to the limit of its predecessor.
TEST(RequestLimiter, NewIncarnationReplacesTheLimit)
{
  RequestLimiter limiter;
  LimitedServer restarted = server("i", 0);
  ask(limiter, restarted, kStart);
  restarted.incarnation = 2;
  restarted.limit = 100;
  EXPECT_EQ(ask(limiter, restarted, kStart, milliseconds(10)).server, "i");
  EXPECT_EQ(ask(limiter, server("i", 100), kStart + seconds(1), milliseconds(10)).server, "");
}

// Guards against absurd limits that overflow a time.
TEST(RequestLimiter, AbsurdLimitsAreBounded)
{
  RequestLimiter limiter;
  int number = 0;
  for (const double limit : { 0.0, 1e-300, 1e-9, 1e6 }) {
    const auto answer = ask(limiter, server("i-" + std::to_string(number++), limit), kStart);
    EXPECT_LE(answer.wait, seconds(1)) << limit;
    EXPECT_GE(answer.wait, milliseconds(0)) << limit;
  }
  EXPECT_EQ(limiter.size(), 4U);
  limiter.expire(kStart + std::chrono::minutes(2));
  EXPECT_EQ(limiter.size(), 0U);
}

// Guards against a stand-in that grants a whole limit beside the preferred limiter.
TEST(RequestLimiter, SharesOfTheLimitersStayWithinTheTolerance)
{
  const std::vector<std::string> members{ "a", "b", "c", "d" };
  for (int i = 0; i < 50; ++i) {
    const ServiceName service = "s" + std::to_string(i);
    double sum = 0;
    for (const std::string& member : members) {
      sum += limiter_share(service, member, members);
    }
    EXPECT_EQ(sum, 1.25);
    EXPECT_EQ(limiter_share(service, limiters_of(service, members).front(), members), 1);
  }
  EXPECT_EQ(limiter_share("s", "a", {}), 0);
}

} // namespace
} // namespace lovagehold
