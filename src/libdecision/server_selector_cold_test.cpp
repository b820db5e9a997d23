#include "lovagehold/host_count.h"
#include "lovagehold/server_selector.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr double kRate = 1.6;
// Requests that a cold server may get in any second: the rate with its overage and slack.
constexpr double kBound = kRate * 1.5 + 8;
constexpr milliseconds kWarmup{ 3000 };

std::vector<ServerInfo>
make_servers(unsigned count, milliseconds warmup = milliseconds(0))
{
  std::vector<ServerInfo> servers;
  for (unsigned i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    servers.push_back({ .service = "s",
                        .id = "i-" + number,
                        .address = "127.0.0.1:" + number,
                        .slots = 2,
                        .incarnation = 1,
                        .failure_domain = "a",
                        .warmup = warmup });
  }
  return servers;
}

// Many hosts with a selector each that send to the same servers.
class Fleet
{
public:
  using Choose = std::function<std::optional<ServerInfo>(ServerSelector&, TimePoint)>;

  Fleet(std::size_t hosts, unsigned servers, ColdServerShareOptions share, std::uint64_t seed)
    : m_random(seed)
    , m_cold_until(servers, kStart)
    , m_sent(servers)
  {
    for (std::size_t i = 0; i < hosts; ++i) {
      m_hosts.emplace_back(
        ServerSelectorOptions{ .failure_domain = "a", .host = "h" + std::to_string(i) });
      m_hosts.back().set_servers(make_servers(servers), kStart);
      m_hosts.back().set_cold_share(share, kStart);
    }
  }

  // The server turns cold; a host learns of it with this probability.
  void turn_cold(unsigned server, TimePoint now, milliseconds duration, double known = 1)
  {
    m_cold_until[server] = now + duration;
    for (ServerSelector& host : m_hosts) {
      if (std::uniform_real_distribution<double>(0, 1)(m_random) < known) {
        tell(host, server, now);
      }
    }
  }

  // One request of a random host, which checks nine of ten servers before it sends to them.
  void request(TimePoint now)
  {
    ServerSelector& host = m_hosts[m_random() % m_hosts.size()];
    auto server = m_choose(host, now);
    for (int checks = 0; server && checks < 3 && m_random() % 10 != 0; ++checks) {
      const bool was_cold = host.is_cold(server->id, now);
      tell(host, number_of(*server), now);
      if (host.is_cold(server->id, now) == was_cold) {
        break;
      }
      server = m_choose(host, now);
    }
    if (server && now < m_cold_until[number_of(*server)]) {
      m_sent[number_of(*server)].push_back(now);
    }
  }

  // Runs requests at the rate, summed over all hosts.
  void run(TimePoint from, TimePoint to, double rate, const std::function<void(TimePoint)>& event)
  {
    std::exponential_distribution<double> gap(rate);
    for (TimePoint now = from; now < to;) {
      now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
      event(now);
      request(now);
    }
  }

  // While they are full, requests ask for a cold server.
  void fill_warm_servers(bool full) { m_warm_full = full; }

  void choose_with(Choose choose) { m_choose = std::move(choose); }

  // \return the most requests that a server got in one second while it was cold
  std::size_t worst_second() const
  {
    std::size_t worst = 0;
    for (const std::vector<TimePoint>& sent : m_sent) {
      for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto last = std::upper_bound(first, sent.end(), *first + seconds(1));
        worst = std::max(worst, static_cast<std::size_t>(last - first));
      }
    }
    return worst;
  }

  std::size_t total() const
  {
    std::size_t sum = 0;
    for (const auto& sent : m_sent) {
      sum += sent.size();
    }
    return sum;
  }

  std::mt19937_64 m_random;

private:
  static unsigned number_of(const ServerInfo& server)
  {
    return static_cast<unsigned>(std::stoul(server.id.substr(2)));
  }

  void tell(ServerSelector& host, unsigned server, TimePoint now)
  {
    const Duration left = std::max(m_cold_until[server] - now, Duration::zero());
    host.set_cold("i-" + std::to_string(server), 1, left, now);
  }

  Choose m_choose = [this](ServerSelector& host, TimePoint now) {
    const auto warm = m_warm_full ? std::nullopt : host.pick(now, {}, 0, m_random);
    return warm ? warm : host.pick_cold(now, {}, m_random);
  };
  bool m_warm_full = false;
  std::vector<ServerSelector> m_hosts;
  std::vector<TimePoint> m_cold_until;
  /// Times of the requests to each server while it was cold.
  std::vector<std::vector<TimePoint>> m_sent;
};

