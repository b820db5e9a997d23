#include "libstate/testing/fake_disk.h"
#include "lovagehold/control_client.h"
#include "lovagehold/replica.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace lovagehold::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kDelay{ 10 };
constexpr milliseconds kControlTick{ 50 };
constexpr milliseconds kEntryTick{ 100 };
/// A leader that a majority has not answered for this time counts as lost.
constexpr milliseconds kLeaderContact{ 300 };
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

/// A control group, entry hosts that follow it, and an operator, in virtual time. Messages take
/// kDelay.
class SimulatedSite
{
public:
  SimulatedSite(unsigned control_hosts, unsigned entry_hosts)
    : m_disks(control_hosts)
  {
    for (unsigned number = 0; number < control_hosts; ++number) {
      start_control_host(number, control_hosts);
    }
    ControlClientOptions operator_options{ .proposal_timeout = std::chrono::seconds(30),
                                           .follow = false,
                                           .client = 1 };
    operator_options.control_addresses = control_addresses();
    m_operator = make_client(operator_options, "operator");
    for (unsigned number = 0; number < entry_hosts; ++number) {
      ControlClientOptions options = entry_options();
      options.control_addresses = control_addresses();
      std::rotate(options.control_addresses.begin(),
                  options.control_addresses.begin() + number % control_hosts,
                  options.control_addresses.end());
      options.client = number + 2;
      options.address = "entry-" + std::to_string(number);
      m_entry_hosts.push_back(make_client(options, "entry-" + std::to_string(number)));
    }
  }

  static std::string control_address(unsigned number)
  {
    return "control-" + std::to_string(number);
  }

  void set_faults(std::vector<Fault> faults)
  {
    m_faults = std::move(faults);
    m_faults_begin = m_now;
  }

  /// \return number of the control host that leads; nothing if none does
  std::optional<unsigned> leader() const
  {
    for (unsigned number = 0; number < m_replicas.size(); ++number) {
      if (m_replicas[number]->leads()) {
        return number;
      }
    }
    return std::nullopt;
  }

  bool ready() const
  {
    return leader() && std::all_of(m_entry_hosts.begin(), m_entry_hosts.end(), [](const auto& e) {
             return e->ready();
           });
  }

  void change_routing()
  {
    const std::uint64_t version = ++m_version;
    m_operator->propose(
      ReplaceRouting{ .version = version, .document = "version " + std::to_string(version) },
      [this, version](const Result<ApplyResult>& result) {
        if (result.has_value()) {
          m_acknowledged[version] = m_now;
        }
      },
      m_now);
  }

  void step()
  {
    m_now += kStep;
    while (!m_messages.empty() && m_messages.front().due <= m_now) {
      Message message = std::move(m_messages.front());
      m_messages.pop_front();
      deliver(std::move(message));
    }
    for (unsigned number = 0; number < m_replicas.size(); ++number) {
      if (has_fault(number, Fault::Kind::Frozen)) {
        continue;
      }
      for (Message& message : std::exchange(m_held[control_address(number)], {})) {
        deliver(std::move(message));
      }
      run_posted(number);
      if (is_due(kControlTick)) {
        m_replicas[number]->tick();
      }
      run_posted(number);
    }
    if (!has_effective_leader()) {
      m_leaderless_until = m_now;
    }
    if (is_due(kEntryTick)) {
      m_operator->tick(m_now);
      for (const auto& entry_host : m_entry_hosts) {
        entry_host->tick(m_now);
      }
    }
  }

  /// \return longest time since the acknowledgement of a version that an entry host lacks. Times
  /// without a leader don't count: the rest of the group may not know yet what was acknowledged
  milliseconds longest_delay() const
  {
    milliseconds longest{ 0 };
    for (const auto& entry_host : m_entry_hosts) {
      const auto missing = m_acknowledged.upper_bound(entry_host->state().routing_version());
      if (missing != m_acknowledged.end()) {
        // A later version may have been acknowledged earlier.
        TimePoint oldest = m_now;
        for (auto version = missing; version != m_acknowledged.end(); ++version) {
          oldest = std::min(oldest, version->second);
        }
        const TimePoint begin = std::max(oldest, m_leaderless_until);
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(m_now - begin));
      }
    }
    return longest;
  }

  std::size_t acknowledged() const { return m_acknowledged.size(); }

