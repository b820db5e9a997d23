#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/consensus.h"
#include "lovagehold/log_field.h"
#include "lovagehold/replicated_state.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace lovagehold {

struct ReplicaOptions
{
  HostId host;
  std::string address;
  std::string failure_domain;
  /// All control hosts in the settings with their cluster addresses. The first one bootstraps the
  /// group once all of them have reported an empty log.
  std::vector<std::pair<HostId, std::string>> members;
  /// Whether this host may bootstrap a group; false: the group exists already and the host joins
  /// it.
  bool may_bootstrap = true;
  /// Its seed is replaced by one derived from ReplicaOptions::seed.
  ConsensusOptions consensus = {};
  ReplicatedStateOptions state = {};
  std::size_t segment_bytes = std::size_t{ 4 } << 20;
  /// A snapshot is taken once the log has grown by this size or by the size of the last snapshot,
  /// whichever is larger.
  std::size_t snapshot_bytes = std::size_t{ 4 } << 20;
  /// A snapshot is also taken after this number of configuration changes. Replaying each change
  /// merges all files again: 500 changes took 2.9 s.
  unsigned snapshot_changes = 20;
  /// Size of one snapshot chunk; also the size of payloads at which a message to a subscriber is
  /// complete.
  std::size_t message_bytes = std::size_t{ 256 } << 10;
  /// A snapshot chunk is not sent to the same subscriber again within this time, because it may
  /// still be in transit on a slow link.
  std::chrono::milliseconds snapshot_resend{ 500 };
  std::chrono::milliseconds subscription_timeout{ 2000 };
  std::chrono::milliseconds join_interval{ 200 };
  /// Minimum time between two reports that this host is outside the group.
  std::chrono::milliseconds outside_report_interval{ 10'000 };
  /// A read that confirms the state of subscribers is taken for lost after this time.
  std::chrono::milliseconds read_retry{ 300 };
  /// Limit on the time that confirm_leadership() takes.
  std::chrono::milliseconds confirmation_timeout{ 2000 };
  /// Delay after a storage failure before the disk is opened again.
  std::chrono::milliseconds storage_retry{ 5000 };
  /// A starting subscriber is directed only to control hosts from which a message arrived within
  /// this time, or to any during the same time after the start.
  std::chrono::milliseconds source_heard{ 1500 };
  /// A new image of the state is made for starting subscribers when the entries since the last one
  /// exceed this size.
  std::size_t image_lag_bytes = std::size_t{ 16 } << 10;
  /// Seed for member ids, election timeouts and the numbers of reads; 0 draws a random one.
  std::uint64_t seed = 0;
  /// Whether to write on a separate thread; false: writes block the calling thread, for tests.
  bool storage_thread = true;
};

/// Functions through which a Replica reaches its process.
struct ReplicaPorts
{
  std::function<void(const std::string& address, const ClusterMessage&)> send;
  /// Schedules the function on the thread that runs the replica. Called from any thread.
  std::function<void(std::function<void()>)> post;
  /// Logs an event, such as a role change or a storage failure.
  std::function<void(std::string_view event, const std::vector<LogField>& fields)> report;
  /// \return number of entry hosts that callers are directed to, which is sent to subscribers. May
  /// be empty.
  std::function<std::uint64_t()> entry_hosts;
  std::function<TimePoint()> now = [] { return Clock::now(); };
};

struct ReplicaStatus
{
  ConsensusRole role = ConsensusRole::Follower;
  std::uint64_t term = 0;
  std::string leader_address;
  std::uint64_t commit = 0;
  std::uint64_t applied = 0;
  Membership membership;
  /// Whether the host leads or has heard from the leader within the election timeout.
  bool in_contact = false;
  /// See Consensus::lag().
  Duration lag = Duration::max();
  /// See Consensus::progress(): empty unless this host leads.
  std::vector<MemberProgress> progress;
  /// How long this host has been outside the group: no member, or without a leader. Zero while it
  /// is inside.
  Duration outside = Duration::zero();
  /// Addresses of hosts that asked this one to add them within ReplicaOptions::source_heard and
  /// whose present identity is not that of a member.
  std::vector<std::string> joining;
};

/// A control host's replica of the log: runs Consensus with real time and a disk, answers proposals
/// and sends committed entries to subscribers. Writes to disk on its own thread; everything else
/// runs on the calling thread. Not thread-safe.
class Replica
{
public:
  Replica(ReplicaOptions options, ReplicaPorts ports, std::unique_ptr<Disk> disk);
  ~Replica();

  /// Reads the log from disk. \return Corrupt or Storage if it can't be used
  Result<void> open();

  /// Handles Propose, Subscribe, SourceQuery, JoinGroup, GroupContacts and ConsensusEnvelope;
  /// ignores other messages.
  void receive(const std::string& from, const ClusterMessage& message);

  /// To be called about every 50 ms.
  void tick();

  /// Sets further cluster addresses to which requests to join are sent.
  void set_seeds(std::vector<std::string> addresses);

  /// Whether this host leads the group.
  bool leads() const;

  /// See ReplicaStatus::in_contact.
  bool in_contact() const;

  /// See Consensus::membership().
  const Membership& membership() const;

  /// Asks a majority, through the leader, to confirm that the state of this host is current.
  /// \param done called once, possibly before this function returns: with the time of this call
  /// when a majority has confirmed the leader and all entries committed before have been applied
  /// here; without a value as soon as that can't be confirmed any more, because no leader is known,
  /// leadership is lost, the disk has failed, or ReplicaOptions::confirmation_timeout has passed.
  /// Not called after the destruction of this object
  void confirm_leadership(std::function<void(std::optional<TimePoint> requested_at)> done);

  ReplicaStatus status() const;

  /// \return the members that are known to run, this host included: those whose messages arrived
  /// recently, and all of them shortly after the start
  std::vector<ControlAddress> running_members() const;

  const StateMachine& machine() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
