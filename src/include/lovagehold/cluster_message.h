#pragma once

#include "lovagehold/command.h"

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

using ClusterMessage = std::variant<Propose,
                                    ProposeReply,
                                    Subscribe,
                                    Entries,
                                    SnapshotTransfer,
                                    Append,
                                    AppendAck,
                                    ServerRenewal>;

/// CBOR encoding. \return the bytes.
Bytes encode(const ClusterMessage& message);

/// \return the message, or Protocol if the bytes are none.
Result<ClusterMessage> decode_message(const Bytes& bytes);

} // namespace lovagehold
