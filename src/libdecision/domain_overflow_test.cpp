#include "lovagehold/domain_overflow.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr milliseconds kInterval{ 500 };
constexpr double kTolerance = 1e-9;
const ServiceName kService = "desk";

// What a property found wrong; nothing if it holds.
using Fault = std::optional<std::string>;
using Decide = std::function<ServiceShares(const DomainOverflow::Loads&, TimePoint)>;

Decide
make_decide(DomainOverflowOptions options = {})
{
  const auto overflow = std::make_shared<DomainOverflow>(options);
  return [overflow](const DomainOverflow::Loads& loads, TimePoint now) {
    return overflow->decide(kService, loads, now);
  };
}

double
share(const ServiceShares& shares, const std::string& from, const std::string& to)
{
  const auto row = shares.leaving.find(from);
  return row == shares.leaving.end() || row->second.count(to) == 0 ? 0 : row->second.at(to);
}

double
leaving(const ServiceShares& shares, const std::string& from)
{
  double total = 0;
  for (const std::string& to : shares.domains) {
    total += share(shares, from, to);
  }
  return total;
}

// A failure domain: slots of its servers and the requests of its callers that would be in progress
// if none had to wait.
struct ModelDomain
{
  double slots = 20;
  double demand = 8;
  /// Requests at its servers or waiting for them.
  double load = 0;
  /// Those that wait; some give up.
  double waiting = 0;
  /// Time that its servers take for a request, relative to the others.
  double slowness = 1;
  bool unusable = false;
  bool silent = false;
};

// Failure domains whose reports take a second to the decision, whose shares take half a second
// back, and whose requests wait when the slots run short.
class Model
{
public:
  Model(std::map<std::string, ModelDomain> domains, Decide decide, std::uint64_t seed)
    : m_domains(std::move(domains))
    , m_decide(std::move(decide))
    , m_random(seed)
  {
  }

  void step()
  {
    m_now += kInterval;
    std::map<std::string, double> load;
    for (const auto& [name, domain] : m_domains) {
      load[name] += domain.demand * (1 - leaving(m_in_force, name));
      for (const auto& [other, unused] : m_domains) {
        load[other] += domain.demand * share(m_in_force, name, other);
      }
    }
    for (auto& [name, domain] : m_domains) {
      domain.load = load[name] * domain.slowness;
      // Requests take 200 ms.
      const double queued = domain.waiting + (domain.load - domain.slots) * 2.5;
      domain.waiting = std::clamp(queued, 0.0, domain.slots);
    }
    m_reports.push_back(report());
    const DomainOverflow::Loads seen = m_reports.front();
    if (m_reports.size() > 2) {
      m_reports.pop_front();
    }
    m_in_force = std::exchange(m_decided, m_decide(seen, m_now));
  }

  void run(Duration time)
  {
    for (const TimePoint end = m_now + time; m_now < end;) {
      step();
    }
  }

  ModelDomain& operator[](const std::string& name) { return m_domains.at(name); }
  const std::map<std::string, ModelDomain>& domains() const { return m_domains; }
  ServiceShares decided() const { return m_decided; }

private:
  DomainOverflow::Loads report()
  {
    std::uniform_real_distribution<double> noise(0.95, 1.05);
    DomainOverflow::Loads loads;
    for (const auto& [name, domain] : m_domains) {
      const double slots = domain.unusable ? 0 : domain.slots;
      DomainServiceLoad& load = loads[name];
      load = { .hosts = 10,
               .listed = 10 * domain.slots,
               .unusable = 10 * (domain.slots - slots),
               .usable = 2 * slots,
               .busy = 2 * std::min(domain.load, 1.1 * slots) * noise(m_random),
               .demand = (domain.demand + domain.waiting) * noise(m_random),
               .requests = 5 * domain.demand,
               .bytes = 5000 * domain.demand };
      if (domain.silent) {
        load.age = milliseconds(3500);
      }
    }
    return loads;
  }

