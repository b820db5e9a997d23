#pragma once

#include "lovagehold/error.h"
#include "lovagehold/types.h"

#include <memory>
#include <variant>

namespace lovagehold {

/// Random identity of a member, stored on its disk. A wiped disk gets a new one, because a member
/// that has lost its vote and log must not vote under its old identity.
using MemberId = std::uint64_t;

struct Member
{
  MemberId id = 0;
  HostId host;
  /// "IP:port" of the host's cluster listener.
  std::string address;
  /// Voters count towards a majority; learners only receive the log.
  bool voter = false;
  std::string failure_domain;
};

using Membership = std::vector<Member>;

enum class EntryKind : std::uint8_t
{
  Empty, ///< appended by a new leader at the start of its term
  Command,
  MembershipChange, ///< the payload is the whole new membership
};

/// Content of a log entry; shared, because it is sent to several members, written and applied.
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

/// State after applying the entry at \p last; replaces all entries up to it.
struct StateSnapshot
{
  LogPosition last;
  Membership membership;
  Bytes state;
};

/// Term and vote, which a member must not forget across restarts.
struct VoteState
{
  std::uint64_t term = 0;
  /// 0 means no vote in this term.
  MemberId voted_for = 0;
};

/// Saves a snapshot, which replaces the entries up to its position.
struct SaveSnapshot
{
  std::shared_ptr<const StateSnapshot> snapshot;
  /// Drops the later entries too, because the log conflicts with the snapshot.
  bool drop_log = false;
};

/// Record to be persisted. An entry whose index is not above that of the last entry replaces all
/// entries from its index on.
using LogRecord = std::variant<VoteState, LogEntry, SaveSnapshot>;

struct VoteRequest
{
  /// Only asks whether a vote would be granted; no member changes its term.
  bool pre_vote = false;
  std::uint64_t term = 0;
  /// Last entry of the candidate's log.
  LogPosition last;
};

struct VoteReply
{
  bool pre_vote = false;
  std::uint64_t term = 0;
  bool granted = false;
};

/// Entries that follow \p previous; a heartbeat has none.
struct AppendRequest
{
  std::uint64_t term = 0;
  LogPosition previous;
  /// The leader's commit index.
  std::uint64_t commit = 0;
  /// Heartbeat round, copied to the reply. Replies of a majority confirm that the sender was still
  /// the leader when it started the round.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

struct AppendReply
{
  std::uint64_t term = 0;
  std::uint64_t round = 0;
  bool success = false;
  /// On success, all entries up to this index equal the leader's and are synced. Otherwise, the
  /// highest index at which the logs may still agree.
  std::uint64_t index = 0;
};

/// Part of a snapshot transfer.
struct SnapshotChunk
{
  std::uint64_t term = 0;
  LogPosition last;
  Membership membership;
  /// Offset of \p data in the state.
  std::uint64_t offset = 0;
  /// Size of the whole state.
  std::uint64_t total = 0;
  Bytes data;
};

struct SnapshotReply
{
  std::uint64_t term = 0;
  /// Index of the snapshot's position.
  std::uint64_t index = 0;
  /// Bytes of the state received so far, without gaps.
  std::uint64_t received = 0;
};

/// Asks the leader for a read index, see ReadResult.
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

/// The encoding identifies a message by its position in this list.
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

/// CBOR encodings. The decoders throw std::exception if the bytes are malformed.
Bytes encode(const ConsensusEnvelope& envelope);
ConsensusEnvelope decode_envelope(const Bytes& bytes);
Bytes encode(const Membership& membership);
Membership decode_membership(const Bytes& bytes);
/// Of a SaveSnapshot record, only the snapshot's position and drop_log are encoded.
Bytes encode(const std::vector<LogRecord>& records);
std::vector<LogRecord> decode_records(const Bytes& bytes);
Bytes encode(const StateSnapshot& snapshot);
StateSnapshot decode_snapshot(const Bytes& bytes);

} // namespace lovagehold