struct Scenario
{
  std::size_t hosts;
  unsigned servers;
};

constexpr Scenario kScenarios[] = { { 1, 1 },   { 2, 7 },   { 12, 3 },
                                    { 55, 20 }, { 203, 1 }, { 203, 30 } };

// All servers stay cold for 12 s. \return requests of the fullest second and the used part
std::pair<std::size_t, double>
run_all_cold(const Scenario& scenario,
             std::uint64_t seed,
             const ColdServerShareOptions& share,
             const std::function<void(Fleet&)>& prepare = {})
{
  Fleet fleet(scenario.hosts, scenario.servers, share, seed);
  if (prepare) {
    prepare(fleet);
  }
  for (unsigned i = 0; i < scenario.servers; ++i) {
    fleet.turn_cold(i, kStart, seconds(30));
  }
  // Each host asks eight times a second, as it does while requests wait.
  fleet.run(kStart, kStart + seconds(12), 8.0 * scenario.hosts, [](TimePoint) {});
  return { fleet.worst_second(),
           static_cast<double>(fleet.total()) / (12 * kRate * scenario.servers) };
}

// Guards against cold servers that crash because many hosts send to them at the same time, and
// against a service that refuses what its cold servers could serve.
TEST(ColdServers, AllColdServersGetAboutTheirRate)
{
  for (const Scenario& scenario : kScenarios) {
    double used = 0;
    constexpr unsigned kRuns = 6;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
      const auto [worst, part] =
        run_all_cold(scenario, seed, { .rate = kRate, .hosts = scenario.hosts });
      EXPECT_LE(worst, kBound) << scenario.hosts << " hosts, seed " << seed;
      used += part / kRuns;
    }
    EXPECT_GE(used, 0.8) << scenario.hosts << " hosts, " << scenario.servers << " servers";
    EXPECT_LE(used, 1.2) << scenario.hosts << " hosts, " << scenario.servers << " servers";
  }
}

// Servers turn cold at any moment, some hosts learn of it only by their health checks, and bursts
// follow after times without requests.
std::size_t
run_random_times(std::uint64_t seed,
                 const ColdServerShareOptions& share,
                 const std::function<void(Fleet&)>& prepare = {})
{
  constexpr unsigned kServers = 12;
  Fleet fleet(203, kServers, share, seed);
  if (prepare) {
    prepare(fleet);
  }
  std::mt19937_64 random(seed);
  TimePoint next_change = kStart;
  TimePoint now = kStart;
  for (unsigned round = 0; round < 12; ++round) {
    const bool burst = round % 3 == 2;
    fleet.fill_warm_servers(burst);
    fleet.run(now, now + milliseconds(900), burst ? 1600 : 10, [&](TimePoint time) {
      if (time >= next_change) {
        const auto server = static_cast<unsigned>(random() % kServers);
        fleet.turn_cold(
          server, time, kWarmup, std::uniform_real_distribution<double>(0, 1)(random));
        next_change = time + milliseconds(random() % 800);
      }
    });
    now += milliseconds(1000);
  }
  return fleet.worst_second();
}

// Guards against too many requests from hosts that have not learned yet that a server is cold, and
// from hosts that have saved up credit.
TEST(ColdServers, ServersThatTurnColdAtAnyMomentStayWithinTheBound)
{
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    EXPECT_LE(run_random_times(seed, { .rate = kRate, .hosts = 203 }), kBound) << "seed " << seed;
  }
}