  std::map<std::string, ModelDomain> m_domains;
  Decide m_decide;
  std::mt19937_64 m_random;
  TimePoint m_now = kStart;
  std::deque<DomainOverflow::Loads> m_reports;
  ServiceShares m_decided;
  ServiceShares m_in_force;
};

std::map<std::string, ModelDomain>
three_domains(double demand_a = 8, double demand_b = 8, double demand_c = 8)
{
  return { { "a", { .demand = demand_a } },
           { "b", { .demand = demand_b } },
           { "c", { .demand = demand_c } } };
}

Fault
check_sums(const ServiceShares& shares)
{
  for (const auto& [sender, row] : shares.leaving) {
    for (const auto& [receiver, value] : row) {
      if (value < 0 || receiver == sender) {
        return "share below 0 or to itself";
      }
    }
    if (leaving(shares, sender) > 1 + kTolerance) {
      return "shares above one";
    }
  }
  return std::nullopt;
}

Fault
check_directions(const ServiceShares& shares)
{
  for (const auto& [sender, row] : shares.leaving) {
    for (const auto& [receiver, value] : row) {
      if (leaving(shares, receiver) > kTolerance) {
        return receiver + " receives and sends";
      }
    }
  }
  for (const auto& [sender, receivers] : shares.spare) {
    for (const std::string& receiver : receivers) {
      if (leaving(shares, receiver) > kTolerance || receiver == sender) {
        return receiver + " sends and has spare capacity";
      }
    }
  }
  return std::nullopt;
}

// Shares are shares, and a domain that receives sends nothing, whatever the load does.
Fault
check_any_load(const Decide& decide, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  Model model(three_domains(), decide, seed);
  for (int i = 0; i < 200; ++i) {
    for (const char* name : { "a", "b", "c" }) {
      ModelDomain& domain = model[name];
      if (random() % 12 == 0) {
        domain.demand = static_cast<double>(random() % 40);
        domain.unusable = random() % 6 == 0;
        domain.silent = random() % 6 == 0;
      }
    }
    model.step();
    if (Fault fault = check_sums(model.decided())) {
      return fault;
    }
    if (Fault fault = check_directions(model.decided())) {
      return fault;
    }
  }
  return std::nullopt;
}

// A domain with enough capacity keeps its requests, however idle the others are.
Fault
check_home_first(const Decide& decide, double use)
{
  Model model(three_domains(use * 20, 1, 1), decide, 1);
  for (int i = 0; i < 100; ++i) {
    model.step();
    if (leaving(model.decided(), "a") > 0) {
      return "requests leave a domain with capacity";
    }
  }
  return std::nullopt;
}

// An overload ends within 5 s, no receiver becomes overloaded by it, the shares stay calm
// afterwards, and they return in small steps when the overload ends.
Fault
check_overload(const Decide& decide, double demand, std::uint64_t seed)
{
  Model model(three_domains(), decide, seed);
  model.run(seconds(5));
  model["a"].demand = demand;
  model.run(seconds(5));
  double smallest = 1;
  double largest = 0;
  for (int i = 0; i < 60; ++i) {
    for (const auto& [name, domain] : model.domains()) {
      if (domain.load > 0.95 * domain.slots) {
        return name + " is overloaded";
      }
    }
    model.step();
    if (i >= 30) {
      smallest = std::min(smallest, leaving(model.decided(), "a"));
      largest = std::max(largest, leaving(model.decided(), "a"));
    }
  }
  if (largest - smallest > 0.15) {
    return "shares oscillate";
  }
  model["a"].demand = 8;
  double before = leaving(model.decided(), "a");
  for (int i = 0; i < 20; ++i) {
    model.step();
    const double after = leaving(model.decided(), "a");
    if (std::abs(after - before) > 0.16) {
      return "shares jump";
    }
    before = after;
  }
  return before > 0 ? Fault("requests still leave") : std::nullopt;
}

