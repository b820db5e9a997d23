#pragma once

#include "lovagehold/consensus_message.h"
#include "lovagehold/log_storage.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagehold {

/// Injected faults, set only by tests to verify that their consistency checks detect them.
struct ConsensusFaults
{
  bool acknowledge_before_sync = false;
  bool skip_pre_vote = false;
  bool forget_vote = false;
  bool commit_earlier_term = false;
  bool promote_early = false;
  /// Voters that were removed still count among those of which a majority is needed.
  bool count_removed_voters = false;
};

struct ConsensusOptions
{
  /// Interval between a leader's heartbeats.
  std::chrono::milliseconds heartbeat{ 100 };
  /// A member starts an election after a random time between this and twice this without contact
  /// to a leader.
  std::chrono::milliseconds election_timeout{ 400 };
  /// Replaces election_timeout from the start until a leader is known, doubling with each campaign
  /// up to election_timeout; zero disables it. Pre-votes keep a restarted member from deposing a
  /// leader.
  std::chrono::milliseconds first_election_timeout{ 0 };
  /// A leader that has had no replies from a majority for this time steps down.
  std::chrono::milliseconds quorum_timeout{ 600 };
  /// Maximum bytes of entries or snapshot data in one message; a larger entry is sent alone.
  std::size_t message_bytes = std::size_t{ 256 } << 10;
  /// Maximum number of unacknowledged entries in flight to one member.
  std::uint64_t window_entries = 4096;
  /// Entries kept in memory from before a snapshot, so that members and subscribers that are
  /// slightly behind need no snapshot.
  std::uint64_t trailing_entries = 1000;
  /// Learners are promoted until the group has this many voters, first those of the failure domains
  /// with the fewest voters. While all voters answer, voters of a failure domain whose loss would
  /// end the majority are exchanged for learners of other ones.
  std::size_t target_voters = 5;
  /// No member joins a group that has this number of members.
  std::size_t max_members = 64;
  /// A voter that has not replied for this time is removed, but from an odd number of voters only
  /// once a learner that holds the log has become a voter in its place; a learner is removed after
  /// five times this time. Zero: members are never removed.
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
  Failed, ///< storage failed; inactive until the member is restarted from its disk
};

/// \return a stable lower-case name, used in logs.
const char* to_string(ConsensusRole role);

struct ReadResult
{
  /// Id passed to read().
  std::uint64_t id = 0;
  /// False if no leader could confirm the read; the caller may retry it.
  bool confirmed = false;
  /// A state applied up to this index includes every command that was acknowledged before the read
  /// was requested.
  std::uint64_t index = 0;
};

/// Actions that the caller must perform. The elements of a field are in order; different fields may
/// be handled in any order unless stated otherwise.
struct Effects
{
  std::vector<ConsensusEnvelope> messages;
  /// Records to write and sync, and then to report with storage_done(token). Records of several
  /// Effects may be written together and reported with the last token.
  std::vector<LogRecord> records;
  std::uint64_t token = 0;
  /// If not null, replaces the applied state before \p committed is applied.
  std::shared_ptr<const StateSnapshot> snapshot_to_install;
  /// Newly committed entries, to be applied.
  std::vector<LogEntry> committed;
  std::vector<ReadResult> reads;
  bool role_changed = false;
};

/// What a leader knows of the log of a member.
struct MemberProgress
{
  MemberId id = 0;
  /// The member has stored the leader's log up to this index, as far as it has replied.
  std::uint64_t stored_index = 0;
  /// Time since its last reply; zero for the leader itself, Duration::max() if it has not replied
  /// to this leader yet.
  Duration since_reply = Duration::max();
};

/// One member of a replicated log, using the Raft algorithm (Ongaro and Ousterhout, 2014) with
/// pre-vote, check-quorum, read index and single-member changes (Ongaro's dissertation, 2014).
/// Performs no I/O and reads no clock; the time passed to calls may jump in either direction. Not
/// thread-safe.
class Consensus
{
public:
  Consensus(ConsensusOptions options, const RestoredLog& restored, TimePoint now);
  ~Consensus();
  Consensus(Consensus&&) noexcept;
  Consensus& operator=(Consensus&&) noexcept;

  /// Handles a received message; a message to another member id is ignored.
  Effects step(const ConsensusEnvelope& envelope, TimePoint now);

  /// Handles timeouts. Must be called at least once per heartbeat interval.
  Effects tick(TimePoint now);

  /// Appends the commands to the log if this member is the leader; otherwise does nothing. The new
  /// entries have the indexes last_index() - commands.size() + 1 to last_index() and the term
  /// term().
  Effects propose(std::vector<Payload> commands, TimePoint now);

  /// Reports that the records of all Effects up to the token are durable.
  Effects storage_done(std::uint64_t token, TimePoint now);

  /// Reports that the disk failed. The member steps down and becomes ConsensusRole::Failed.
  Effects storage_failed(TimePoint now);

  /// Requests a read index confirmed by the leader. The result is in these or later Effects, or
  /// never arrives if a message is lost.
  Effects read(std::uint64_t id, TimePoint now);

  /// Adds a member as learner, in place of the previous member of its host, if any. A known member
  /// with a new address stays what it is. Ignored unless this member is the leader, no other
  /// membership change is in progress and nothing speaks against the member, see join_obstacle().
  Effects add_learner(Member member, TimePoint now);

  /// \return why the member may not join now, for logs; empty if it may. The previous member of a
  /// host is replaced only once it has stopped answering: a second process under the name of a
  /// running host must not take its place.
  std::string_view join_obstacle(const Member& member, TimePoint now);

  /// Bootstraps a new group: appends the first entry, which holds the membership. Ignored unless
  /// the log is empty.
  Effects bootstrap(const Membership& membership, TimePoint now);

  /// Saves a snapshot of the applied state and drops the entries that it covers, except the last
  /// trailing_entries of them.
  /// \param index last applied index; must be above that of the previous snapshot
  /// \param state the encoded state
  Effects compact(std::uint64_t index, Bytes state, TimePoint now);

  MemberId self() const;
  ConsensusRole role() const;
  std::uint64_t term() const;
  /// \return the leader of this term, or 0 if it is not known.
  MemberId leader() const;
  /// Whether this member is the leader, or has heard from a leader within the election timeout.
  bool in_contact() const;
  std::uint64_t commit_index() const;
  /// \return time since which commands may have been committed that this member does not know of:
  /// for a follower since the leader's last message that it was up to date with, for a leader since
  /// a majority last replied. Message delays are not included. Duration::max() if the member has
  /// not been up to date since it was constructed
  Duration lag(TimePoint now) const;
  /// Index of the first entry in memory.
  std::uint64_t first_index() const;
  std::uint64_t last_index() const;
  /// \return the last snapshot, or null.
  std::shared_ptr<const StateSnapshot> snapshot() const;
  /// Payload bytes of the entries after the snapshot.
  std::size_t log_bytes() const;
  /// \param index from first_index() to last_index()
  const LogEntry& entry(std::uint64_t index) const;
  /// \return the latest membership in the log, whether committed or not.
  const Membership& membership() const;
  /// \return the progress of all members, itself included; empty unless this member is the leader
  std::vector<MemberProgress> progress(TimePoint now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