// Guards against properties that would not notice a fault.
TEST(ColdServers, PropertiesCatchBrokenVariants)
{
  const Scenario all{ 203, 5 };
  const auto worst_of = [&](const ColdServerShareOptions& share,
                            const std::function<void(Fleet&)>& prepare = {}) {
    std::size_t worst = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      worst = std::max(worst, run_all_cold(all, seed, share, prepare).first);
    }
    return worst;
  };
  EXPECT_GT(worst_of({ .rate = kRate, .hosts = 1 }), kBound) << "each host uses the whole rate";
  EXPECT_GT(worst_of({ .rate = kRate, .hosts = 30 }), kBound) << "the number of hosts is too small";
  EXPECT_GT(worst_of({ .rate = kRate, .hosts = 203 },
                     [](Fleet& fleet) {
                       fleet.choose_with([&fleet](ServerSelector& host, TimePoint now) {
                         const auto server = host.pick_cold(now, {}, fleet.m_random);
                         return server ? host.find_callable("i-0", now) : server;
                       });
                     }),
            kBound)
    << "all hosts use the same server";
  EXPECT_GT(worst_of({ .rate = kRate, .hosts = 203 },
                     [](Fleet& fleet) {
                       fleet.choose_with([](ServerSelector& host, TimePoint now) {
                         return host.find_callable("i-1", now);
                       });
                     }),
            kBound)
    << "requests are sent although the share does not admit them";
  EXPECT_LT(run_all_cold(all, 1, { .rate = kRate, .hosts = 600 }).second, 0.8)
    << "the rate is not used";
  EXPECT_GT(run_random_times(1, { .rate = kRate, .hosts = 8 }), kBound)
    << "servers turn cold at any moment and the number of hosts is too small";
  // Unused credit without a small limit, which all hosts then use at once.
  Fleet saving(203, 1, { .rate = kRate, .depth = 60, .hosts = 203 }, 1);
  saving.turn_cold(0, kStart, seconds(60));
  saving.run(kStart + seconds(30), kStart + seconds(33), 200, [](TimePoint) {});
  EXPECT_GT(saving.worst_second(), kBound);
}

// 203 hosts become ready within 2 s and learn every 0.5 s how many there are. \return requests of
// the fullest second of a cold server
std::size_t
run_start(std::uint64_t seed, bool cautious)
{
  struct Host
  {
    milliseconds next_report;
    HostCount count;
    std::size_t last_report = 0;
    ColdServerShare share;
  };
  std::mt19937_64 random(seed);
  std::vector<Host> hosts(203);
  for (Host& host : hosts) {
    host.next_report = milliseconds(random() % 2000);
  }
  std::vector<TimePoint> sent;
  for (milliseconds time{ 0 }; time < seconds(6); time += milliseconds(10)) {
    const TimePoint now = kStart + time;
    const auto ready = static_cast<std::size_t>(std::count_if(
      hosts.begin(), hosts.end(), [](const Host& host) { return host.last_report > 0; }));
    for (Host& host : hosts) {
      if (time >= host.next_report) {
        host.next_report += milliseconds(500);
        host.last_report = ready + 1;
        host.count.report(host.last_report, now);
      }
      if (host.last_report > 0) {
        host.share.configure(
          { .rate = kRate, .hosts = cautious ? host.count.value(now) : host.last_report }, now);
        host.share.add("i-0", now);
        if (random() % 12 == 0 && host.share.take("i-0", now, random)) {
          sent.push_back(now);
        }
      }
    }
  }
  std::size_t worst = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto last = std::upper_bound(first, sent.end(), *first + seconds(1));
    worst = std::max(worst, static_cast<std::size_t>(last - first));
  }
  return worst;
}

// Guards against hosts that start together and each take a large part, as they know few others.
TEST(ColdServers, HostsThatStartTogetherStayWithinTheBound)
{
  std::size_t worst_plain = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    EXPECT_LE(run_start(seed, true), kBound) << "seed " << seed;
    worst_plain = std::max(worst_plain, run_start(seed, false));
  }
  EXPECT_GT(worst_plain, kBound) << "the property would not notice the plain number";
}

class ColdServerSelectorTest : public ::testing::Test
{
protected:
  ColdServerSelectorTest()
  {
    m_selector.set_servers(make_servers(3), kStart);
    m_selector.set_cold_share({ .rate = 100, .depth = 100 }, kStart);
  }

  ServerSelector m_selector{ { .failure_domain = "a", .host = "h" } };
  std::mt19937_64 m_random{ 1 };
};

