#include "consensus_impl.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Index, term, kind and framing of an entry in a message.
constexpr std::size_t kEntryOverheadBytes = 32;

std::size_t
voter_count(const Membership& members)
{
  return static_cast<std::size_t>(std::count_if(
    members.begin(), members.end(), [](const Member& member) { return member.voter; }));
}

std::ptrdiff_t
voters_in(const Membership& members, const std::string& failure_domain)
{
  return std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.voter && member.failure_domain == failure_domain;
  });
}

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
Consensus::Impl::update_peers()
{
  std::map<MemberId, Peer> next;
  for (const Member& member : log.membership()) {
    if (member.id == self) {
      continue;
    }
    const auto known = peers.find(member.id);
    next[member.id] = known != peers.end()
                        ? std::move(known->second)
                        : Peer{ .next_index = log.last_index() + 1, .last_reply = clock };
  }
  peers = std::move(next);
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
  const std::uint64_t index = reached_by_majority(durable_index, &Peer::match_index);
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

bool
Consensus::Impl::may_change_membership() const
{
  return role == ConsensusRole::Leader && log.membership_index() <= commit_index &&
         is_commit_index_known();
}

bool
Consensus::Impl::has_replied(const Member& member) const
{
  const auto peer = peers.find(member.id);
  return member.id == self || (peer != peers.end() && peer->second.has_replied &&
                               clock - peer->second.last_reply < options.election_timeout);
}

std::string_view
Consensus::Impl::join_obstacle(const Member& member) const
{
  const Membership& members = log.membership();
  bool known = false;
  for (const Member& other : members) {
    const bool same_member = other.id == member.id;
    if (same_member && other.address == member.address) {
      return "it is a member already";
    }
    if ((same_member || other.host == member.host) && has_replied(other)) {
      return "another process of this host is a member and answers";
    }
    known = known || same_member;
  }
  return known || members.size() < options.max_members ? ""
                                                       : "the group has its maximum of members";
}

void
Consensus::Impl::change_membership(const Membership& next)
{
  append(EntryKind::MembershipChange, std::make_shared<const Bytes>(encode(next)));
  update_peers();
  replicate();
}

void
Consensus::Impl::note_voters()
{
  if (options.faults.count_removed_voters) {
    for (const Member& member : log.membership()) {
      if (member.voter) {
        known_voters.insert(member.id);
      }
    }
  }
}

bool
Consensus::Impl::needs_voter(const Membership& members) const
{
  const std::size_t voters = voter_count(members);
  const bool replaces_lost_voter =
    voters == options.target_voters && voters % 2 == 1 && has_lost_voter(members);
  return voters < options.target_voters || replaces_lost_voter;
}

void
Consensus::Impl::promote_learner()
{
  if (!may_change_membership()) {
    return;
  }
  Membership next = log.membership();
  if (!needs_voter(next)) {
    return;
  }
  if (Member* const chosen = next_voter(next)) {
    chosen->voter = true;
    change_membership(next);
  }
}

Member*
Consensus::Impl::next_voter(Membership& members) const
{
  Member* chosen = nullptr;
  for (Member& member : members) {
    if (!member.voter && holds_log(member) && has_replied(member) &&
        (chosen == nullptr ||
         voters_in(members, member.failure_domain) < voters_in(members, chosen->failure_domain))) {
      chosen = &member;
    }
  }
  return chosen;
}

// Exchanges a voter of a failure domain whose loss would end the majority for a learner of another
// one. The learner is promoted first, so that the group bears no fewer losses in between. Its
// domain has at least two voters less, so that each exchange spreads the voters further and none is
// undone by the next.
void
Consensus::Impl::spread_voters()
{
  if (!may_change_membership()) {
    return;
  }
  Membership next = log.membership();
  const std::size_t voters = voter_count(next);
  const bool all_answer = std::all_of(
    next.begin(), next.end(), [&](const Member& m) { return !m.voter || has_replied(m); });
  Member* const fullest = fullest_voter(next);
  if (!all_answer || fullest == nullptr) {
    return;
  }
  const std::ptrdiff_t crowd = voters_in(next, fullest->failure_domain);
  if (voters > options.target_voters) {
    // Cut into halves, an even number of voters has no leader in either.
    if (voters % 2 == 0) {
      fullest->voter = false;
      change_membership(next);
    }
    return;
  }
  const bool ends_majority =
    !fullest->failure_domain.empty() &&
    2 * (static_cast<std::ptrdiff_t>(voters) - crowd) <= static_cast<std::ptrdiff_t>(voters);
  Member* const chosen = next_voter(next);
  if (ends_majority && chosen != nullptr && voters_in(next, chosen->failure_domain) + 2 <= crowd) {
    chosen->voter = true;
    change_membership(next);
  }
}

Member*
Consensus::Impl::fullest_voter(Membership& members) const
{
  Member* fullest = nullptr;
  for (Member& member : members) {
    if (member.voter && member.id != self &&
        (fullest == nullptr || voters_in(members, member.failure_domain) >=
                                 voters_in(members, fullest->failure_domain))) {
      fullest = &member;
    }
  }
  return fullest;
}

void
Consensus::Impl::adapt_membership()
{
  membership_committed = false;
  remove_lost_member();
  promote_learner();
  spread_voters();
}

bool
Consensus::Impl::is_silent(const Member& member, Duration limit) const
{
  const auto peer = peers.find(member.id);
  return member.id != self && peer != peers.end() && clock - peer->second.last_reply >= limit;
}

bool
Consensus::Impl::has_lost_voter(const Membership& members) const
{
  const Duration limit = options.lost_after;
  return limit > Duration::zero() &&
         std::any_of(members.begin(), members.end(), [&](const Member& member) {
           return member.voter && is_silent(member, limit);
         });
}

bool
Consensus::Impl::holds_log(const Member& member) const
{
  const auto peer = peers.find(member.id);
  return peer != peers.end() && peer->second.match_index >= commit_index;
}

// Removes one member at a time, and a voter only if there are more than wanted or their number is
// even, as one less bears as many losses. promote_learner() adds one while a voter is lost, so its
// replacement votes before it is removed, and the disk of a voter that returns counts until then.
void
Consensus::Impl::remove_lost_member()
{
  const Duration limit = options.lost_after;
  if (limit == Duration::zero() || !may_change_membership()) {
    return;
  }
  const Membership& members = log.membership();
  const std::size_t voters = voter_count(members);
  const bool removable = voters % 2 == 0 || voters > options.target_voters;
  const auto lost = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.voter ? removable && is_silent(member, limit) : is_silent(member, 5 * limit);
  });
  if (lost != members.end()) {
    Membership next = members;
    std::erase_if(next, [&](const Member& member) { return member.id == lost->id; });
    change_membership(next);
  }
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
