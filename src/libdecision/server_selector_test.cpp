#include "lovagehold/server_selector.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

std::vector<ServerInfo>
make_servers(unsigned count, const std::string& domain = "a")
{
  std::vector<ServerInfo> servers;
  for (unsigned i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    servers.push_back({ .service = "s",
                        .id = "i-" + number,
                        .address = "127.0.0.1:" + number,
                        .incarnation = 1,
                        .failure_domain = domain });
  }
  return servers;
}

class ServerSelectorTest : public ::testing::Test
{
protected:
  ServerSelectorTest()
    : m_selector({ .failure_domain = "a", .host = "h" })
  {
    m_selector.set_servers(make_servers(3), kStart);
  }

  std::string pick(TimePoint now, const std::set<ServerId>& tried = {})
  {
    const auto server = m_selector.pick(now, tried, 0, m_random);
    return server ? server->id : "";
  }

  ServerSelector m_selector;
  std::mt19937_64 m_random{ 1 };
};

// Guards against sending requests to a server that is currently slowed by other tenants of its
// machine.
TEST_F(ServerSelectorTest, SlowedServerIsNotChosen)
{
  m_selector.report("i-0", { .running = 0, .slots = 3, .slowdown = 4 }, kStart);
  m_selector.report("i-1", { .running = 1, .slots = 3, .slowdown = 1 }, kStart);
  m_selector.report("i-2", { .running = 3, .slots = 3, .slowdown = 1 }, kStart);
  EXPECT_EQ(pick(kStart), "i-1");
}

// Guards against a burst that goes entirely to the server that was idle at its last report.
TEST_F(ServerSelectorTest, OwnRequestsCountUntilTheNextReport)
{
  for (const char* id : { "i-0", "i-1", "i-2" }) {
    m_selector.report(id, { .slots = 3 }, kStart);
  }
  std::map<std::string, int> chosen;
  for (int i = 0; i < 6; ++i) {
    const std::string id = pick(kStart);
    ++chosen[id];
    m_selector.begin(id, kStart);
  }
  EXPECT_EQ(chosen["i-0"], 2);
  EXPECT_EQ(chosen["i-1"], 2);
  EXPECT_EQ(chosen["i-2"], 2);
}

// Guards against further attempts at an unreachable server, and against ejecting it for ever.
TEST_F(ServerSelectorTest, UnreachableServerIsEjectedForALimitedTime)
{
  m_selector.report("i-0", { .slots = 3 }, kStart);
  m_selector.begin("i-0", kStart);
  m_selector.end("i-0", AttemptEnd::Unreached, milliseconds(1), kStart);
  EXPECT_NE(pick(kStart), "i-0");
  EXPECT_NE(pick(kStart, { "i-1" }), "i-0");
  // An ejected server is used if no other is left.
  EXPECT_EQ(pick(kStart, { "i-1", "i-2" }), "i-0");
  const TimePoint later = kStart + std::chrono::seconds(5);
  m_selector.report("i-0", { .slots = 3 }, later);
  EXPECT_EQ(pick(later), "i-0");
}

// Guards against preferring a slow server: its requests take longer, yet it appears idle.
TEST_F(ServerSelectorTest, SlowerServerCostsMore)
{
  for (const char* id : { "i-1", "i-2" }) {
    m_selector.begin(id, kStart);
    m_selector.end(id, AttemptEnd::Served, milliseconds(200), kStart);
  }
  m_selector.begin("i-0", kStart);
  m_selector.end("i-0", AttemptEnd::Served, milliseconds(2000), kStart);
  EXPECT_GT(m_selector.cost("i-0", kStart), m_selector.cost("i-1", kStart));
}

// Guards against sending large bodies to another failure domain while a local server has free
// capacity.
TEST_F(ServerSelectorTest, LargeBodiesStayInTheFailureDomain)
{
  auto servers = make_servers(1, "a");
  servers.push_back({ .service = "s", .id = "far", .incarnation = 1, .failure_domain = "b" });
  m_selector.set_servers(servers, kStart);
  m_selector.report("i-0", { .running = 2, .slots = 3 }, kStart);
  m_selector.report("far", { .slots = 3 }, kStart);
  EXPECT_EQ(pick(kStart), "far");
  const auto near = m_selector.pick(kStart, {}, 200000, m_random);
  EXPECT_EQ(near->id, "i-0");
}