private:
  struct Message
  {
    TimePoint due;
    std::string from;
    std::string to;
    Bytes bytes;
  };

  // The timing of EntryHost.
  static ControlClientOptions entry_options()
  {
    return { .subscribe_interval = milliseconds(50),
             .subscription_timeout = milliseconds(1000),
             .renew_interval = milliseconds(500),
             .max_state_age = milliseconds(1000) };
  }

  std::vector<std::string> control_addresses() const
  {
    std::vector<std::string> addresses;
    for (unsigned number = 0; number < m_replicas.size(); ++number) {
      addresses.push_back(control_address(number));
    }
    return addresses;
  }

  void start_control_host(unsigned number, unsigned control_hosts)
  {
    ReplicaOptions options{ .host = control_address(number), .address = control_address(number) };
    for (unsigned i = 0; i < control_hosts; ++i) {
      options.members.emplace_back(control_address(i), control_address(i));
    }
    options.consensus = { .heartbeat = milliseconds(100),
                          .election_timeout = milliseconds(450),
                          .first_election_timeout = milliseconds(100),
                          .quorum_timeout = milliseconds(700) };
    options.subscription_timeout = milliseconds(3000);
    options.storage_thread = false;
    options.seed = number + 1;
    ReplicaPorts ports;
    ports.send = [this, number](const std::string& to, const ClusterMessage& message) {
      send(control_address(number), to, message);
    };
    ports.post = [this, number](std::function<void()> function) {
      m_posted[number].push_back(std::move(function));
    };
    ports.report = [](std::string_view, const std::vector<LogField>&) {};
    ports.now = [this] { return m_now; };
    m_replicas.push_back(std::make_unique<Replica>(
      std::move(options), std::move(ports), std::make_unique<SharedDisk>(m_disks[number])));
    RC_ASSERT(m_replicas.back()->open().has_value());
  }

  std::unique_ptr<ControlClient> make_client(const ControlClientOptions& options,
                                             const std::string& address)
  {
    return std::make_unique<ControlClient>(
      options,
      [this, address](const std::string& to, const ClusterMessage& message) {
        send(address, to, message);
      },
      [](const StateMachine&) {});
  }

  milliseconds time() const
  {
    return std::chrono::duration_cast<milliseconds>(m_now - m_faults_begin);
  }

  bool has_fault(unsigned number, Fault::Kind kind) const
  {
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault& fault) {
      return fault.affects(number, kind, time());
    });
  }

  bool is_due(milliseconds interval) const
  {
    return m_now.time_since_epoch() % interval == Duration::zero();
  }

  std::optional<unsigned> control_number(const std::string& address) const
  {
    for (unsigned number = 0; number < m_replicas.size(); ++number) {
      if (address == control_address(number)) {
        return number;
      }
    }
    return std::nullopt;
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
    const auto receiver = control_number(to);
    const auto sender = control_number(from);
    return (receiver && has_fault(*receiver, Fault::Kind::Silent)) ||
           (sender && has_fault(*sender, Fault::Kind::Silent)) ||
           (receiver && has_fault(*receiver, Fault::Kind::Starved) && carries_entries(message));
  }

  void send(const std::string& from, const std::string& to, const ClusterMessage& message)
  {
    if (!is_lost(from, to, message)) {
      m_messages.push_back(
        { .due = m_now + kDelay, .from = from, .to = to, .bytes = encode(message) });
    }
  }

  void deliver(Message message)
  {
    const auto number = control_number(message.to);
    if (number && has_fault(*number, Fault::Kind::Frozen)) {
      m_held[message.to].push_back(std::move(message));
      return;
    }
    const ClusterMessage received = decode_message(message.bytes).value();
    if (number) {
      m_replicas[*number]->receive(message.from, received);
    } else if (message.to == "operator") {
      m_operator->receive(message.from, received, m_now);
    } else {
      m_entry_hosts[std::stoul(message.to.substr(message.to.find('-') + 1))]->receive(
        message.from, received, m_now);
    }
  }

  bool has_effective_leader() const
  {
    return std::any_of(m_replicas.begin(), m_replicas.end(), [](const auto& replica) {
      return replica->leads() && replica->status().lag < kLeaderContact;
    });
  }

  void run_posted(unsigned number)
  {
    for (auto& posted = m_posted[number]; !posted.empty();) {
      const auto function = std::move(posted.front());
      posted.pop_front();
      function();
    }
  }

  TimePoint m_now{ std::chrono::hours(1) };
  TimePoint m_faults_begin = TimePoint::max();
  std::vector<Fault> m_faults;
  std::deque<Message> m_messages;
  /// Messages to frozen hosts.
  std::map<std::string, std::vector<Message>> m_held;
  std::map<unsigned, std::deque<std::function<void()>>> m_posted;
  std::vector<FakeDisk> m_disks;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::unique_ptr<ControlClient> m_operator;
  std::vector<std::unique_ptr<ControlClient>> m_entry_hosts;
  std::uint64_t m_version = 0;
  /// When each version was acknowledged.
  std::map<std::uint64_t, TimePoint> m_acknowledged;
  /// When there was last no leader in contact with a majority.
  TimePoint m_leaderless_until;
};

// \return longest delay seen while versions are sent each \p interval for \p duration
milliseconds
longest_delay(SimulatedSite& site, milliseconds interval, milliseconds duration)
{
  milliseconds longest{ 0 };
  for (milliseconds time{ 0 }; time < duration; time += kStep) {
    if (time % interval == milliseconds(0)) {
      site.change_routing();
    }
    site.step();
    longest = std::max(longest, site.longest_delay());
  }
  return longest;
}

void
start(SimulatedSite& site)
{
  for (unsigned i = 0; i < 1000 && !site.ready(); ++i) {
    site.step();
  }
  ASSERT_TRUE(site.ready());
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
      const unsigned leader = site.leader().value();
      if (first == leader || second == leader) {
        continue;
      }
      site.set_faults({ { .kind = kind, .host = first, .end = milliseconds(8000) },
                        { .kind = kind, .host = second, .end = milliseconds(8000) } });
      EXPECT_LT(longest_delay(site, milliseconds(200), milliseconds(9000)), kInForceWithin)
        << "first=" << first;
      EXPECT_GT(site.acknowledged(), 30U);
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
  const unsigned starved = (site.leader().value() + 1) % kControlHosts;
  site.set_faults({ { .kind = Fault::Kind::Starved, .host = starved, .end = milliseconds(8000) } });
  EXPECT_LT(longest_delay(site, milliseconds(200), milliseconds(9000)), kInForceWithin);
  EXPECT_GT(site.acknowledged(), 30U);
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
