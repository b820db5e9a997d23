#pragma once

#include "entry_log.h"
#include "lovagehold/consensus.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace lovagehold {

/// State of Consensus. Elections are in consensus.cpp, changes of the members in
/// consensus_membership.cpp, the log's replication in consensus_replication.cpp.
struct Consensus::Impl
{
  /// What the leader knows about another member.
  struct Peer
  {
    /// Next entry to send.
    std::uint64_t next_index = 1;
    /// The member's log equals the leader's and is synced up to this index.
    std::uint64_t match_index = 0;
    /// Latest heartbeat round that the member replied to.
    std::uint64_t acknowledged_round = 0;
    /// Until the first reply, the time at which it became known to this leader.
    Duration last_reply{};
    bool has_replied = false;
    /// Set while a snapshot is transferred.
    std::shared_ptr<const StateSnapshot> snapshot;
    std::size_t snapshot_offset = 0;
    /// Time of the last chunk.
    Duration snapshot_sent{};
  };

  /// Records returned in Effects that are not yet durable, and the messages that wait for them.
  struct PendingWrite
  {
    std::uint64_t token = 0;
    /// Entries up to this index are durable once the records are.
    std::uint64_t last_index = 0;
    std::vector<ConsensusEnvelope> messages;
  };

  /// Read request that waits until a majority has replied to a heartbeat round.
  struct PendingRead
  {
    MemberId requester = 0;
    std::uint64_t id = 0;
    std::uint64_t index = 0;
    std::uint64_t round = 0;
  };

  ConsensusOptions options;
  MemberId self = 0;
  VoteState vote;
  EntryLog log;
  std::uint64_t commit_index = 0;
  /// Last entry that the caller got in Effects, by itself or as part of a snapshot.
  std::uint64_t delivered_index = 0;
  /// Last entry of this member's log that is synced.
  std::uint64_t durable_index = 0;
  std::uint64_t next_token = 1;
  std::deque<PendingWrite> writes;
  ConsensusRole role = ConsensusRole::Follower;
  MemberId leader = 0;
  std::mt19937_64 random;
  /// Time of the caller's last call.
  TimePoint last_time;
  /// Monotonic time since construction: the sum of all forward steps of the caller's clock. All
  /// other times here are measured by it.
  Duration clock{};
  Duration election_deadline{};
  Duration last_leader_contact{};
  /// When this member last held all entries that the leader had committed.
  std::optional<Duration> up_to_date_at;
  /// Whether a leader has been known since construction.
  bool had_leader = false;
  /// Campaigns of this member, pre-votes included, since construction.
  unsigned campaign_count = 0;
  Duration next_heartbeat{};
  /// Members that granted their vote in the current campaign.
  std::set<MemberId> votes;
  std::map<MemberId, Peer> peers;
  /// Latest heartbeat round of this member as leader.
  std::uint64_t round = 0;
  /// Commit indexes at the latest heartbeats of this leader, with their times; the first one is at
  /// least an election timeout old if there is one that old.
  std::deque<std::pair<Duration, std::uint64_t>> commit_history;
  /// Learner that commits wait for until it holds the log, and when the wait began; 0 if none.
  MemberId awaited_learner = 0;
  Duration awaited_since{};
  std::deque<PendingRead> reads;
  /// A change of the membership has been committed since adapt_membership().
  bool membership_committed = false;
  /// Voters of all memberships seen; see ConsensusFaults::count_removed_voters.
  std::set<MemberId> known_voters;
  /// Snapshot of which chunks are being received.
  StateSnapshot received_snapshot;
  /// Effects of the current call.
  Effects effects;

  Impl(ConsensusOptions options, const RestoredLog& restored, TimePoint now);