// Guards against sending requests to the busiest servers: a full server doesn't answer its probe in
// time, and an unknown load used to cost less than a known high one.
TEST_F(ServerSelectorTest, ServerThatDoesNotAnswerItsProbeCountsAsFull)
{
  m_selector.report("i-0", { .running = 3, .slots = 3 }, kStart);
  m_selector.begin_probe("i-1", kStart);
  m_selector.begin_probe("i-2", kStart);
  const TimePoint later = kStart + milliseconds(20);
  EXPECT_EQ(pick(later), "i-0");
  m_selector.report("i-2", { .running = 1, .slots = 3 }, later);
  EXPECT_EQ(pick(later), "i-2");
}

// Guards against load above the knee, where every request of a server becomes slower, and against a
// server that counts as full long after its last report.
TEST_F(ServerSelectorTest, RoomEndsBelowTheKnee)
{
  m_selector.report("i-0", { .running = 1, .slots = 3 }, kStart);
  EXPECT_TRUE(m_selector.has_free_capacity("i-0", kStart));
  m_selector.begin("i-0", kStart);
  EXPECT_FALSE(m_selector.has_free_capacity("i-0", kStart));
  m_selector.report("i-1", { .running = 3, .waiting = 2, .slots = 3 }, kStart);
  EXPECT_FALSE(m_selector.has_free_capacity("i-1", kStart));
  EXPECT_TRUE(m_selector.has_free_capacity("i-1", kStart + std::chrono::seconds(2)));
  m_selector.report("i-2", { .slots = 1 }, kStart);
  EXPECT_TRUE(m_selector.has_free_capacity("i-2", kStart));
  EXPECT_FALSE(m_selector.has_free_capacity("unknown", kStart));
}

// Guards against endless probing of servers that never report their load.
TEST_F(ServerSelectorTest, ServersWithoutLoadReportsAreNoLongerProbed)
{
  for (int i = 0; i < 10; ++i) {
    const TimePoint now = kStart + std::chrono::seconds(i);
    for (const ServerInfo& target : m_selector.probe_targets(now, 3, false, {}, m_random)) {
      m_selector.begin_probe(target.id, now);
      m_selector.end_probe(target.id);
    }
  }
  EXPECT_TRUE(
    m_selector.probe_targets(kStart + std::chrono::seconds(20), 3, false, {}, m_random).empty());
  m_selector.report("i-0", { .slots = 3 }, kStart + std::chrono::seconds(20));
  EXPECT_FALSE(
    m_selector.probe_targets(kStart + std::chrono::seconds(30), 3, false, {}, m_random).empty());
}

// Guards against exceeding the probe budget that all hosts share.
RC_GTEST_PROP(ServerSelector, ProbesStayInTheirBudget, ())
{
  ServerSelectorOptions options{ .failure_domain = "a", .host = "h", .probes_per_second = 40 };
  ServerSelector selector(options);
  std::mt19937_64 random(7);
  const auto servers = *rc::gen::inRange(1U, 30U);
  const auto hosts = *rc::gen::inRange<std::size_t>(1, 64);
  const auto pause = milliseconds(*rc::gen::inRange(1, 200));
  selector.set_servers(make_servers(servers), kStart);
  selector.set_hosts(hosts);
  constexpr std::chrono::seconds kSpan{ 20 };
  std::size_t probes = 0;
  for (TimePoint now = kStart; now < kStart + kSpan; now += pause) {
    probes += selector.probe_targets(now, 6, false, {}, random).size();
  }
  // The probes of a single choice are always allowed.
  const double allowed = options.probes_per_second * options.probe_share * servers / hosts;
  const auto counted = (kSpan + options.probe_burst).count();
  RC_ASSERT(static_cast<double>(probes) <= allowed * static_cast<double>(counted) + 7);
}

// Guards against a new incarnation that inherits the state of the previous one.
TEST_F(ServerSelectorTest, NewIncarnationInheritsNoState)
{
  m_selector.begin("i-0", kStart);
  m_selector.end("i-0", AttemptEnd::Unreached, milliseconds(1), kStart);
  auto servers = make_servers(3);
  servers[0].incarnation = 2;
  m_selector.set_servers(servers, kStart);
  EXPECT_EQ(pick(kStart, { "i-1", "i-2" }), "i-0");
  EXPECT_FALSE(m_selector.report_age("i-0", kStart).has_value());
}

