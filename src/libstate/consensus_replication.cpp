#include "consensus_impl.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Index, term, kind and framing of an entry in a message.
constexpr std::size_t kEntryOverheadBytes = 32;

} // namespace

void
Consensus::Impl::append(EntryKind kind, Payload payload)
{
  const LogEntry entry{
    .index = log.last_index() + 1, .term = vote.term, .kind = kind, .payload = std::move(payload)
  };
  log.put(entry);
  add_record(entry);
}

void
Consensus::Impl::replicate()
{
  for (auto& [id, peer] : peers) {
    send_entries(id, peer);
  }
}

void
Consensus::Impl::heartbeat()
{
  next_heartbeat = clock + options.heartbeat;
  ++round;
  record_commit();
  update_awaited_learner();
  for (auto& [id, peer] : peers) {
    if (peer.snapshot) {
      if (clock - peer.snapshot_sent >= 2 * options.heartbeat) {
        send_chunk(id, peer);
      }
    } else {
      // A heartbeat names the position before the next entry, by which the member detects that
      // earlier messages were lost.
      send_batch(id, peer, true);
      send_entries(id, peer);
    }
  }
  answer_reads();
}

void
Consensus::Impl::send_entries(MemberId to, Peer& peer)
{
  while (!peer.snapshot && peer.next_index <= log.last_index() &&
         peer.next_index <= peer.match_index + options.window_entries &&
         send_batch(to, peer, false)) {
  }
}

bool
Consensus::Impl::send_batch(MemberId to, Peer& peer, bool heartbeat_only)
{
  if (!log.has_term(peer.next_index - 1)) {
    peer.snapshot = log.snapshot();
    peer.snapshot_offset = 0;
    send_chunk(to, peer);
    return false;
  }
  AppendRequest request{
    .term = vote.term,
    .previous = { .index = peer.next_index - 1, .term = log.term_at(peer.next_index - 1) },
    .commit = commit_index,
    .round = round,
  };
  std::size_t bytes = 0;
  while (!heartbeat_only && peer.next_index <= log.last_index()) {
    const LogEntry& entry = log.at(peer.next_index);
    bytes += kEntryOverheadBytes + (entry.payload ? entry.payload->size() : 0);
    if (!request.entries.empty() && bytes > options.message_bytes) {
      break;
    }
    request.entries.push_back(entry);
    ++peer.next_index;
  }
  send(to, std::move(request));
  return true;
}

void
Consensus::Impl::send_chunk(MemberId to, Peer& peer)
{
  const StateSnapshot& snapshot = *peer.snapshot;
  const std::size_t start = std::min(peer.snapshot_offset, snapshot.state.size());
  const std::size_t length = std::min(options.message_bytes, snapshot.state.size() - start);
  const auto begin = snapshot.state.begin() + static_cast<std::ptrdiff_t>(start);
  peer.snapshot_sent = clock;
  send(to,
       SnapshotChunk{ .term = vote.term,
                      .last = snapshot.last,
                      .membership = snapshot.membership,
                      .offset = start,
                      .total = snapshot.state.size(),
                      .data = Bytes(begin, begin + static_cast<std::ptrdiff_t>(length)) });
}

template<class Value>
Value
Consensus::Impl::reached_by_majority(Value own, Value Peer::*field) const
{
  std::vector<Value> values;
  for (const Member& member : log.membership()) {
    if (member.voter) {
      const auto peer = peers.find(member.id);
      values.push_back(member.id == self     ? own
                       : peer == peers.end() ? Value{}
                                             : peer->second.*field);
    }
  }
  if (options.faults.count_removed_voters) {
    values.resize(std::max(values.size(), known_voters.size()));
  }
  if (values.empty()) {
    return Value{};
  }
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), position, values.end(), std::greater<>());
  return *position;
}

void
Consensus::Impl::advance_commit()
{
  const std::uint64_t index =
    std::min(reached_by_majority(durable_index, &Peer::match_index), commit_limit());
  // Entries of earlier terms could still be replaced; they are committed together with an entry of
  // the current term.
  if (index > commit_index &&
      (log.term_at(index) == vote.term || options.faults.commit_earlier_term)) {
    set_commit(index);
  }
}

void
Consensus::Impl::set_commit(std::uint64_t index)
{
  const bool was_pending = log.membership_index() > commit_index;
  commit_index = std::max(commit_index, std::min(index, log.last_index()));
  membership_committed =
    membership_committed || (was_pending && log.membership_index() <= commit_index);
  while (delivered_index < commit_index) {
    effects.committed.push_back(log.at(++delivered_index));
  }
  if (role == ConsensusRole::Leader) {
    answer_reads();
  }
}

