#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/consensus.h"
#include "lovagehold/replicated_state.h"

#include <functional>
#include <memory>
#include <string_view>

namespace lovagehold {

struct ReplicaOptions
{
  HostId host;
  std::string address;
  std::string failure_domain;
  /// All control hosts of the settings with their cluster addresses. The first one founds the group
  /// once all of them are found empty.
  std::vector<std::pair<HostId, std::string>> members;
  /// False: the group exists already, so this host only joins it.
  bool may_bootstrap = true;
  /// The seed is replaced by one derived from \p seed.
  ConsensusOptions consensus = {};
  ReplicatedStateOptions state = {};
  std::size_t segment_bytes = std::size_t{ 4 } << 20;
  /// A snapshot is taken once the log has grown by this or, if larger, by the last snapshot's size.
  std::size_t snapshot_bytes = std::size_t{ 4 } << 20;
  /// It is also taken after this number of configuration changes: replaying one merges all files
  /// again, and 500 of them took 2.9 s.
  unsigned snapshot_changes = 20;
  /// Bytes of payloads or of a snapshot in one message to a subscriber.
  std::size_t message_bytes = std::size_t{ 256 } << 10;
  /// A piece of a snapshot is not sent to the same subscriber again within this time: it may still
  /// be on its way over a slow link.
  std::chrono::milliseconds snapshot_resend{ 500 };
  std::chrono::milliseconds subscription_timeout{ 2000 };
  std::chrono::milliseconds join_interval{ 200 };
  /// After a storage failure, until the disk is tried again.
  std::chrono::milliseconds storage_retry{ 5000 };
  /// For identities and election times; 0 draws a random one.
  std::uint64_t seed = 0;
  /// False: writes block the calling thread. For tests.
  bool storage_thread = true;
};

struct ReplicaPorts
{
  std::function<void(const std::string& address, const ClusterMessage&)> send;
  /// Runs the function later on the thread that calls the replica. Called from any thread.
  std::function<void(std::function<void()>)> post;
  /// Role changes and storage failures, for the log.
  std::function<void(std::string_view event, std::string_view key, const std::string& value)>
    report;
  /// \return entry hosts that callers are sent to; told to subscribers. May be empty.
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
  /// Leads, or has heard from the leader within the election timeout.
  bool in_contact = false;
};

/// A control host's part of the replicated log: drives Consensus with real time and a disk, answers
/// proposals and feeds subscribers. Writes on its own thread; everything else runs on the thread
/// that calls it. Not thread-safe.
class Replica
{
public:
  Replica(ReplicaOptions options, ReplicaPorts ports, std::unique_ptr<Disk> disk);
  ~Replica();

  /// Reads the disk. \return Corrupt or Storage if it can't be used.
  Result<void> open();

  /// Handles Propose, Subscribe, JoinGroup and ConsensusEnvelope; ignores the rest.
  void receive(const std::string& from, const ClusterMessage& message);

  /// To be called every 50 ms or so.
  void tick();

  /// Further cluster addresses at which to ask for membership.
  void set_seeds(std::vector<std::string> addresses);

  /// Whether this host leads the group.
  bool leads() const;

  /// Asks a majority to confirm that this host leads.
  /// \param confirmed called with the time of this call once a majority has confirmed and all
  /// entries committed before have been applied; dropped if leadership is lost first
  void confirm_leadership(std::function<void(TimePoint asked)> confirmed);

  ReplicaStatus status() const;

  const StateMachine& machine() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