// Guards against selecting a server that is unknown or was tried before, and against counts of
// requests in progress that drift.
RC_GTEST_PROP(ServerSelector, ChoosesKnownServersOnly, ())
{
  ServerSelector selector({ .failure_domain = "a", .host = "h" });
  std::mt19937_64 random(7);
  const auto count = *rc::gen::inRange(0U, 8U);
  selector.set_servers(make_servers(count), kStart);
  TimePoint now = kStart;
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
  for (const int step : steps) {
    now += milliseconds(10);
    std::set<ServerId> tried;
    if (step % 3 == 0) {
      tried.insert("i-0");
    }
    const auto server = selector.pick(now, tried, 0, random);
    const unsigned left = count - (count > 0 && !tried.empty() ? 1 : 0);
    RC_ASSERT(server.has_value() == (left > 0));
    if (server) {
      RC_ASSERT(tried.count(server->id) == 0);
      selector.begin(server->id, now);
      selector.end(server->id, static_cast<AttemptEnd>(step % 7), milliseconds(5), now);
    }
  }
}

// Guards against sending requests blindly in the synchronized return of all callers after a cold
// start: a server without a fresh report must not look idle while all others are full.
TEST_F(ServerSelectorTest, UnknownServerIsAsLoadedAsTheOthers)
{
  EXPECT_TRUE(m_selector.has_free_capacity("i-2", kStart));
  for (int i = 0; i < 30; ++i) {
    m_selector.report("i-0", { .running = 3, .waiting = 2, .slots = 3 }, kStart);
    m_selector.report("i-1", { .running = 2, .slots = 3 }, kStart);
  }
  EXPECT_FALSE(m_selector.has_free_capacity("i-2", kStart));
  EXPECT_EQ(pick(kStart), "i-1");
  // The load of the others passes, and so does the expectation.
  for (int i = 0; i < 60; ++i) {
    m_selector.report("i-0", { .running = 1, .slots = 3 }, kStart + std::chrono::seconds(2));
  }
  EXPECT_TRUE(m_selector.has_free_capacity("i-2", kStart + std::chrono::seconds(2)));
}

// Guards against a server that looks loaded long after it refused a request: the requests that it
// refused and their successors were counted again on top of the reported ones.
TEST_F(ServerSelectorTest, RefusalIncludesTheRequestsStartedBefore)
{
  m_selector.report("i-0", { .slots = 3 }, kStart);
  for (int i = 0; i < 3; ++i) {
    m_selector.begin("i-0", kStart);
  }
  for (int i = 0; i < 3; ++i) {
    m_selector.end("i-0", AttemptEnd::Shed, milliseconds(1), kStart);
  }
  EXPECT_FALSE(m_selector.has_free_capacity("i-0", kStart));
  EXPECT_TRUE(m_selector.has_free_capacity("i-0", kStart + std::chrono::seconds(3)));
}

// Guards against a limited server that is chosen without a permit, and against one that stays
// excluded after its limit has ended or a new incarnation has started.
TEST_F(ServerSelectorTest, LimitedServerNeedsAPermit)
{
  const milliseconds wait(50);
  EXPECT_TRUE(m_selector.set_limit("i-0", 1, 2.5, kStart));
  EXPECT_FALSE(m_selector.set_limit("i-0", 1, 2.5, kStart + milliseconds(10)));
  EXPECT_FALSE(m_selector.set_limit("i-0", 2, std::nullopt, kStart)) << "another incarnation";
  EXPECT_EQ(pick(kStart, { "i-1", "i-2" }), "");
  auto candidates = m_selector.permit_candidates({}, wait, 10, kStart + milliseconds(30));
  ASSERT_EQ(candidates.size(), 1U);
  EXPECT_EQ(candidates[0].id, "i-0");
  EXPECT_EQ(candidates[0].limit, 2.5);
  EXPECT_EQ(candidates[0].age, milliseconds(20));
  m_selector.deny(candidates, kStart + milliseconds(200));
  EXPECT_TRUE(m_selector.permit_candidates({}, wait, 10, kStart).empty());
  EXPECT_FALSE(m_selector.permit_candidates({}, milliseconds(200), 10, kStart).empty());
  EXPECT_EQ(m_selector.earliest_return(kStart), kStart + milliseconds(200));
  EXPECT_TRUE(m_selector.set_limit("i-0", 1, std::nullopt, kStart));
  EXPECT_EQ(pick(kStart, { "i-1", "i-2" }), "i-0");
  m_selector.set_limit("i-0", 1, 0, kStart);
  auto servers = make_servers(3);
  servers[0].incarnation = 2;
  m_selector.set_servers(servers, kStart);
  EXPECT_EQ(pick(kStart, { "i-1", "i-2" }), "i-0");
}