bool
Consensus::Impl::is_commit_index_known() const
{
  return log.has_term(commit_index) && log.term_at(commit_index) == vote.term;
}

Duration
Consensus::Impl::majority_contact() const
{
  return reached_by_majority(clock, &Peer::last_reply);
}

Duration
Consensus::Impl::lag(TimePoint now) const
{
  const bool leads = role == ConsensusRole::Leader && is_commit_index_known();
  if (!leads && !up_to_date_at) {
    return Duration::max();
  }
  const Duration since_last_call = std::max<Duration>(now - last_time, Duration::zero());
  return clock + since_last_call - (leads ? majority_contact() : *up_to_date_at);
}

std::vector<MemberProgress>
Consensus::Impl::progress(TimePoint now) const
{
  std::vector<MemberProgress> members;
  if (role != ConsensusRole::Leader) {
    return members;
  }
  const Duration since_last_call = std::max<Duration>(now - last_time, Duration::zero());
  members.push_back({ .id = self, .stored_index = durable_index, .since_reply = Duration::zero() });
  for (const auto& [id, peer] : peers) {
    members.push_back({ .id = id,
                        .stored_index = peer.match_index,
                        .since_reply = peer.has_replied ? clock + since_last_call - peer.last_reply
                                                        : Duration::max() });
  }
  return members;
}

void
Consensus::Impl::start_read(MemberId requester, std::uint64_t id)
{
  if (!is_commit_index_known()) {
    if (requester == self) {
      effects.reads.push_back({ .id = id });
    } else {
      send(requester, ReadReply{ .id = id });
    }
    return;
  }
  // A read that arrives while others wait for their round joins the next one, so that the number of
  // rounds does not grow with the number of reads.
  const bool round_in_progress = !reads.empty() && reads.front().round <= round;
  reads.push_back({ .requester = requester, .id = id, .index = commit_index, .round = round + 1 });
  if (!round_in_progress) {
    heartbeat();
  }
}

void
Consensus::Impl::answer_reads()
{
  while (!reads.empty()) {
    const PendingRead read = reads.front();
    if (read.round > round) {
      // The reads of the round before are answered; this starts the next round.
      heartbeat();
      return;
    }
    std::set<MemberId> confirmed{ self };
    for (const auto& [id, peer] : peers) {
      if (peer.acknowledged_round >= read.round) {
        confirmed.insert(id);
      }
    }
    if (!is_majority(confirmed)) {
      return;
    }
    reads.pop_front();
    if (read.requester == self) {
      effects.reads.push_back({ .id = read.id, .confirmed = true, .index = read.index });
    } else {
      send(read.requester, ReadReply{ .id = read.id, .confirmed = true, .index = read.index });
    }
  }
}

void
Consensus::Impl::handle(MemberId from, const ReadRequest& request)
{
  if (role == ConsensusRole::Leader) {
    start_read(from, request.id);
  } else {
    send(from, ReadReply{ .id = request.id });
  }
}

void
Consensus::Impl::handle(MemberId, const ReadReply& reply)
{
  effects.reads.push_back({ .id = reply.id, .confirmed = reply.confirmed, .index = reply.index });
}

void
Consensus::Impl::accept_leader(std::uint64_t term, MemberId from)
{
  if (term > vote.term || role != ConsensusRole::Follower || leader != from) {
    become_follower(term, from);
    received_snapshot = {};
  }
  last_leader_contact = clock;
  had_leader = true;
  start_election_timer();
}

std::uint64_t
Consensus::Impl::conflict_hint(std::uint64_t index) const
{
  if (index > log.last_index()) {
    return log.last_index();
  }
  // Skips all entries of the conflicting term, to need one round trip per term instead of per
  // entry.
  const std::uint64_t term = log.term_at(index);
  while (index > commit_index && log.has_term(index) && log.term_at(index) == term) {
    --index;
  }
  return std::max(index, commit_index);
}

void
Consensus::Impl::store_entries(const std::vector<LogEntry>& entries)
{
  for (const LogEntry& entry : entries) {
    const bool already_stored =
      entry.index <= commit_index ||
      (entry.index <= log.last_index() && log.term_at(entry.index) == entry.term);
    if (!already_stored) {
      log.put(entry);
      add_record(entry);
    }
  }
}

