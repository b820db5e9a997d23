#include "testing/simulated_group.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold::testing {
namespace {

constexpr milliseconds kStep = SimulatedGroup::kStep;
/// An acknowledged version is in force at all entry hosts after this time.
constexpr milliseconds kInForceWithin{ 2000 };

/// What a control host does from a point in time on.
struct Fault
{
  enum class Kind
  {
    /// Stops; messages wait until it goes on.
    Frozen,
    /// Exchanges no message with anyone.
    Silent,
    /// Hears from the leader, but gets no entries.
    Starved,
  };
  Kind kind = Kind::Frozen;
  unsigned host = 0;
  milliseconds begin{ 0 };
  milliseconds end{ 0 };

  bool affects(unsigned number, Kind which, milliseconds time) const
  {
    return host == number && kind == which && begin <= time && time < end;
  }
};

/// A SimulatedGroup whose control hosts fail at given times.
class SimulatedSite
{
public:
  SimulatedSite(unsigned control_hosts, unsigned entry_hosts)
    : m_group(
        { .control_hosts = control_hosts,
          .entry_hosts = entry_hosts,
          .is_lost = [this](const std::string& from,
                            const std::string& to,
                            const ClusterMessage& message) { return is_lost(from, to, message); } })
  {
  }

  void set_faults(std::vector<Fault> faults)
  {
    m_faults = std::move(faults);
    m_faults_begin = m_group.now();
  }

  SimulatedGroup& group() { return m_group; }

  void step()
  {
    for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
      m_group.set_frozen(host, has_fault(host, Fault::Kind::Frozen));
    }
    m_group.step();
  }

private:
  bool has_fault(std::size_t host, Fault::Kind kind) const
  {
    const auto time = std::chrono::duration_cast<milliseconds>(m_group.now() - m_faults_begin);
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault& fault) {
      return fault.affects(static_cast<unsigned>(host), kind, time);
    });
  }

  bool has_fault(const std::string& address, Fault::Kind kind) const
  {
    const auto host = m_group.control_number(address);
    return host && has_fault(*host, kind);
  }

  static bool carries_entries(const ClusterMessage& message)
  {
    const auto* envelope = std::get_if<ConsensusEnvelope>(&message);
    if (envelope == nullptr) {
      return false;
    }
    const auto* append = std::get_if<AppendRequest>(&envelope->message);
    return (append != nullptr && !append->entries.empty()) ||
           std::holds_alternative<SnapshotChunk>(envelope->message);
  }

  bool is_lost(const std::string& from, const std::string& to, const ClusterMessage& message) const
  {
    return has_fault(to, Fault::Kind::Silent) || has_fault(from, Fault::Kind::Silent) ||
           (has_fault(to, Fault::Kind::Starved) && carries_entries(message));
  }

  TimePoint m_faults_begin;
  std::vector<Fault> m_faults;
  SimulatedGroup m_group;
};

// \return longest delay seen while versions are sent each \p interval for \p duration
milliseconds
longest_delay(SimulatedSite& site, milliseconds interval, milliseconds duration)
{
  milliseconds longest{ 0 };
  for (milliseconds time{ 0 }; time < duration; time += kStep) {
    if (time % interval == milliseconds(0)) {
      site.group().change_routing();
    }
    site.step();
    longest = std::max(longest, site.group().longest_delay());
  }
  return longest;
}

void
start(SimulatedSite& site)
{
  for (unsigned i = 0; i < 1000 && !site.group().ready(); ++i) {
    site.step();
  }
  ASSERT_TRUE(site.group().ready());
}

// Guards against an acknowledged version that is late at an entry host because the waiting times
// for control hosts that don't answer add up.
TEST(StateAge, TwoSilentControlHostsDoNotDelayAChange)
{
  constexpr unsigned kControlHosts = 7;
  for (const auto kind : { Fault::Kind::Frozen, Fault::Kind::Silent }) {
    for (unsigned first = 0; first < kControlHosts; ++first) {
      SimulatedSite site(kControlHosts, 2 * kControlHosts);
      start(site);
      const unsigned second = (first + 1) % kControlHosts;
      const std::size_t leader = site.group().leader().value();
      if (first == leader || second == leader) {
        continue;
      }
      site.set_faults({ { .kind = kind, .host = first, .end = milliseconds(8000) },
                        { .kind = kind, .host = second, .end = milliseconds(8000) } });
      EXPECT_LT(longest_delay(site, milliseconds(200), milliseconds(9000)), kInForceWithin)
        << "first=" << first;
      EXPECT_GT(site.group().acknowledged().size(), 30U);
    }
  }
}

// Guards against an entry host that takes itself for current while its control host hears from the
// leader but lacks entries.
TEST(StateAge, ControlHostWithoutEntriesIsLeft)
{
  constexpr unsigned kControlHosts = 5;
  SimulatedSite site(kControlHosts, 2 * kControlHosts);
  start(site);
  const auto starved = static_cast<unsigned>((site.group().leader().value() + 1) % kControlHosts);
  site.set_faults({ { .kind = Fault::Kind::Starved, .host = starved, .end = milliseconds(8000) } });
  EXPECT_LT(longest_delay(site, milliseconds(200), milliseconds(9000)), kInForceWithin);
  EXPECT_GT(site.group().acknowledged().size(), 30U);
}

// Guards against acknowledged versions that are late at an entry host, whichever control hosts
// fail, how, and when; at most two at a time.
RC_GTEST_PROP(StateAge, AcknowledgedVersionsAreInForceInTime, ())
{
  const auto control_hosts = *rc::gen::inRange<unsigned>(5, 9);
  SimulatedSite site(control_hosts, control_hosts);
  start(site);
  std::vector<Fault> faults;
  milliseconds begin{ 0 };
  for (auto left = *rc::gen::inRange(1, 4); left > 0; --left) {
    begin += milliseconds(*rc::gen::inRange(0, 3000));
    const milliseconds end = begin + milliseconds(*rc::gen::inRange(100, 6000));
    const auto first = *rc::gen::inRange<unsigned>(0, control_hosts);
    const auto second = (first + *rc::gen::inRange<unsigned>(1, control_hosts)) % control_hosts;
    const auto kind =
      *rc::gen::element(Fault::Kind::Frozen, Fault::Kind::Silent, Fault::Kind::Starved);
    faults.push_back({ .kind = kind, .host = first, .begin = begin, .end = end });
    faults.push_back({ .kind = kind, .host = second, .begin = begin, .end = end });
    begin = end;
  }
  site.set_faults(faults);
  const milliseconds interval{ *rc::gen::inRange(2, 60) * kStep };
  RC_ASSERT(longest_delay(site, interval, begin + milliseconds(2500)) < kInForceWithin);
}

} // namespace
} // namespace lovagehold::testing