// Guards against a host that spends its probes on servers to which it may send few requests: with
// most of the servers limited, it hardly knew the load of the others.
TEST(ServerSelector, LimitedServersAreProbedLast)
{
  ServerSelector selector({ .failure_domain = "a", .host = "h", .subset = 4 });
  selector.set_servers(make_servers(20), kStart);
  for (int i = 0; i < 16; ++i) {
    selector.set_limit("i-" + std::to_string(i), 1, 1.0, kStart);
  }
  std::mt19937_64 random(1);
  std::set<ServerId> probed;
  for (const ServerInfo& server : selector.probe_targets(kStart, 4, true, {}, random)) {
    probed.insert(server.id);
  }
  EXPECT_EQ(probed, (std::set<ServerId>{ "i-16", "i-17", "i-18", "i-19" }));
}

// Guards against calling a server before the pause that it asked for has ended, against a later,
// shorter pause that ends it early, and against a pause without end.
TEST_F(ServerSelectorTest, PausedServerIsNotChosen)
{
  m_selector.pause("i-0", 1, std::chrono::seconds(2), kStart);
  m_selector.pause("i-0", 1, milliseconds(100), kStart);
  m_selector.pause("i-1", 1, std::chrono::hours(24), kStart);
  const TimePoint before = kStart + milliseconds(1999);
  EXPECT_EQ(pick(before, { "i-2" }), "");
  EXPECT_EQ(m_selector.probe_targets(before, 3, false, {}, m_random).size(), 1U);
  EXPECT_EQ(m_selector.earliest_return(before), kStart + std::chrono::seconds(2));
  EXPECT_EQ(pick(kStart + std::chrono::seconds(2), { "i-2" }), "i-0");
  EXPECT_EQ(pick(kStart + std::chrono::minutes(11), { "i-0", "i-2" }), "i-1");
  // Another incarnation did not ask for a pause.
  m_selector.pause("i-2", 7, std::chrono::seconds(2), kStart);
  EXPECT_EQ(pick(kStart, { "i-0", "i-1" }), "i-2");
}

// Guards against calling a leaving server, whatever is listed, reported or lost afterwards.
RC_GTEST_PROP(ServerSelectorProperty, LeavingIncarnationIsNeverChosen, ())
{
  ServerSelector selector({ .failure_domain = "a", .host = "h" });
  std::mt19937_64 random(*rc::gen::arbitrary<unsigned>());
  constexpr unsigned kServers = 4;
  std::vector<std::uint64_t> incarnations(kServers, 1);
  std::vector<bool> leaving(kServers, false);
  const auto list = [&](bool with_all) {
    std::vector<ServerInfo> servers = make_servers(kServers);
    for (unsigned i = 0; i < kServers; ++i) {
      servers[i].incarnation = incarnations[i];
    }
    std::erase_if(servers, [&](const ServerInfo&) { return !with_all && random() % 2 == 0; });
    return servers;
  };
  TimePoint now = kStart;
  selector.set_servers(list(true), now);
  const auto steps = *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 9U));
  for (const unsigned step : steps) {
    now += milliseconds(*rc::gen::inRange(0, 3000));
    const auto index = *rc::gen::inRange(0U, kServers);
    const ServerId id = "i-" + std::to_string(index);
    switch (step) {
      case 0:
        selector.set_servers(list(false), now);
        break;
      case 1:
        selector.set_servers(list(true), now);
        break;
      case 2:
        selector.mark_leaving(id, incarnations[index], now);
        leaving[index] = true;
        break;
      case 3:
        ++incarnations[index];
        leaving[index] = false;
        selector.set_servers(list(true), now);
        break;
      case 4:
        // A late response of the earlier incarnation.
        if (incarnations[index] > 1) {
          selector.mark_leaving(id, incarnations[index] - 1, now);
        }
        break;
      case 5:
        selector.report(id, { .slots = 3 }, now);
        break;
      case 6:
        selector.begin(id, now);
        selector.end(id, AttemptEnd::Unreached, milliseconds(1), now);
        break;
      case 7:
        selector.pause(id, incarnations[index], milliseconds(50), now);
        break;
      default:
        break;
    }
    const auto check = [&](const ServerInfo& server) {
      const unsigned number = std::stoul(server.id.substr(2));
      RC_ASSERT(!leaving[number] || server.incarnation != incarnations[number]);
    };
    if (const auto picked = selector.pick(now, {}, 0, random)) {
      check(*picked);
    }
    for (const ServerInfo& target : selector.probe_targets(now, 4, false, {}, random)) {
      check(target);
    }
  }
}

