#pragma once

#include "lovagehold/consensus_message.h"
#include "lovagehold/log_storage.h"

#include <memory>
#include <string>
#include <vector>

namespace lovagehold {

/// Deliberate faults, set only by tests that prove that the checks notice them.
struct ConsensusFaults
{
  bool acknowledge_before_sync = false;
  bool skip_pre_vote = false;
  bool forget_vote = false;
  bool commit_earlier_term = false;
  bool promote_early = false;
};

struct ConsensusOptions
{
  std::chrono::milliseconds heartbeat{ 100 };
  /// An election starts after this time to twice this time without a leader.
  std::chrono::milliseconds election_timeout{ 400 };
  /// The same until a leader is known after a start; zero: as above. Pre-votes keep a restarted
  /// member from deposing a leader.
  std::chrono::milliseconds first_election_timeout{ 0 };
  /// A leader steps down after this time without replies from a majority.
  std::chrono::milliseconds quorum_timeout{ 600 };
  /// Bytes of entries or of a snapshot in one message, except for a single larger entry.
  std::size_t message_bytes = std::size_t{ 256 } << 10;
  /// Entries sent to a member ahead of its acknowledgement.
  std::uint64_t window_entries = 4096;
  /// Entries kept in memory below a snapshot, for members and subscribers that are a little behind.
  std::uint64_t trailing_entries = 1000;
  std::size_t voters = 5;
  /// A voter that has not replied for this time is replaced by a learner that holds the log; a
  /// learner that has not replied for five times this is removed. Zero: members stay.
  std::chrono::milliseconds lost_after{ 0 };
  std::uint64_t seed = 1;
  ConsensusFaults faults = {};
};

enum class ConsensusRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Failed, ///< storage failed; takes part in nothing until it is restored from disk
};

/// \return a stable lower-case name, used in logs.
const char* to_string(ConsensusRole role);

struct ReadResult
{
  std::uint64_t id = 0;
  /// False: ask again later.
  bool confirmed = false;
  /// State applied up to this index contains everything acknowledged before the read was asked for.
  std::uint64_t index = 0;
};

/// What the caller has to do, in any order between the fields but in order within each.
struct Effects
{
  std::vector<ConsensusEnvelope> messages;
  /// To be written and synced, then reported with storage_done(token). Several effects' records may
  /// be written together and reported with the last token.
  std::vector<LogRecord> records;
  std::uint64_t token = 0;
  /// Replaces the applied state; comes before \p committed.
  std::shared_ptr<const StateSnapshot> snapshot_to_install;
  std::vector<LogEntry> committed;
  std::vector<ReadResult> reads;
  bool role_changed = false;
};

/// Replicated log of one member, after the published Raft algorithm (Ongaro and Ousterhout, 2014)
/// with pre-vote, check-quorum, read index and single-member changes (Ongaro's dissertation, 2014).
/// Performs no I/O and reads no clock. Time may jump either way between calls. Not thread-safe.
class Consensus
{
public:
  Consensus(ConsensusOptions options, const RestoredLog& restored, TimePoint now);
  ~Consensus();
  Consensus(Consensus&&) noexcept;
  Consensus& operator=(Consensus&&) noexcept;

  /// Handles a message; one that is meant for another identity is ignored.
  Effects step(const ConsensusEnvelope& envelope, TimePoint now);

  /// To be called at least every heartbeat interval.
  Effects tick(TimePoint now);

  /// Appends the commands to the log if this member leads; otherwise does nothing. The entries are
  /// last_index() - commands.size() + 1 to last_index() of term().
  Effects propose(std::vector<Payload> commands, TimePoint now);

  /// All records of effects up to the token are durable.
  Effects storage_done(std::uint64_t token, TimePoint now);

  /// The disk failed: steps down and stops taking part.
  Effects storage_failed(TimePoint now);

  /// Asks for a leader-confirmed index; the result comes in later effects or never.
  Effects read(std::uint64_t id, TimePoint now);

  /// Adds a member as learner, in place of the member of the same host if there is one. Ignored
  /// unless this member leads and no other change is in progress.
  Effects add_learner(Member member, TimePoint now);

  /// Starts the group: writes the first entry with the membership. Only for an empty log.
  Effects bootstrap(const Membership& membership, TimePoint now);

  /// Drops entries that the snapshot of the applied state covers.
  /// \param index applied, above the last snapshot's
  Effects compact(std::uint64_t index, Bytes state, TimePoint now);

  MemberId self() const;
  ConsensusRole role() const;
  std::uint64_t term() const;
  /// \return the leader of this term, or 0.
  MemberId leader() const;
  /// Whether this member leads, or has heard from a leader within the election timeout.
  bool in_contact() const;
  std::uint64_t commit_index() const;
  /// First entry that is in memory.
  std::uint64_t first_index() const;
  std::uint64_t last_index() const;
  /// \return the last snapshot, or null.
  std::shared_ptr<const StateSnapshot> snapshot() const;
  /// Entries' payload bytes after the snapshot.
  std::size_t log_bytes() const;
  /// \param index from first_index() to last_index()
  const LogEntry& entry(std::uint64_t index) const;
  /// \return the latest membership in the log, committed or not.
  const Membership& membership() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
