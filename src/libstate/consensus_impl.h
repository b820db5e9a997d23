#pragma once

#include "entry_log.h"
#include "lovagehold/consensus.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace lovagehold {

/// State of Consensus. Elections are in consensus.cpp, the log's replication in
/// consensus_replication.cpp.
struct Consensus::Impl
{
  /// What the leader knows about another member.
  struct Peer
  {
    std::uint64_t next = 1;
    /// Held and synced up to here.
    std::uint64_t match = 0;
    std::uint64_t round = 0;
    Duration last_reply{};
    /// Set while a snapshot is transferred.
    std::shared_ptr<const StateSnapshot> snapshot;
    std::size_t snapshot_offset = 0;
    Duration snapshot_sent{};
  };

  /// Records handed out and what waits for them to be durable.
  struct PendingWrite
  {
    std::uint64_t token = 0;
    /// Own entries durable with it.
    std::uint64_t last_index = 0;
    std::vector<ConsensusEnvelope> messages;
  };

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
  std::uint64_t commit = 0;
  std::uint64_t emitted = 0;
  std::uint64_t durable = 0;
  std::uint64_t next_token = 1;
  std::deque<PendingWrite> writes;
  ConsensusRole role = ConsensusRole::Follower;
  MemberId leader = 0;
  std::mt19937_64 random;
  TimePoint last_time;
  /// Own clock: the sum of all forward steps of the caller's.
  Duration clock{};
  Duration election_at{};
  Duration leader_heard{};
  /// A leader has been known since the start.
  bool had_leader = false;
  /// Own campaigns before a leader was known.
  unsigned first_tries = 0;
  Duration heartbeat_at{};
  std::set<MemberId> votes;
  std::map<MemberId, Peer> peers;
  std::uint64_t round = 0;
  std::deque<PendingRead> reads;
  /// Snapshot being received.
  StateSnapshot incoming;
  Effects effects;

  Impl(ConsensusOptions options, const RestoredLog& restored, TimePoint now);

  // consensus.cpp
  void advance_clock(TimePoint now);
  Effects take();
  void send(MemberId to, ConsensusMessage message);
  void send_after_sync(MemberId to, ConsensusMessage message);
  void record(LogRecord record);
  void set_role(ConsensusRole next);
  void become_follower(std::uint64_t term, MemberId new_leader);
  void become_leader();
  void start_election_timer();
  void campaign(bool pre_vote);
  void count_vote(MemberId from);
  bool voter(MemberId id) const;
  bool majority(const std::set<MemberId>& members) const;
  bool heard_leader() const;
  bool newer_term(std::uint64_t term);
  void handle(MemberId from, const VoteRequest& request);
  void handle(MemberId from, const VoteReply& reply);
  void check_quorum();
  void on_tick();

  // consensus_replication.cpp
  void append(EntryKind kind, Payload payload);
  void replicate();
  void heartbeat();
  void send_entries(MemberId to, Peer& peer);
  bool send_batch(MemberId to, Peer& peer, bool force);
  void send_chunk(MemberId to, Peer& peer);
  void advance_commit();
  void set_commit(std::uint64_t index);
  void update_peers();
  bool may_change_membership() const;
  void change_membership(const Membership& next);
  void promote_learner();
  bool is_silent(const Member& member, Duration limit) const;
  bool holds_log(const Member& member) const;
  void remove_lost_member();
  void answer_reads();
  void start_read(MemberId requester, std::uint64_t id);
  void accept_leader(std::uint64_t term, MemberId from);
  void store_entries(const std::vector<LogEntry>& entries);
  std::uint64_t conflict_hint(std::uint64_t index) const;
  void handle(MemberId from, const AppendRequest& request);
  void handle(MemberId from, const AppendReply& reply);
  void handle(MemberId from, const SnapshotChunk& chunk);
  void handle(MemberId from, const SnapshotReply& reply);
  void handle(MemberId from, const ReadRequest& request);
  void handle(MemberId from, const ReadReply& reply);
  void install_incoming();
};

} // namespace lovagehold