// Nothing leaves if every domain is too small.
Fault
check_all_too_small(const Decide& decide, std::uint64_t seed)
{
  std::mt19937_64 random(seed);
  const auto demand = [&random] { return 18 + static_cast<double>(random() % 30); };
  Model model(three_domains(demand(), demand(), demand()), decide, seed);
  for (int i = 0; i < 40; ++i) {
    model.step();
    if (!model.decided().leaving.empty() || !model.decided().spare.empty()) {
      return "requests leave although no domain has room";
    }
  }
  return std::nullopt;
}

// A domain that stops reporting or can't serve gets nothing from the next decision on.
Fault
check_excluded(const Decide& decide, const std::function<void(ModelDomain&)>& exclude)
{
  Model model(three_domains(24, 4, 4), decide, 1);
  model.run(seconds(10));
  if (leaving(model.decided(), "a") == 0) {
    return "no requests leave an overloaded domain";
  }
  exclude(model["b"]);
  model.run(milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    model.step();
    if (share(model.decided(), "a", "b") > 0 || model.decided().spare["a"].count("b") > 0) {
      return "an excluded domain gets requests";
    }
  }
  return std::nullopt;
}

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

// Nothing is sent over a link on which requests fail that succeed at home.
Fault
check_lossy(const Decide& decide, double failed)
{
  DomainOverflow::Loads loads{ { "a", make_load(20, 30) }, { "b", make_load(20, 2) } };
  loads["a"].attempts = { { "a", { .attempts = 80, .failed = 1 } },
                          { "b", { .attempts = 20, .failed = 20 * failed } } };
  TimePoint now = kStart;
  ServiceShares shares;
  for (int i = 0; i < 10; ++i) {
    now += kInterval;
    shares = decide(loads, now);
  }
  return share(shares, "a", "b") > 0 || !shares.spare.empty()
           ? Fault("requests go over a lossy link")
           : std::nullopt;
}

// Guards against shares that exceed the requests, and against requests that pass each other.
RC_GTEST_PROP(DomainOverflowProperty, SharesAreSharesAndDontCross, ())
{
  RC_ASSERT(check_any_load(make_decide(), *rc::gen::arbitrary<std::uint64_t>()) == std::nullopt);
}

// Guards against delays and bytes for requests that would have been as fast at home.
RC_GTEST_PROP(DomainOverflowProperty, LocalCapacityIsUsedFirst, ())
{
  const double use = *rc::gen::inRange(0, 76) / 100.0;
  RC_ASSERT(check_home_first(make_decide(), use) == std::nullopt);
}

// Guards against an overload that lasts although another domain has room, against shares that
// oscillate, and against a return that floods the own servers.
RC_GTEST_PROP(DomainOverflowProperty, OverloadEndsAndTheReturnIsSmooth, ())
{
  const double demand = *rc::gen::inRange(18, 26);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const Fault fault = check_overload(make_decide(), demand, seed);
  if (fault) {
    RC_LOG(*fault);
  }
  RC_ASSERT(fault == std::nullopt);
}

// Guards against requests that move between domains which are all overloaded.
RC_GTEST_PROP(DomainOverflowProperty, NothingLeavesIfAllAreTooSmall, ())
{
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  RC_ASSERT(check_all_too_small(make_decide(), seed) == std::nullopt);
}

// Guards against requests for a domain that is cut off, emptied or saturated.
TEST(DomainOverflow, ExcludedDomainsGetNothing)
{
  EXPECT_EQ(check_excluded(make_decide(), [](ModelDomain& b) { b.silent = true; }), std::nullopt);
  EXPECT_EQ(check_excluded(make_decide(), [](ModelDomain& b) { b.unusable = true; }), std::nullopt);
}

// Guards against a receiver whose own load grows and that is still sent requests.
TEST(DomainOverflow, SaturatedReceiverIsRelieved)
{
  Model model(three_domains(24, 4, 4), make_decide(), 1);
  model.run(seconds(10));
  ASSERT_GT(share(model.decided(), "a", "b"), 0);
  model["b"].demand = 19;
  model.run(seconds(5));
  EXPECT_EQ(share(model.decided(), "a", "b"), 0);
  EXPECT_GT(share(model.decided(), "a", "c"), 0);
}