// Guards against a request, a permit or a health check for a server of an evacuated failure domain,
// and against servers that are warm, or still look as loaded as before, when the evacuation ends.
RC_GTEST_PROP(ServerSelectorProperty, EvacuatedServerIsInNoChoice, ())
{
  const std::vector<std::string> domains{ "a", "b", "c" };
  const std::chrono::seconds warmup{ 3 };
  constexpr unsigned kServers = 7;
  ServerSelector selector({ .failure_domain = "a", .host = "h", .subset = 2 });
  std::mt19937_64 random(*rc::gen::arbitrary<unsigned>());
  std::vector<std::uint64_t> incarnations(kServers, 1);
  const auto list = [&] {
    std::vector<ServerInfo> servers = make_servers(kServers);
    for (unsigned i = 0; i < kServers; ++i) {
      servers[i].incarnation = incarnations[i];
      servers[i].failure_domain = domains[i % domains.size()];
    }
    std::erase_if(servers, [&](const ServerInfo&) { return random() % 4 == 0; });
    return servers;
  };
  TimePoint now = kStart;
  std::vector<ServerInfo> listed = list();
  std::set<std::string> evacuated;
  selector.set_servers(listed, now);
  const auto steps = *rc::gen::container<std::vector<unsigned>>(80, rc::gen::inRange(0U, 12U));
  for (const unsigned step : steps) {
    now += milliseconds(*rc::gen::inRange(0, 400));
    const auto index = *rc::gen::inRange(0U, kServers);
    const ServerId id = "i-" + std::to_string(index);
    const std::set<ServerId> tried = random() % 2 == 0 ? std::set{ id } : std::set<ServerId>();
    switch (step) {
      case 0:
        ++incarnations[index];
        [[fallthrough]];
      case 1:
        listed = list();
        selector.set_servers(listed, now);
        break;
      case 2:
      case 3: {
        const std::set<std::string> before = evacuated;
        evacuated.clear();
        for (const std::string& domain : domains) {
          if (random() % 2 == 0) {
            evacuated.insert(domain);
          }
        }
        std::map<ServerId, double> costs;
        for (const ServerInfo& server : listed) {
          if (before.contains(server.failure_domain) &&
              !evacuated.contains(server.failure_domain)) {
            costs[server.id] = 0;
          }
        }
        selector.set_evacuated(evacuated, warmup, now);
        for (auto& [ended, cost] : costs) {
          RC_ASSERT(!selector.report_age(ended, now));
          cost = selector.cost(ended, now + warmup - milliseconds(1));
          RC_ASSERT(cost > 1.5 * selector.cost(ended, now + warmup));
        }
        break;
      }
      case 4:
        selector.report(id, { .running = static_cast<unsigned>(random() % 4), .slots = 3 }, now);
        break;
      case 5:
        selector.begin(id, now);
        selector.end(id, static_cast<AttemptEnd>(random() % 7), milliseconds(5), now);
        break;
      case 6:
        selector.begin_probe(id, now);
        break;
      case 7:
        selector.probe_failed(id, random() % 2 == 0, now);
        break;
      case 8:
        selector.set_limit(
          id, incarnations[index], random() % 2 == 0 ? std::optional(2.0) : std::nullopt, now);
        break;
      case 9:
        selector.deny({ { .id = id } }, now + milliseconds(random() % 500));
        break;
      case 10:
        selector.pause(id, incarnations[index], milliseconds(random() % 500), now);
        break;
      default:
        break;
    }
    const auto may_be_called = [&](const ServerInfo& server) {
      return !evacuated.contains(server.failure_domain);
    };
    const auto domain_of = [&](const ServerId& server) {
      return domains[std::stoul(server.substr(2)) % domains.size()];
    };
    if (const auto picked = selector.pick(now, tried, 0, random)) {
      RC_ASSERT(may_be_called(*picked));
    }
    for (const bool preferred_only : { true, false }) {
      for (const auto& target : selector.probe_targets(now, 4, preferred_only, tried, random)) {
        RC_ASSERT(may_be_called(target));
      }
    }
    for (const LimitedServer& server :
         selector.permit_candidates(tried, milliseconds(100), 1e9, now)) {
      RC_ASSERT(!evacuated.contains(domain_of(server.id)));
    }
    for (const ServerInfo& server : listed) {
      RC_ASSERT(!selector.find_callable(server.id, now) || may_be_called(server));
    }
    if (std::none_of(listed.begin(), listed.end(), may_be_called)) {
      RC_ASSERT(!selector.is_callable_until(now, now));
      RC_ASSERT(!selector.earliest_return(now));
      RC_ASSERT(selector.limited_count() == 0U);
    }
  }
}