// Guards against choices that change for services without cold servers.
TEST(ColdServers, ServiceWithoutColdServersChoosesAsBefore)
{
  ServerSelector plain({ .failure_domain = "a", .host = "h" });
  ServerSelector enabled({ .failure_domain = "a", .host = "h" });
  plain.set_servers(make_servers(9), kStart);
  enabled.set_servers(make_servers(9), kStart);
  enabled.set_cold_share({ .rate = kRate, .hosts = 203 }, kStart);
  std::mt19937_64 random_plain(7);
  std::mt19937_64 random_enabled(7);
  std::mt19937_64 loads(3);
  for (int i = 0; i < 500; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const std::string id = "i-" + std::to_string(loads() % 9);
    const LoadReport load{ .running = static_cast<unsigned>(loads() % 3), .slots = 2 };
    const bool remote = i % 2 == 0;
    for (auto [selector, random] :
         { std::pair(&plain, &random_plain), std::pair(&enabled, &random_enabled) }) {
      selector->report(id, load, now);
      selector->set_cold(id, 1, Duration::zero(), now);
      const auto server = selector->pick(now, {}, remote ? 60'000 : 0, *random);
      ASSERT_TRUE(server);
      selector->begin(server->id, now);
      selector->end(server->id, AttemptEnd::Served, milliseconds(5), now);
      ASSERT_FALSE(selector->pick_cold(now, {}, *random));
    }
    ASSERT_EQ(random_plain, random_enabled) << "after request " << i;
  }
}

// Guards against requests to a cold server while a warm one is free, and against health checks that
// do not end a warm-up.
TEST_F(ColdServerSelectorTest, ColdServerIsNotPickedUntilItIsWarm)
{
  m_selector.set_cold("i-0", 1, kWarmup, kStart);
  m_selector.set_cold("i-1", 1, kWarmup, kStart);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(m_selector.pick(kStart, {}, 0, m_random)->id, "i-2");
  }
  EXPECT_EQ(m_selector.pick(kStart, { "i-2" }, 0, m_random), std::nullopt);
  EXPECT_EQ(m_selector.cold_return(kStart), std::nullopt);
  m_selector.set_cold("i-0", 1, Duration::zero(), kStart);
  EXPECT_EQ(m_selector.pick(kStart, { "i-2" }, 0, m_random)->id, "i-0");
  EXPECT_EQ(m_selector.pick(kStart + kWarmup, { "i-0", "i-2" }, 0, m_random)->id, "i-1");
}

// Guards against an answer of an earlier start that ends the warm-up of a later one.
TEST_F(ColdServerSelectorTest, AnswerOfAnotherIncarnationChangesNothing)
{
  m_selector.set_cold("i-0", 2, kWarmup, kStart);
  EXPECT_FALSE(m_selector.is_cold("i-0", kStart));
  std::vector<ServerInfo> servers = make_servers(3);
  servers[0].incarnation = 2;
  servers[0].warmup = kWarmup;
  m_selector.set_servers(servers, kStart);
  m_selector.set_cold("i-0", 1, Duration::zero(), kStart);
  EXPECT_TRUE(m_selector.is_cold("i-0", kStart));
}

// Guards against a server that turns cold again unnoticed, and against one that counts as cold
// again whenever its service changes.
TEST_F(ColdServerSelectorTest, RenewedEntryMakesTheServerColdOnce)
{
  std::vector<ServerInfo> servers = make_servers(3);
  servers[0].warmup = kWarmup;
  servers[0].warmup_renewals = 1;
  m_selector.set_servers(servers, kStart);
  EXPECT_TRUE(m_selector.is_cold("i-0", kStart));
  const TimePoint later = kStart + 2 * kWarmup;
  m_selector.set_servers(servers, later);
  EXPECT_FALSE(m_selector.is_cold("i-0", later));
  servers[0].warmup_renewals = 2;
  m_selector.set_servers(servers, later);
  EXPECT_TRUE(m_selector.is_cold("i-0", later));
}

// Guards against warm servers that take few requests after the start of an entry host, because the
// entries that it reads were made long ago.
TEST_F(ColdServerSelectorTest, HealthCheckCorrectsAnOldEntry)
{
  ServerSelector started({ .failure_domain = "a", .host = "h" });
  started.set_cold_share({ .rate = kRate, .hosts = 203 }, kStart);
  started.set_servers(make_servers(3, kWarmup), kStart);
  EXPECT_EQ(started.cold_count(kStart), 3U);
  started.set_cold("i-1", 1, Duration::zero(), kStart);
  EXPECT_EQ(started.pick(kStart, {}, 0, m_random)->id, "i-1");
}

// Guards against requests to cold servers that are full, leaving, limited or were tried.
TEST_F(ColdServerSelectorTest, OnlyUsableColdServersAreChosen)
{
  for (const char* id : { "i-0", "i-1", "i-2" }) {
    m_selector.set_cold(id, 1, kWarmup, kStart);
  }
  const TimePoint now = kStart + seconds(1);
  m_selector.report("i-0", { .running = 2, .slots = 2 }, now);
  m_selector.set_limit("i-1", 1, 5, now);
  EXPECT_EQ(m_selector.pick_cold(now, {}, m_random)->id, "i-2");
  EXPECT_FALSE(m_selector.pick_cold(now, { "i-2" }, m_random));
  EXPECT_TRUE(m_selector.permit_candidates({}, milliseconds(0), 100, now).empty());
  const auto limited = m_selector.cold_permit_candidates({}, milliseconds(0), now, m_random);
  ASSERT_EQ(limited.size(), 1U);
  EXPECT_EQ(limited.front().id, "i-1");
  m_selector.mark_leaving("i-2", 1, now);
  EXPECT_FALSE(m_selector.pick_cold(now, {}, m_random));
}