// Guards against an overload by slow servers that the number of requests doesn't show, and against
// a share that rises and falls in turn because of it.
TEST(DomainOverflow, SlowServersAreRelieved)
{
  Model model(three_domains(14, 4, 4), make_decide(), 1);
  model["a"].slowness = 1.5;
  model.run(seconds(15));
  double smallest = 1;
  double largest = 0;
  for (int i = 0; i < 100; ++i) {
    model.step();
    EXPECT_LE(model["a"].load, 18);
    smallest = std::min(smallest, leaving(model.decided(), "a"));
    largest = std::max(largest, leaving(model.decided(), "a"));
  }
  EXPECT_LE(largest - smallest, 0.15);
}

// Guards against requests that are lost on a bad link, and against a domain that is excluded
// because the service fails everywhere.
TEST(DomainOverflow, LossyLinkIsNotUsed)
{
  EXPECT_EQ(check_lossy(make_decide(), 0.6), std::nullopt);
  EXPECT_NE(check_lossy(make_decide(), 0.05), std::nullopt);
}

// Guards against callers who wait for small steps while their domain has no server at all.
TEST(DomainOverflow, EmptiedDomainSendsAllAtOnce)
{
  Model model(three_domains(8, 4, 4), make_decide(), 1);
  model.run(seconds(5));
  model["a"].unusable = true;
  model.run(milliseconds(1500));
  EXPECT_NEAR(leaving(model.decided(), "a"), 1, 1e-6);
  // A domain without listed servers is emptied too.
  DomainOverflow overflow;
  const DomainServiceLoad no_servers{ .hosts = 3, .demand = 4, .requests = 20 };
  const ServiceShares shares =
    overflow.decide(kService, { { "a", no_servers }, { "b", make_load(20, 2) } }, kStart);
  EXPECT_NEAR(share(shares, "a", "b"), 1, 1e-6);
  EXPECT_EQ(overflow.reasons(kService).at("a"), OverflowReason::Emptied);
}

// Guards against large bodies that are moved for a small gain, and against refusals that the price
// of bytes can't outweigh.
TEST(DomainOverflow, BytesWeighAgainstTheGain)
{
  const auto decide = [](double demand, double bytes) {
    DomainOverflow overflow;
    DomainOverflow::Loads loads{ { "a", make_load(20, demand) }, { "b", make_load(20, 2) } };
    loads["a"].bytes = bytes * loads["a"].requests;
    ServiceShares shares;
    for (int i = 0; i < 20; ++i) {
      shares = overflow.decide(kService, loads, kStart + i * kInterval);
    }
    return std::pair(share(shares, "a", "b"), overflow.reasons(kService).at("a"));
  };
  EXPECT_GT(decide(19, 500).first, 0.05);
  EXPECT_EQ(decide(19, 100000).first, 0);
  EXPECT_EQ(decide(19, 100000).second, OverflowReason::Costly);
  EXPECT_GT(decide(26, 100000).first, 0.1);
}

// Guards against a demand of many very short requests that looks larger than it is.
TEST(DomainOverflow, ShortRequestsCountByTheirTime)
{
  DomainServiceLoad load = make_load(4, 1);
  load.requests = 5000;
  DomainOverflow overflow;
  for (int i = 0; i < 10; ++i) {
    overflow.decide(kService, { { "a", load }, { "b", load } }, kStart + i * kInterval);
  }
  EXPECT_EQ(overflow.reasons(kService).at("a"), OverflowReason::Home);
}

