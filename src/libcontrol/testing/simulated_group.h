#pragma once

#include "libstate/testing/fake_disk.h"
#include "lovagehold/control_client.h"
#include "lovagehold/replica.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagehold::testing {

using std::chrono::milliseconds;

struct SimulatedGroupOptions
{
  unsigned control_hosts = 3;
  unsigned entry_hosts = 0;
  /// Number of control hosts that the settings name at the first start; 0: all of them.
  unsigned seeds = 0;
  /// The control hosts are spread over this number of failure domains.
  unsigned failure_domains = 1;
  ConsensusOptions consensus = { .heartbeat = milliseconds(100),
                                 .election_timeout = milliseconds(450),
                                 .first_election_timeout = milliseconds(100),
                                 .quorum_timeout = milliseconds(700) };
  /// Each link takes a fixed time between these two, in steps of SimulatedGroup::kStep.
  milliseconds min_delay{ 10 };
  milliseconds max_delay{ 10 };
  /// Time of a sync; the data of an unfinished one is lost with the power. Zero: immediate.
  milliseconds sync_time{ 0 };
  /// Size that the routing documents are padded to.
  std::size_t document_bytes = 0;
  /// Interval at which each control host confirms that its state is current; zero: never.
  milliseconds read_interval{ 0 };
  std::uint64_t seed = 1;
  /// Messages for which this returns true are lost. May be empty.
  std::function<bool(const std::string& from, const std::string& to, const ClusterMessage&)>
    is_lost;
  /// Receives what the control hosts report, with the time and the host. May be empty.
  std::function<void(const std::string&)> trace;
};

/// Control hosts with their disks, entry hosts that follow them, an operator that changes the
/// routing through any of the control hosts, and the links between them, in virtual time. After
/// each step it checks that there is one group with at most one leader a term, and that confirmed
/// reads include each acknowledged version.
class SimulatedGroup
{
public:
  static constexpr milliseconds kStep{ 10 };

  struct Host
  {
    std::string address;
    std::string failure_domain;
    FakeDisk disk;
    /// Null while the process doesn't run.
    std::unique_ptr<Replica> replica;
    /// Removed for good.
    bool removed = false;
    /// The process is stopped; messages wait until it continues.
    bool frozen = false;
    /// Whether messages of others reach this host, and its messages reach others.
    bool hears = true;
    bool is_heard = true;
    milliseconds sync_time{ 0 };
    /// Number of disks that this host has lost.
    unsigned lost_disks = 0;
    /// Number of votes that this host has given to others.
    unsigned votes = 0;
    /// When the last confirmed read was requested.
    TimePoint read_confirmed;
  };

  explicit SimulatedGroup(SimulatedGroupOptions options);
  ~SimulatedGroup();

  void step();
  TimePoint now() const { return m_now; }

  const std::deque<Host>& hosts() const { return m_hosts; }
  /// \return number of the control host at the address; nothing if it is another host's
  std::optional<std::size_t> control_number(const std::string& address) const;
  bool runs(std::size_t host) const { return m_hosts[host].replica && !m_hosts[host].frozen; }

  /// Ends the process; what it has written stays.
  void kill(std::size_t host);
  /// Ends the process; what it hasn't synced is lost.
  void power_off(std::size_t host);
  /// Empties the disk of a host that doesn't run.
  void lose_disk(std::size_t host);
  /// Starts the process again, with the current seeds in its settings.
  void start(std::size_t host);
  /// Takes a host out of use for good.
  void remove(std::size_t host);
  /// Adds a host with an empty disk that is not started yet. \return its number
  std::size_t add_host(const std::string& failure_domain);
  void set_frozen(std::size_t host, bool frozen) { m_hosts[host].frozen = frozen; }
  void set_links(std::size_t host, bool hears, bool is_heard);
  void set_sync_time(std::size_t host, milliseconds time) { m_hosts[host].sync_time = time; }
  /// Loses all messages that are on their way.
  void reset_links() { m_messages.clear(); }
  /// Changes the seeds of running hosts and of later starts.
  void set_seeds(const std::vector<std::size_t>& hosts);
  const std::vector<std::size_t>& seeds() const { return m_seeds; }