void
Consensus::Impl::handle(MemberId from, const AppendRequest& request)
{
  AppendReply reply{ .term = vote.term, .round = request.round };
  if (request.term < vote.term) {
    send_after_sync(from, reply);
    return;
  }
  accept_leader(request.term, from);
  reply.term = vote.term;
  const std::uint64_t previous = request.previous.index;
  // Everything up to the commit index equals the leader's.
  const bool matches = previous <= commit_index ||
                       (log.has_term(previous) && log.term_at(previous) == request.previous.term);
  if (!matches) {
    reply.index = conflict_hint(previous);
    send_after_sync(from, reply);
    return;
  }
  store_entries(request.entries);
  reply.success = true;
  reply.index = previous + request.entries.size();
  set_commit(std::min(request.commit, reply.index));
  if (commit_index >= request.commit && is_commit_index_known()) {
    up_to_date_at = clock;
  }
  send_after_sync(from, reply);
}

Consensus::Impl::Peer*
Consensus::Impl::record_reply(MemberId from, std::uint64_t term)
{
  if (step_down_if_newer(term) || role != ConsensusRole::Leader || term != vote.term) {
    return nullptr;
  }
  const auto found = peers.find(from);
  if (found == peers.end()) {
    return nullptr;
  }
  found->second.last_reply = clock;
  found->second.has_replied = true;
  return &found->second;
}

void
Consensus::Impl::handle(MemberId from, const AppendReply& reply)
{
  Peer* const replied = record_reply(from, reply.term);
  if (replied == nullptr) {
    return;
  }
  Peer& peer = *replied;
  peer.acknowledged_round = std::max(peer.acknowledged_round, reply.round);
  if (reply.success) {
    peer.match_index = std::max(peer.match_index, reply.index);
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    advance_commit();
  } else {
    peer.next_index = std::max(peer.match_index + 1, std::min(peer.next_index, reply.index + 1));
  }
  send_entries(from, peer);
  answer_reads();
}

void
Consensus::Impl::handle(MemberId from, const SnapshotChunk& chunk)
{
  if (chunk.term < vote.term) {
    send_after_sync(from, AppendReply{ .term = vote.term });
    return;
  }
  accept_leader(chunk.term, from);
  SnapshotReply reply{ .term = vote.term, .index = chunk.last.index, .received = chunk.total };
  if (chunk.last.index > commit_index) {
    if (received_snapshot.last.index != chunk.last.index ||
        received_snapshot.last.term != chunk.last.term) {
      received_snapshot = { .last = chunk.last, .membership = chunk.membership };
    }
    if (chunk.offset == received_snapshot.state.size()) {
      received_snapshot.state.insert(
        received_snapshot.state.end(), chunk.data.begin(), chunk.data.end());
    }
    reply.received = received_snapshot.state.size();
    if (reply.received >= chunk.total) {
      install_received_snapshot();
    }
  }
  send_after_sync(from, reply);
}

void
Consensus::Impl::install_received_snapshot()
{
  const auto snapshot = std::make_shared<const StateSnapshot>(std::exchange(received_snapshot, {}));
  const std::uint64_t index = snapshot->last.index;
  const bool contained = log.has_term(index) && log.term_at(index) == snapshot->last.term;
  if (contained) {
    log.compact(snapshot, options.trailing_entries);
  } else {
    log.reset(snapshot);
  }
  commit_index = index;
  delivered_index = index;
  effects.committed.clear();
  effects.snapshot_to_install = snapshot;
  add_record(SaveSnapshot{ .snapshot = snapshot, .drop_log = !contained });
  for (PendingWrite& write : writes) {
    write.last_index = contained ? write.last_index : std::min(write.last_index, index);
  }
  durable_index = contained ? durable_index : index;
}

void
Consensus::Impl::handle(MemberId from, const SnapshotReply& reply)
{
  Peer* const replied = record_reply(from, reply.term);
  if (replied == nullptr) {
    return;
  }
  Peer& peer = *replied;
  if (!peer.snapshot || peer.snapshot->last.index != reply.index) {
    return;
  }
  if (reply.received < peer.snapshot->state.size()) {
    peer.snapshot_offset = reply.received;
    send_chunk(from, peer);
    return;
  }
  peer.match_index = std::max(peer.match_index, reply.index);
  peer.next_index = peer.match_index + 1;
  peer.snapshot.reset();
  advance_commit();
  send_entries(from, peer);
}

} // namespace lovagehold
