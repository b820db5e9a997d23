#pragma once

#include "lovagehold/error.h"
#include "lovagehold/types.h"

#include <array>
#include <optional>
#include <string>
#include <variant>

namespace lovagehold {

/// SHA-256 of a request body.
using Digest = std::array<std::uint8_t, 32>;

/// A file of the operators' folder. Its number decides between racing changes.
struct SubmitChange
{
  std::uint64_t number = 0;
  std::string file_name;
  std::string content;
};

/// Reserves an idempotency key for one attempt, before the first byte goes to a server.
struct ClaimKey
{
  ServiceName service;
  std::string key;
  Digest body_digest{};
  /// Unique over all attempts of all hosts.
  std::string attempt;
  HostId holder;
  /// Incarnation of the holder; 0 if not known. A claim of an earlier incarnation is refused.
  std::uint64_t holder_incarnation = 0;
  WallTime now{};
  std::chrono::hours retention{ 24 };
};

enum class OutcomeKind
{
  Done,    ///< the server answered; the response is stored
  NotRun,  ///< the first byte never went out; the key is free again
  Unknown, ///< it may have run; the attempt ended without a stored response
};

/// Larger bodies are not stored; the stored response is marked truncated.
constexpr std::size_t kMaxStoredBodyBytes = std::size_t{ 64 } << 10;

/// A stored response kept for callers that ask again.
struct StoredResponse
{
  unsigned status = 0;
  std::string content_type;
  std::string body;
  /// The stored response was larger than the limit; body is empty.
  bool truncated = false;
};

/// Ends a claim. Only the attempt that holds it can.
struct RecordOutcome
{
  ServiceName service;
  std::string key;
  std::string attempt;
  OutcomeKind outcome = OutcomeKind::Done;
  StoredResponse stored_response;
  WallTime now{};
};

struct JoinServer
{
  ServerInfo server;
};

/// The server leaves; nothing new goes to this incarnation or an older one.
struct LeaveServer
{
  ServiceName service;
  ServerId id;
  std::uint64_t incarnation = 0;
  /// The lease ended; the same incarnation may join again.
  bool expired = false;
};

/// Replaces the whole routing configuration if the version is higher than the one held.
struct ReplaceRouting
{
  std::uint64_t version = 0;
  /// As the operator sent it.
  std::string document;
};

struct JoinHost
{
  HostInfo host;
};

struct LeaveHost
{
  HostId id;
  std::uint64_t incarnation = 0;
  /// The host gave up its services itself, so that a successor has nothing to wait for.
  bool released = false;
  /// View that the host is known to have applied; the state machine derives from it which services
  /// the host may still serve.
  std::uint64_t acknowledged = 0;
};

/// Removes outcomes whose retention time has passed.
struct ExpireOutcomes
{
  WallTime now{};
};

using Command = std::variant<SubmitChange,
                             ClaimKey,
                             RecordOutcome,
                             JoinServer,
                             LeaveServer,
                             JoinHost,
                             LeaveHost,
                             ExpireOutcomes,
                             ReplaceRouting>;

/// How a claim stands after a ClaimKey command.
enum class ClaimStatus
{
  Granted,       ///< this attempt may run
  InProgress,    ///< another attempt holds the key and its holder is live
  Done,          ///< ran; the response is stored
  Unknown,       ///< may have run; the holder is gone
  DigestDiffers, ///< the key was used with another body
  StoreFull,     ///< refused: the store is at its limit
};

/// What applying a command gave; errors are part of the replicated result.
struct ApplyResult
{
  bool accepted = false;
  /// Set if not accepted.
  std::optional<Error> error;
  /// Set for ClaimKey. Never Granted unless a command granted it.
  ClaimStatus claim = ClaimStatus::Unknown;
  /// Set for ClaimKey with status Done.
  std::optional<StoredResponse> stored_response;
  /// Set for SubmitChange: the revision that the change has or, on conflict, the winner's.
  std::uint64_t revision = 0;
  /// Set for SubmitChange on conflict.
  std::string winner_file;
  std::uint64_t next_free_number = 0;
};

/// CBOR encoding of a command. \return the bytes.
Bytes encode(const Command& command);

/// \return the command, or Protocol if the bytes are no command.
Result<Command> decode_command(const Bytes& bytes);

} // namespace lovagehold