  /// \return number of the running host that leads in the highest term; nothing if none does
  std::optional<std::size_t> leader() const;
  /// Whether there is a leader and all entry hosts have a confirmed state.
  bool ready() const;

  /// The operator proposes the next version. \return that version
  std::uint64_t change_routing();
  /// When each version was acknowledged.
  const std::map<std::uint64_t, TimePoint>& acknowledged() const { return m_acknowledged; }
  std::uint64_t last_acknowledged() const;
  /// When the oldest version without an acknowledgement was proposed; nothing if there is none.
  std::optional<TimePoint> oldest_proposal() const;

  /// \return longest time since the acknowledgement of a version that an entry host lacks. Times
  /// without a leader don't count: the rest of the group may not know yet what was acknowledged
  milliseconds longest_delay() const;

  /// \return the first promise that was broken, or an empty string
  const std::string& violation() const { return m_violation; }
  void report_violation(const std::string& violation);
  /// Writes the text to SimulatedGroupOptions::trace.
  void trace(const std::string& text) const;

  /// Asks the host for a read that is confirmed by a majority; its result is seen in
  /// Host::read_confirmed.
  void request_read(std::size_t host);

private:
  class SlowDisk;
  struct Message
  {
    std::string from;
    std::string to;
    Bytes bytes;
  };
  struct Posted
  {
    TimePoint due;
    std::function<void()> function;
  };
  /// What belongs to one run of a process.
  struct Process
  {
    TimePoint tick_at;
    std::deque<Posted> posted;
    std::vector<Message> held;
    /// Owned by the replica.
    SlowDisk* disk = nullptr;
    /// Makes the proposals of this host.
    std::unique_ptr<ControlClient> client;
    /// While it leads: its term, and its committed entries and voters at the last step.
    std::uint64_t led_term = 0;
    std::uint64_t led_commit = 0;
    std::set<MemberId> led_voters;
  };
  /// A version without an acknowledgement.
  struct Change
  {
    TimePoint proposed;
    /// When the operator tries the next control host.
    TimePoint retry_at;
  };

  static ControlClientOptions entry_options();
  std::vector<std::string> seed_addresses() const;
  void launch(std::size_t host, bool first_start);
  std::unique_ptr<ControlClient> make_client(const ControlClientOptions& options,
                                             const std::string& address);
  bool is_due(milliseconds interval) const;
  milliseconds link_delay(const std::string& from, const std::string& to) const;
  /// The operator sends the changes that are due to the next control host.
  void send_changes();
  void send_change(std::uint64_t version, std::size_t host);
  void send(const std::string& from, const std::string& to, const ClusterMessage& message);
  void deliver(Message message);
  void run_posted(std::size_t host);
  void run_host(std::size_t host);
  void on_report(std::size_t host, std::string_view event, const std::vector<LogField>& fields);
  /// Time since the start, in milliseconds.
  std::string time() const;
  void check_leader(std::size_t host);
  void check_new_voters(std::size_t host, const ReplicaStatus& status);
  bool has_effective_leader() const;

  SimulatedGroupOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{ std::chrono::hours(1) };
  std::deque<Host> m_hosts;
  std::deque<Process> m_processes;
  std::map<std::string, std::size_t> m_numbers;
  std::vector<std::size_t> m_seeds;
  /// Messages on their way, by the time of their delivery.
  std::multimap<TimePoint, Message> m_messages;
  /// The control host that the operator turns to next.
  std::size_t m_next_host = 0;
  std::vector<std::unique_ptr<ControlClient>> m_entry_hosts;
  std::uint64_t m_version = 0;
  std::map<std::uint64_t, TimePoint> m_acknowledged;
  std::map<std::uint64_t, Change> m_changes;
  /// When there was last no leader in contact with a majority.
  TimePoint m_leaderless_until;
  /// Address of the leader of each term, and the number of disks that it had lost.
  std::map<std::uint64_t, std::pair<std::string, unsigned>> m_leader_by_term;
  unsigned m_groups_founded = 0;
  std::string m_violation;
};

} // namespace lovagehold::testing
