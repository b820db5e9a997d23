#pragma once

#include "lovagehold/error.h"
#include "lovagehold/types.h"

#include <memory>
#include <variant>

namespace lovagehold {

/// Random identity of one disk. A wiped disk gets a new one, so that its process never votes as the
/// member that it was before.
using MemberId = std::uint64_t;

struct Member
{
  MemberId id = 0;
  HostId host;
  /// Cluster address.
  std::string address;
  /// Voters count for a majority; learners only receive the log.
  bool voter = false;
  std::string failure_domain;
};

using Membership = std::vector<Member>;

enum class EntryKind : std::uint8_t
{
  Empty, ///< starts a leader's term
  Command,
  MembershipChange, ///< the payload is the whole new membership
};

/// Shared, because one payload is sent to several members, written and applied.
using Payload = std::shared_ptr<const Bytes>;

struct LogEntry
{
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::Empty;
  /// Null means no bytes.
  Payload payload;
};

struct LogPosition
{
  std::uint64_t index = 0;
  std::uint64_t term = 0;
};

/// State after the entry at \p last, in place of all entries up to it.
struct StateSnapshot
{
  LogPosition last;
  Membership membership;
  Bytes state;
};

struct VoteState
{
  std::uint64_t term = 0;
  /// 0 means no vote in this term.
  MemberId voted_for = 0;
};

/// Replaces the entries up to the snapshot's position.
struct SaveSnapshot
{
  std::shared_ptr<const StateSnapshot> snapshot;
  /// All entries are dropped, also later ones: they belong to another history.
  bool drop_log = false;
};

/// An entry whose index is not above the last one replaces all entries from that index on.
using LogRecord = std::variant<VoteState, LogEntry, SaveSnapshot>;

struct VoteRequest
{
  /// Asks whether a vote would be granted; nobody's term changes.
  bool pre_vote = false;
  std::uint64_t term = 0;
  LogPosition last;
};

struct VoteReply
{
  bool pre_vote = false;
  std::uint64_t term = 0;
  bool granted = false;
};

/// Entries after \p previous; without entries a heartbeat.
struct AppendRequest
{
  std::uint64_t term = 0;
  LogPosition previous;
  std::uint64_t commit = 0;
  /// Returned in the reply, to confirm that the sender still led when it started the round.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

struct AppendReply
{
  std::uint64_t term = 0;
  std::uint64_t round = 0;
  bool success = false;
  /// With success: all entries up to this index equal the leader's and are synced. Otherwise: the
  /// last index that may.
  std::uint64_t index = 0;
};

struct SnapshotChunk
{
  std::uint64_t term = 0;
  LogPosition last;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  Bytes data;
};

struct SnapshotReply
{
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  /// Bytes received in order.
  std::uint64_t received = 0;
};

/// Asks the leader for an index that covers everything acknowledged so far.
struct ReadRequest
{
  std::uint64_t id = 0;
};

struct ReadReply
{
  std::uint64_t id = 0;
  bool confirmed = false;
  std::uint64_t index = 0;
};

using ConsensusMessage = std::variant<VoteRequest,
                                      VoteReply,
                                      AppendRequest,
                                      AppendReply,
                                      SnapshotChunk,
                                      SnapshotReply,
                                      ReadRequest,
                                      ReadReply>;

struct ConsensusEnvelope
{
  MemberId from = 0;
  MemberId to = 0;
  ConsensusMessage message;
};

/// CBOR encodings; the decoders throw std::exception on bytes of another form.
Bytes encode(const ConsensusEnvelope& envelope);
ConsensusEnvelope decode_envelope(const Bytes& bytes);
Bytes encode(const Membership& membership);
Membership decode_membership(const Bytes& bytes);
/// A SaveSnapshot record encodes only its position and whether it drops the log.
Bytes encode(const std::vector<LogRecord>& records);
std::vector<LogRecord> decode_records(const Bytes& bytes);
Bytes encode(const StateSnapshot& snapshot);
StateSnapshot decode_snapshot(const Bytes& bytes);

} // namespace lovagehold