// Guards against hosts of the evacuated domain that probe no server first, and against a different
// choice without an evacuation: a host without local servers then has no preferred subset.
TEST(ServerSelector, HostOfAnEvacuatedDomainPrefersServersOfTheOthers)
{
  ServerSelector selector({ .failure_domain = "a", .host = "h", .subset = 3 });
  std::vector<ServerInfo> servers = make_servers(9, "b");
  servers[0].failure_domain = "a";
  servers[8].failure_domain = "c";
  selector.set_servers(servers, kStart);
  std::mt19937_64 random(1);
  const auto preferred = [&](TimePoint now) {
    std::set<std::string> found;
    for (const ServerInfo& server : selector.probe_targets(now, 9, true, {}, random)) {
      found.insert(server.id);
    }
    return found;
  };
  EXPECT_EQ(preferred(kStart), std::set<std::string>{ "i-0" });
  selector.set_evacuated({ "a" }, Duration::zero(), kStart);
  const auto elsewhere = preferred(kStart + std::chrono::seconds(10));
  EXPECT_EQ(elsewhere.size(), 3U);
  EXPECT_FALSE(elsewhere.contains("i-0"));
  // Another evacuation, of the only other domain with more than one server.
  selector.set_evacuated({ "a", "b" }, Duration::zero(), kStart);
  EXPECT_EQ(preferred(kStart + std::chrono::seconds(20)), std::set<std::string>{ "i-8" });
  selector.set_evacuated({}, Duration::zero(), kStart);
  EXPECT_EQ(preferred(kStart + std::chrono::seconds(30)), std::set<std::string>{ "i-0" });
  servers.erase(servers.begin());
  selector.set_servers(servers, kStart);
  EXPECT_TRUE(preferred(kStart + std::chrono::seconds(40)).empty());
  selector.set_evacuated({ "b" }, Duration::zero(), kStart);
  EXPECT_EQ(preferred(kStart + std::chrono::seconds(50)), std::set<std::string>{ "i-8" });
}

// Guards against a probe rate above the budget of the servers that remain: the evacuated ones must
// not count.
TEST(ServerSelector, EvacuatedServersAddNothingToTheProbeBudget)
{
  ServerSelector selector({ .failure_domain = "a", .host = "h", .probes_per_second = 20 });
  std::vector<ServerInfo> servers = make_servers(10, "b");
  servers[0].failure_domain = "a";
  selector.set_servers(servers, kStart);
  selector.set_evacuated({ "b" }, Duration::zero(), kStart);
  std::mt19937_64 random(1);
  std::size_t probes = 0;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(20); now += milliseconds(5)) {
    probes += selector.probe_targets(now, 6, false, {}, random).size();
  }
  // 20 a second, of which 0.75 are used, for 20 s and a burst of 8 s.
  EXPECT_LE(probes, 15U * 28U + 7U);
}

} // namespace
} // namespace lovagehold
