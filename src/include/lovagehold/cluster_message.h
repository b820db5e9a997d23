#pragma once

#include "lovagehold/command.h"
#include "lovagehold/consensus_message.h"
#include "lovagehold/entry_directory.h"
#include "lovagehold/hybrid_clock.h"

#include <map>
#include <optional>
#include <variant>

namespace lovagehold {

/// Asks the leader to put a command into the log. Sent again with the same client and id, it is
/// applied once.
struct Propose
{
  /// Random, new for each process.
  std::uint64_t client = 0;
  std::uint64_t id = 0;
  /// The client no longer waits for smaller ids.
  std::uint64_t lowest_pending = 1;
  Bytes command;
};

/// What applying the proposed command gave.
struct ProposeReply
{
  std::uint64_t id = 0;
  bool decided = false;
  /// Set if decided.
  ApplyResult result;
  /// Set if not decided.
  Error error;
  /// Set if not decided and the leader is known.
  std::string leader_address;
};

/// Asks for all entries from the index on, now and as they are committed; repeated to stay
/// subscribed.
struct Subscribe
{
  std::uint64_t from_index = 1;
  /// The answer shall contain everything that was acknowledged before.
  bool confirm = false;
  /// The next piece of this snapshot is wanted; 0 if none.
  std::uint64_t snapshot_index = 0;
  std::uint64_t snapshot_offset = 0;
  /// The subscriber as an entry host; nothing if it is none.
  std::optional<EntryPresence> presence;
  /// Version of the entry addresses that the subscriber holds.
  std::uint64_t directory_version = 0;
};

/// Where a control host listens for other hosts.
struct ControlAddress
{
  std::string address;
  std::string failure_domain;
};

/// Payloads of committed entries in order, see ReplicatedState; empty for entries without a
/// command.
struct Entries
{
  std::uint64_t first_index = 1;
  /// With these entries the subscriber has everything that was acknowledged before it asked.
  bool confirmed = false;
  std::vector<Bytes> payloads;
  /// Cluster addresses of the control hosts with their failure domains; empty if not told.
  std::vector<ControlAddress> control;
  /// Entry hosts that callers are sent to; 0 if not told.
  std::uint64_t entry_hosts = 0;
};

/// Entry hosts that a control host has heard of, for the other control hosts.
struct EntryHosts
{
  struct ReportedHost
  {
    EntryPresence presence;
    std::chrono::milliseconds age{ 0 };
  };
  std::vector<ReportedHost> hosts;
};

/// Piece of a ReplicatedState's snapshot, for a subscriber that is too far behind for entries.
struct SnapshotTransfer
{
  std::uint64_t index = 0;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  Bytes state;
};

/// A control host whose identity is in no membership that it knows asks to be added.
struct JoinGroup
{
  Member member;
  /// Its log is empty.
  bool empty = false;
  /// Random, new for each process.
  std::uint64_t nonce = 0;
  /// The last nonce heard from the first control host of the settings.
  std::uint64_t heard_nonce = 0;
};

/// A server's renewal, passed on to the owner of its service.
struct ServerRenewal
{
  ServiceName service;
  ServerId id;
  std::uint64_t incarnation = 0;
};

/// Renews a host's session at the control leader.
struct Heartbeat
{
  HostId host;
  std::uint64_t incarnation = 0;
  /// Repeated in the reply; grows with each heartbeat of the host.
  std::uint64_t sequence = 0;
  /// View that the host has applied: it dispatches nothing that this view took from it.
  std::uint64_t view = 0;
  /// Highest stable view that the host has been told, for a new leader.
  std::uint64_t stable_view = 0;
};

/// Answers a heartbeat.
struct HeartbeatReply
{
  std::uint64_t sequence = 0;
  /// Lease from the time at which the host sent the heartbeat; zero if it was not renewed.
  std::chrono::milliseconds lease{ 0 };
  /// Every live session has acknowledged this view. Zero if nothing can be told, also while the
  /// host has not applied the leader's view.
  std::uint64_t stable_view = 0;
  /// Cluster address of the leader, if another process leads.
  std::string leader;
};

/// Entry hosts that callers of each failure domain are sent to, for the entry hosts that answer
/// them.
struct EntryAddresses
{
  /// Changes with the content; see version_of().
  std::uint64_t version = 0;
  std::map<std::string, std::vector<std::string>> by_domain;
};

/// \return a number that names the content
std::uint64_t version_of(const EntryAddresses& addresses);

using ClusterMessage = std::variant<Propose,
                                    ProposeReply,
                                    Subscribe,
                                    Entries,
                                    SnapshotTransfer,
                                    JoinGroup,
                                    ConsensusEnvelope,
                                    ServerRenewal,
                                    Heartbeat,
                                    HeartbeatReply,
                                    EntryHosts,
                                    EntryAddresses>;

/// CBOR encoding. \return the bytes.
Bytes encode(const ClusterMessage& message);

/// A message with the sender's hybrid logical time.
struct StampedMessage
{
  HybridTime time;
  ClusterMessage message;
};

/// CBOR encoding with the sender's time. \return the bytes.
Bytes encode(const ClusterMessage& message, const HybridTime& time);

/// \return the message and its time, or Protocol if the bytes are none. The time is zero if the
/// sender gave none.
Result<StampedMessage> decode_stamped_message(const Bytes& bytes);

/// \return the message, or Protocol if the bytes are none.
Result<ClusterMessage> decode_message(const Bytes& bytes);

} // namespace lovagehold