// Guards against a full credit for each of many warm-ups in a short time.
TEST_F(ColdServerSelectorTest, ServerThatTurnsColdAgainKeepsItsCredit)
{
  m_selector.set_cold_share({ .rate = 1e-6, .depth = 2 }, kStart);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    std::vector<ServerInfo> servers = make_servers(1, kWarmup);
    servers[0].incarnation = 2U + static_cast<unsigned>(i);
    m_selector.set_servers(servers, now);
    admitted += m_selector.pick_cold(now, {}, m_random) ? 1 : 0;
    m_selector.set_cold("i-0", servers[0].incarnation, Duration::zero(), now);
  }
  EXPECT_EQ(admitted, 2);
}

// Guards against cold servers that count as full because the warm ones are.
TEST_F(ColdServerSelectorTest, LoadOfWarmServersIsNotExpectedOfColdOnes)
{
  m_selector.set_cold("i-0", 1, kWarmup, kStart);
  const TimePoint now = kStart + seconds(1);
  for (int i = 0; i < 50; ++i) {
    m_selector.report("i-1", { .running = 2, .waiting = 2, .slots = 2 }, now);
    m_selector.report("i-2", { .running = 2, .waiting = 2, .slots = 2 }, now);
  }
  EXPECT_EQ(m_selector.pick_cold(now, {}, m_random)->id, "i-0");
}

// Guards against a time to return at which the request would be refused again.
TEST_F(ColdServerSelectorTest, RefusalNamesWhenAServerIsWarmOrTheShareIsFull)
{
  m_selector.set_cold_share({ .rate = kRate, .hosts = 203 }, kStart);
  for (const char* id : { "i-0", "i-1", "i-2" }) {
    m_selector.set_cold(id, 1, kWarmup, kStart);
  }
  EXPECT_EQ(m_selector.cold_return(kStart), kStart + kWarmup);
  m_selector.set_cold_share({ .rate = kRate, .depth = 1, .hosts = 2 }, kStart);
  EXPECT_EQ(m_selector.cold_return(kStart), kStart + milliseconds(625));
}

// Guards against a held server that a health check makes warm, and against changes that are
// reported twice or not at all.
TEST_F(ColdServerSelectorTest, HeldServerStaysColdAndChangesAreReportedOnce)
{
  m_selector.hold_cold("i-0", kWarmup, kStart);
  m_selector.set_cold("i-0", 1, Duration::zero(), kStart);
  EXPECT_TRUE(m_selector.is_cold("i-0", kStart));
  EXPECT_EQ(m_selector.take_cold_changes(kStart).size(), 1U);
  EXPECT_TRUE(m_selector.take_cold_changes(kStart).empty());
  const auto warm = m_selector.take_cold_changes(kStart + kWarmup);
  ASSERT_EQ(warm.size(), 1U);
  EXPECT_EQ(warm.front().remaining.count(), 0);
}

// Guards against hosts that each take a large part because they know few of the others: right after
// a restart of all, while some have no contact, and after the control hosts have restarted.
TEST(HostCount, ErrsTowardsTooMany)
{
  HostCount count;
  EXPECT_GE(count.value(kStart), 203U);
  TimePoint now = kStart;
  for (std::size_t known : { 1, 60, 203, 203, 203, 203, 203 }) {
    now += milliseconds(500);
    count.report(known, now);
    EXPECT_GE(count.value(now), 203U);
  }
  EXPECT_EQ(count.value(now), 203U);
  for (const int step : { 1, 2, 3, 4, 5 }) {
    count.report(140, now + seconds(2 * step));
    EXPECT_EQ(count.value(now + seconds(2 * step)), 203U);
  }
  count.report(140, now + seconds(16));
  EXPECT_EQ(count.value(now + seconds(16)), 140U);
  EXPECT_EQ(count.value(now + seconds(100)), 140U) << "a host without contact keeps the number";
  count.report(150, now + seconds(101));
  EXPECT_EQ(count.value(now + seconds(101)), 150U);
}

} // namespace
} // namespace lovagehold