  // consensus.cpp
  void advance_clock(TimePoint now);
  /// \return the effects of the current call, and starts the next ones.
  Effects take_effects();
  void send(MemberId to, ConsensusMessage message);
  /// Sends the message once all records added so far are durable.
  void send_after_sync(MemberId to, ConsensusMessage message);
  void add_record(LogRecord record);
  void set_role(ConsensusRole next);
  void become_follower(std::uint64_t term, MemberId new_leader);
  void become_leader();
  void start_election_timer();
  void campaign(bool pre_vote);
  void count_vote(MemberId from);
  bool is_voter(MemberId id) const;
  bool is_majority(const std::set<MemberId>& members) const;
  /// See Consensus::in_contact().
  bool in_contact() const;
  /// Becomes a follower of the term if it is newer. \return whether it is.
  bool step_down_if_newer(std::uint64_t term);
  void handle(MemberId from, const VoteRequest& request);
  void handle(MemberId from, const VoteReply& reply);
  void check_quorum();
  void on_tick();

  // consensus_replication.cpp
  void append(EntryKind kind, Payload payload);
  void replicate();
  void heartbeat();
  void send_entries(MemberId to, Peer& peer);
  /// \return false if the entries are no longer in memory and a snapshot is sent instead.
  bool send_batch(MemberId to, Peer& peer, bool heartbeat_only);
  void send_chunk(MemberId to, Peer& peer);
  /// \param own value of this member \param field that has the value of another member
  /// \return the highest value that a majority of the voters has reached; zero without voters
  template<class Value>
  Value reached_by_majority(Value own, Value Peer::*field) const;
  void advance_commit();
  /// Whether an entry of the current term is committed. Until then, a leader may not know of all
  /// entries that are.
  bool is_commit_index_known() const;
  /// Time at which the last reply of a majority had arrived.
  Duration majority_contact() const;
  /// See Consensus::lag().
  Duration lag(TimePoint now) const;
  /// See Consensus::progress().
  std::vector<MemberProgress> progress(TimePoint now) const;
  /// \return the member if this one leads and the reply belongs to its term, otherwise null
  Peer* record_reply(MemberId from, std::uint64_t term);
  void set_commit(std::uint64_t index);

  // consensus_membership.cpp
  void update_peers();
  bool may_change_membership() const;
  /// Whether this leader had a reply of the member within the election timeout.
  bool has_replied(const Member& member) const;
  /// See Consensus::join_obstacle().
  std::string_view join_obstacle(const Member& member) const;
  void change_membership(const Membership& next);
  /// Called after each change of the log.
  void note_voters();
  /// Whether the group has fewer voters than wanted, or a learner is to replace a lost one.
  bool needs_voter(const Membership& members) const;
  void promote_learner();
  /// \return the learner to make a voter: it holds the log, and its failure domain has the fewest
  /// voters; null if no learner holds the log
  Member* next_voter(Membership& members) const;
  void spread_voters();
  /// \return a voter of the failure domain with the most voters, other than this member; null if
  /// there is none
  Member* fullest_voter(Membership& members) const;
  /// Makes the next change of the membership, if one is due and none is in progress.
  void adapt_membership();
  bool is_silent(const Member& member, Duration limit) const;
  /// Whether a voter has been silent for ConsensusOptions::lost_after.
  bool has_lost_voter(const Membership& members) const;
  /// Whether the member has all committed entries.
  bool holds_log(const Member& member) const;
  /// Whether the member has all entries that were committed an election timeout ago.
  bool follows_closely(const Member& member) const;
  void record_commit();
  /// Begins, and ends in time, the wait for the learner that is to be promoted next.
  void update_awaited_learner();
  /// \return the index up to which entries may be committed now
  std::uint64_t commit_limit() const;
  void remove_lost_member();

  // consensus_replication.cpp
  void answer_reads();
  void start_read(MemberId requester, std::uint64_t id);
  void accept_leader(std::uint64_t term, MemberId from);
  void store_entries(const std::vector<LogEntry>& entries);
  /// \return AppendReply::index for a request whose previous entry does not match at the index.
  std::uint64_t conflict_hint(std::uint64_t index) const;
  void handle(MemberId from, const AppendRequest& request);
  void handle(MemberId from, const AppendReply& reply);
  void handle(MemberId from, const SnapshotChunk& chunk);
  void handle(MemberId from, const SnapshotReply& reply);
  void handle(MemberId from, const ReadRequest& request);
  void handle(MemberId from, const ReadReply& reply);
  void install_received_snapshot();
};

} // namespace lovagehold