// Guards against decisions on the load of a few hosts' old views, and against one domain that is
// decided alone.
TEST(DomainOverflow, UnknownLoadIsNotDecided)
{
  DomainOverflow overflow;
  DomainServiceLoad unseen = make_load(20, 5);
  unseen.usable = 0;
  const ServiceShares shares =
    overflow.decide(kService, { { "a", make_load(20, 30) }, { "b", unseen } }, kStart);
  EXPECT_TRUE(shares.domains.empty());
  EXPECT_EQ(overflow.reasons(kService).at("b"), OverflowReason::Unknown);
  // The slots of a domain count only as far as fresh reports cover them.
  DomainServiceLoad partly = make_load(40, 2);
  partly.usable = 4;
  partly.busy = 0;
  DomainOverflow another;
  ServiceShares limited;
  for (int i = 0; i < 20; ++i) {
    limited = another.decide(
      kService, { { "a", make_load(20, 40) }, { "b", partly } }, kStart + i * kInterval);
  }
  EXPECT_LE(40 * share(limited, "a", "b"), 4);
}

// Guards against properties that can't fail: each broken variant must violate its property.
TEST(DomainOverflowProperty, BrokenVariantsAreFound)
{
  const auto any_fails = [](const std::function<Fault(std::uint64_t)>& check) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      if (check(seed)) {
        return true;
      }
    }
    return false;
  };
  const auto mirrored = [](const Decide& decide) {
    return [decide](const DomainOverflow::Loads& loads, TimePoint now) {
      ServiceShares shares = decide(loads, now);
      if (share(shares, "a", "b") > 0) {
        shares.leaving["b"]["a"] = share(shares, "a", "b");
      }
      return shares;
    };
  };
  const auto doubled = [](const Decide& decide) {
    return [decide](const DomainOverflow::Loads& loads, TimePoint now) {
      ServiceShares shares = decide(loads, now);
      for (auto& [sender, row] : shares.leaving) {
        for (auto& [receiver, value] : row) {
          value *= 2;
        }
      }
      return shares;
    };
  };
  const auto blind_to_age = [](const Decide& decide) {
    return [decide](const DomainOverflow::Loads& reported, TimePoint now) {
      DomainOverflow::Loads loads = reported;
      for (auto& [name, load] : loads) {
        load.age = milliseconds(0);
      }
      return decide(loads, now);
    };
  };
  const auto blind_to_state = [](const Decide& decide) {
    return [decide](const DomainOverflow::Loads& reported, TimePoint now) {
      DomainOverflow::Loads loads = reported;
      for (auto& [name, load] : loads) {
        load.unusable = 0;
        load.usable = load.listed;
      }
      return decide(loads, now);
    };
  };
  const auto blind_to_receivers = [](const Decide& decide) {
    return [decide](const DomainOverflow::Loads& reported, TimePoint now) {
      DomainOverflow::Loads loads = reported;
      for (const char* name : { "b", "c" }) {
        loads[name].demand = loads[name].requests = loads[name].busy = 0;
      }
      return decide(loads, now);
    };
  };
  EXPECT_TRUE(any_fails([&](auto seed) { return check_any_load(mirrored(make_decide()), seed); }));
  EXPECT_TRUE(any_fails([&](auto seed) { return check_any_load(doubled(make_decide()), seed); }));
  EXPECT_NE(check_home_first(make_decide({ .full_use = 0.5, .receive_use = 0.4 }), 0.75),
            std::nullopt);
  EXPECT_EQ(check_overload(make_decide({ .step_per_second = 0.03 }), 25, 1), "a is overloaded");
  EXPECT_EQ(check_overload(make_decide({ .step_per_second = 10 }), 25, 1), "shares jump");
  EXPECT_EQ(check_overload(blind_to_receivers(make_decide({ .step_per_second = 10 })), 40, 1),
            "b is overloaded");
  EXPECT_TRUE(any_fails(
    [&](auto seed) { return check_all_too_small(blind_to_receivers(make_decide()), seed); }));
  EXPECT_NE(check_excluded(blind_to_age(make_decide()), [](ModelDomain& b) { b.silent = true; }),
            std::nullopt);
  EXPECT_NE(
    check_excluded(blind_to_state(make_decide()), [](ModelDomain& b) { b.unusable = true; }),
    std::nullopt);
  EXPECT_NE(check_lossy(make_decide({ .lossy_excess = 2 }), 0.6), std::nullopt);
}

} // namespace
} // namespace lovagehold
