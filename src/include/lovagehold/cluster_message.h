#pragma once

#include "lovagehold/command.h"
#include "lovagehold/hybrid_clock.h"

#include <variant>

namespace lovagehold {

/// Asks the leader to put a command into the log.
struct Propose
{
  std::uint64_t id = 0;
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
};

/// Asks for all entries from the index on, now and as they are committed.
struct Subscribe
{
  std::uint64_t from_index = 1;
};

/// Committed entries in order.
struct Entries
{
  std::uint64_t first_index = 1;
  std::vector<Bytes> commands;
};

/// State of a subscriber that is too far behind for entries.
struct SnapshotTransfer
{
  std::uint64_t index = 0;
  Bytes state;
};

/// Entry sent to a replica.
struct Append
{
  std::uint64_t index = 0;
  Bytes command;
};

/// The replica has synced all entries up to the index.
struct AppendAck
{
  std::uint64_t index = 0;
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

using ClusterMessage = std::variant<Propose,
                                    ProposeReply,
                                    Subscribe,
                                    Entries,
                                    SnapshotTransfer,
                                    Append,
                                    AppendAck,
                                    ServerRenewal,
                                    Heartbeat,
                                    HeartbeatReply>;

/// CBOR encoding. \return the bytes.
Bytes encode(const ClusterMessage& message);

/// A message with the sender's hybrid logical time.
struct Envelope
{
  HybridTime time;
  ClusterMessage message;
};

/// CBOR encoding with the sender's time. \return the bytes.
Bytes encode(const ClusterMessage& message, const HybridTime& time);

/// \return the message and its time, or Protocol if the bytes are none. The time is zero if the
/// sender gave none.
Result<Envelope> decode_envelope(const Bytes& bytes);

/// \return the message, or Protocol if the bytes are none.
Result<ClusterMessage> decode_message(const Bytes& bytes);

} // namespace lovagehold
