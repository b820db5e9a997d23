#pragma once

#include "lovagehold/document_patch.h"
#include "lovagehold/error.h"
#include "lovagehold/routing_change.h"
#include "lovagehold/types.h"

#include <array>
#include <optional>
#include <string>
#include <variant>

namespace lovagehold {

/// SHA-256 of a request body.
using Digest = std::array<std::uint8_t, 32>;

/// Submits a configuration change file. The first change applied with a number keeps it; another
/// change with the same number is a conflict.
struct SubmitChange
{
  /// Position of the change in the merge order.
  std::uint64_t number = 0;
  /// Starts with the number.
  std::string file_name;
  std::string content;
};

/// Claims an idempotency key for one attempt, before any byte of the request is sent to a server.
struct ClaimKey
{
  ServiceName service;
  std::string key;
  Digest body_digest{};
  /// Unique among the attempts of all hosts.
  std::string attempt;
  /// Host that runs the attempt.
  HostId holder;
  /// Incarnation of the holder, 0 if not known. A claim by an earlier incarnation than the joined
  /// one is rejected.
  std::uint64_t holder_incarnation = 0;
  WallTime now{};
  /// The outcome may be removed this time after \p now.
  std::chrono::hours retention{ 24 };
};

enum class OutcomeKind
{
  Done,    ///< the server responded; the response is stored
  NotRun,  ///< no byte of the request was sent; the key may be claimed again
  Unknown, ///< the attempt ended without a response; the request may have run
};

/// Limit of a stored response body. A larger body is dropped and the response marked truncated.
constexpr std::size_t kMaxStoredBodyBytes = std::size_t{ 64 } << 10;

/// Response kept for callers that repeat the request.
struct StoredResponse
{
  unsigned status = 0;
  std::string content_type;
  std::string body;
  /// The body was larger than the limit or incomplete, and was dropped.
  bool truncated = false;
};

/// Ends a claim with its outcome. Rejected unless the attempt holds the claim.
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

/// Removes a server, unless a later incarnation has joined. The incarnation named, the removed one
/// and earlier ones can't join any more.
struct LeaveServer
{
  /// Empty: whichever service has a server with this id.
  ServiceName service;
  ServerId id;
  /// The largest value stands for whichever incarnation has joined.
  std::uint64_t incarnation = 0;
  /// The server did not leave by itself, its lease expired: the same incarnation may rejoin.
  bool expired = false;
};

/// Replaces the whole routing configuration if the version is higher than the current one.
struct ReplaceRouting
{
  std::uint64_t version = 0;
  /// The document as the operator sent it.
  std::string document;
};

/// Replaces the routing configuration by one that differs little from the current one. Rejected
/// with Conflict if the current version is lower than the new one and not the change's base.
struct ChangeRouting
{
  RoutingChange change;
  /// Makes the operator's document from that of the base version.
  DocumentPatch document;
};

/// Orders that no requests are sent to the servers of a failure domain, or withdraws the order.
struct EvacuateDomain
{
  std::string failure_domain;
  bool active = true;
};

struct JoinHost
{
  HostInfo host;
};

struct LeaveHost
{
  HostId id;
  std::uint64_t incarnation = 0;
  /// The host released its services before it left, so their next owners need not wait.
  bool released = false;
  /// Latest membership view that the host is known to have applied. Determines which services it
  /// may still serve, see DepartedHost::known_members.
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
                             ReplaceRouting,
                             ChangeRouting,
                             EvacuateDomain>;

/// Status of an idempotency key after a ClaimKey command.
enum class ClaimStatus
{
  Granted,       ///< this attempt may run
  InProgress,    ///< another attempt holds the key
  Done,          ///< the request ran; its response is stored
  Unknown,       ///< the request may have run; its attempt ended without a response
  DigestDiffers, ///< the key was used with another request body
  StoreFull,     ///< rejected because the store is full or the holder has left
};

/// Result of applying a command. All replicas compute the same result, errors included.
struct ApplyResult
{
  bool accepted = false;
  /// Set if not accepted.
  std::optional<Error> error;
  /// Set for ClaimKey. The default is not Granted, so that no other result lets a request run.
  ClaimStatus claim = ClaimStatus::Unknown;
  /// Set for ClaimKey if the status is Done.
  std::optional<StoredResponse> stored_response;
  /// Set for SubmitChange: revision of the accepted change or, on conflict, of the change that
  /// holds the number. Set for EvacuateDomain: log index of the order in force, or of the
  /// withdrawal.
  std::uint64_t revision = 0;
  /// Set for SubmitChange on conflict: file name of the change that holds the number.
  std::string winner_file;
  /// Set for SubmitChange on conflict.
  std::uint64_t next_free_number = 0;
};

/// \return the CBOR encoding of the command.
Bytes encode(const Command& command);

/// \return the command, or an error of kind Protocol if the bytes are malformed.
Result<Command> decode_command(const Bytes& bytes);

} // namespace lovagehold
