#include "consensus_impl.h"

#include <algorithm>

namespace lovagehold {

Consensus::Impl::Impl(ConsensusOptions consensus_options,
                      const RestoredLog& restored,
                      TimePoint now)
  : options(consensus_options)
  , self(restored.self)
  , vote(restored.vote)
  , log(restored.snapshot, restored.entries)
  , commit_index(log.snapshot_index())
  , delivered_index(log.snapshot_index())
  , durable_index(log.last_index())
  , random(consensus_options.seed)
  , last_time(now)
{
  note_voters();
  start_election_timer();
  if (is_majority({ self })) {
    // The only voter need not wait for another leader.
    election_deadline = clock;
  }
}

void
Consensus::Impl::advance_clock(TimePoint now)
{
  if (now > last_time) {
    clock += now - last_time;
  }
  last_time = now;
}

Effects
Consensus::Impl::take_effects()
{
  // The next change must not wait for a tick: until then a lost voter and its replacement both
  // count.
  if (membership_committed && role == ConsensusRole::Leader) {
    adapt_membership();
  }
  if (!effects.records.empty()) {
    if (options.faults.forget_vote) {
      for (LogRecord& record : effects.records) {
        if (auto* stored = std::get_if<VoteState>(&record)) {
          stored->voted_for = 0;
        }
      }
    }
    effects.token = writes.back().token;
  }
  return std::exchange(effects, {});
}

void
Consensus::Impl::send(MemberId to, ConsensusMessage message)
{
  effects.messages.push_back({ .from = self, .to = to, .message = std::move(message) });
}

void
Consensus::Impl::send_after_sync(MemberId to, ConsensusMessage message)
{
  if (writes.empty() || options.faults.acknowledge_before_sync) {
    if (to == self) {
      std::visit([&](const auto& typed) { handle(self, typed); }, message);
    } else {
      send(to, std::move(message));
    }
    return;
  }
  writes.back().messages.push_back({ .from = self, .to = to, .message = std::move(message) });
}

void
Consensus::Impl::add_record(LogRecord next)
{
  if (effects.records.empty()) {
    writes.push_back({ .token = next_token++, .last_index = log.last_index() });
  }
  if (const auto* entry = std::get_if<LogEntry>(&next)) {
    // Entries of earlier writes that this one replaces must not count as durable when those writes
    // complete.
    for (PendingWrite& write : writes) {
      write.last_index = std::min(write.last_index, entry->index - 1);
    }
    durable_index = std::min(durable_index, entry->index - 1);
    writes.back().last_index = entry->index;
  }
  effects.records.push_back(std::move(next));
  note_voters();
}

void
Consensus::Impl::set_role(ConsensusRole next)
{
  effects.role_changed = effects.role_changed || role != next;
  role = next;
}

void
Consensus::Impl::start_election_timer()
{
  const bool use_first_timeout = !had_leader && options.first_election_timeout.count() > 0;
  // Doubles with each campaign, because members with short timeouts may split the vote repeatedly.
  const Duration timeout =
    use_first_timeout
      ? std::min<Duration>(options.first_election_timeout * (1U << std::min(campaign_count, 8U)),
                           options.election_timeout)
      : Duration(options.election_timeout);
  election_deadline =
    clock + timeout + Duration(random() % static_cast<std::uint64_t>(timeout.count()));
}

void
Consensus::Impl::become_follower(std::uint64_t term, MemberId new_leader)
{
  if (term > vote.term) {
    vote = { .term = term };
    add_record(vote);
  }
  effects.role_changed = effects.role_changed || leader != new_leader;
  leader = new_leader;
  set_role(ConsensusRole::Follower);
  votes.clear();
  peers.clear();
  for (const PendingRead& read : reads) {
    if (read.requester == self) {
      effects.reads.push_back({ .id = read.id });
    } else {
      send(read.requester, ReadReply{ .id = read.id });
    }
  }
  reads.clear();
  start_election_timer();
}

bool
Consensus::Impl::is_voter(MemberId id) const
{
  const Membership& members = log.membership();
  return std::any_of(
    members.begin(), members.end(), [&](const Member& m) { return m.id == id && m.voter; });
}

bool
Consensus::Impl::is_majority(const std::set<MemberId>& members) const
{
  std::size_t voter_count = 0;
  std::size_t included_count = 0;
  for (const Member& member : log.membership()) {
    voter_count += member.voter ? 1 : 0;
    included_count += member.voter && members.count(member.id) > 0 ? 1 : 0;
  }
  if (options.faults.count_removed_voters) {
    voter_count = std::max(voter_count, known_voters.size());
  }
  return included_count * 2 > voter_count;
}

void
Consensus::Impl::campaign(bool pre_vote)
{
  ++campaign_count;
  start_election_timer();
  if (!is_voter(self)) {
    return;
  }
  effects.role_changed = effects.role_changed || leader != 0;
  leader = 0;
  votes.clear();
  const std::uint64_t term = vote.term + 1;
  if (pre_vote) {
    set_role(ConsensusRole::PreCandidate);
  } else {
    set_role(ConsensusRole::Candidate);
    vote = { .term = term, .voted_for = self };
    add_record(vote);
  }
  for (const Member& member : log.membership()) {
    if (member.voter && member.id != self) {
      const VoteRequest request{ .pre_vote = pre_vote, .term = term, .last = log.last() };
      pre_vote ? send(member.id, request) : send_after_sync(member.id, request);
    }
  }
  const VoteReply own_vote{ .pre_vote = pre_vote, .term = term, .granted = true };
  pre_vote ? handle(self, own_vote) : send_after_sync(self, own_vote);
}

bool
Consensus::Impl::in_contact() const
{
  return role == ConsensusRole::Leader ||
         (leader != 0 && clock - last_leader_contact < options.election_timeout);
}

void
Consensus::Impl::handle(MemberId from, const VoteRequest& request)
{
  const LogPosition last = log.last();
  const bool up_to_date =
    std::pair(request.last.term, request.last.index) >= std::pair(last.term, last.index);
  VoteReply reply{ .pre_vote = request.pre_vote, .term = vote.term };
  // Votes are refused while a leader is in contact, so that other members can't depose it.
  if (in_contact() || request.term < vote.term) {
    send_after_sync(from, reply);
    return;
  }
  if (request.pre_vote) {
    reply.granted = request.term > vote.term && up_to_date;
    reply.term = reply.granted ? request.term : vote.term;
    send_after_sync(from, reply);
    return;
  }
  if (request.term > vote.term) {
    become_follower(request.term, 0);
  }
  reply.term = vote.term;
  reply.granted = up_to_date && (vote.voted_for == 0 || vote.voted_for == from);
  if (reply.granted && vote.voted_for == 0) {
    vote.voted_for = from;
    add_record(vote);
    start_election_timer();
  }
  send_after_sync(from, reply);
}

bool
Consensus::Impl::step_down_if_newer(std::uint64_t term)
{
  if (term <= vote.term) {
    return false;
  }
  become_follower(term, 0);
  return true;
}

void
Consensus::Impl::handle(MemberId from, const VoteReply& reply)
{
  if (!reply.granted) {
    step_down_if_newer(reply.term);
    return;
  }
  const bool counts = reply.pre_vote
                        ? role == ConsensusRole::PreCandidate && reply.term == vote.term + 1
                        : role == ConsensusRole::Candidate && reply.term == vote.term;
  if (counts) {
    count_vote(from);
  }
}

void
Consensus::Impl::count_vote(MemberId from)
{
  votes.insert(from);
  if (!is_majority(votes)) {
    return;
  }
  if (role == ConsensusRole::PreCandidate) {
    campaign(false);
  } else {
    become_leader();
  }
}

void
Consensus::Impl::become_leader()
{
  set_role(ConsensusRole::Leader);
  leader = self;
  had_leader = true;
  peers.clear();
  commit_history.clear();
  awaited_learner = 0;
  awaited_since = Duration::zero();
  update_peers();
  // A leader can commit the entries of earlier terms only together with one of its own term.
  append(EntryKind::Empty, nullptr);
  heartbeat();
}

void
Consensus::Impl::check_quorum()
{
  if (clock - majority_contact() >= options.quorum_timeout) {
    become_follower(vote.term, 0);
  }
}

void
Consensus::Impl::on_tick()
{
  if (role == ConsensusRole::Leader) {
    check_quorum();
  }
  if (role == ConsensusRole::Leader) {
    if (clock >= next_heartbeat) {
      heartbeat();
    }
    adapt_membership();
  } else if (clock >= election_deadline) {
    campaign(!options.faults.skip_pre_vote);
  }
}

const char*
to_string(ConsensusRole role)
{
  switch (role) {
    case ConsensusRole::Follower:
      return "follower";
    case ConsensusRole::PreCandidate:
      return "pre_candidate";
    case ConsensusRole::Candidate:
      return "candidate";
    case ConsensusRole::Leader:
      return "leader";
    case ConsensusRole::Failed:
      return "failed";
  }
  return "unknown";
}

Consensus::Consensus(ConsensusOptions options, const RestoredLog& restored, TimePoint now)
  : m_impl(std::make_unique<Impl>(options, restored, now))
{
}

Consensus::~Consensus() = default;
Consensus::Consensus(Consensus&&) noexcept = default;
Consensus& Consensus::operator=(Consensus&&) noexcept = default;

Effects
Consensus::step(const ConsensusEnvelope& envelope, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->role != ConsensusRole::Failed && envelope.to == m_impl->self) {
    std::visit([&](const auto& typed) { m_impl->handle(envelope.from, typed); }, envelope.message);
  }
  return m_impl->take_effects();
}

Effects
Consensus::tick(TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->role != ConsensusRole::Failed) {
    m_impl->on_tick();
  }
  return m_impl->take_effects();
}

Effects
Consensus::propose(std::vector<Payload> commands, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->role == ConsensusRole::Leader) {
    for (Payload& command : commands) {
      m_impl->append(EntryKind::Command, std::move(command));
    }
    m_impl->replicate();
  }
  return m_impl->take_effects();
}

Effects
Consensus::storage_done(std::uint64_t token, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->role == ConsensusRole::Failed) {
    return m_impl->take_effects();
  }
  while (!m_impl->writes.empty() && m_impl->writes.front().token <= token) {
    const Impl::PendingWrite write = std::move(m_impl->writes.front());
    m_impl->writes.pop_front();
    m_impl->durable_index = std::max(m_impl->durable_index, write.last_index);
    for (const ConsensusEnvelope& envelope : write.messages) {
      if (envelope.to == m_impl->self) {
        std::visit([&](const auto& typed) { m_impl->handle(m_impl->self, typed); },
                   envelope.message);
      } else {
        m_impl->effects.messages.push_back(envelope);
      }
    }
  }
  if (m_impl->role == ConsensusRole::Leader) {
    m_impl->advance_commit();
  }
  return m_impl->take_effects();
}

Effects
Consensus::storage_failed(TimePoint now)
{
  m_impl->advance_clock(now);
  m_impl->become_follower(m_impl->vote.term, 0);
  m_impl->set_role(ConsensusRole::Failed);
  m_impl->writes.clear();
  m_impl->effects.records.clear();
  return m_impl->take_effects();
}

Effects
Consensus::read(std::uint64_t id, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->role == ConsensusRole::Leader) {
    m_impl->start_read(m_impl->self, id);
  } else if (m_impl->role != ConsensusRole::Failed && m_impl->leader != 0) {
    m_impl->send(m_impl->leader, ReadRequest{ .id = id });
  } else {
    m_impl->effects.reads.push_back({ .id = id });
  }
  return m_impl->take_effects();
}

Effects
Consensus::add_learner(Member member, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->may_change_membership() && m_impl->join_obstacle(member).empty()) {
    Membership next = m_impl->log.membership();
    member.voter = m_impl->is_voter(member.id) || m_impl->options.faults.promote_early;
    std::erase_if(next, [&](const Member& other) {
      return other.host == member.host || other.id == member.id;
    });
    next.push_back(std::move(member));
    m_impl->change_membership(next);
  }
  return m_impl->take_effects();
}

std::string_view
Consensus::join_obstacle(const Member& member, TimePoint now)
{
  m_impl->advance_clock(now);
  return m_impl->join_obstacle(member);
}

Effects
Consensus::bootstrap(const Membership& membership, TimePoint now)
{
  m_impl->advance_clock(now);
  if (m_impl->log.last_index() == 0) {
    m_impl->vote.term = std::max<std::uint64_t>(m_impl->vote.term, 1);
    m_impl->add_record(m_impl->vote);
    m_impl->append(EntryKind::MembershipChange, std::make_shared<const Bytes>(encode(membership)));
  }
  return m_impl->take_effects();
}

Effects
Consensus::compact(std::uint64_t index, Bytes state, TimePoint now)
{
  m_impl->advance_clock(now);
  EntryLog& log = m_impl->log;
  if (index > log.snapshot_index() && index <= m_impl->delivered_index) {
    auto snapshot = std::make_shared<StateSnapshot>();
    snapshot->last = { .index = index, .term = log.term_at(index) };
    snapshot->membership = log.membership_at(index);
    snapshot->state = std::move(state);
    log.compact(snapshot, m_impl->options.trailing_entries);
    m_impl->add_record(SaveSnapshot{ .snapshot = snapshot });
  }
  return m_impl->take_effects();
}

MemberId
Consensus::self() const
{
  return m_impl->self;
}

ConsensusRole
Consensus::role() const
{
  return m_impl->role;
}

std::uint64_t
Consensus::term() const
{
  return m_impl->vote.term;
}

MemberId
Consensus::leader() const
{
  return m_impl->leader;
}

bool
Consensus::in_contact() const
{
  return m_impl->in_contact();
}

Duration
Consensus::lag(TimePoint now) const
{
  return m_impl->lag(now);
}

std::uint64_t
Consensus::commit_index() const
{
  return m_impl->commit_index;
}

std::uint64_t
Consensus::first_index() const
{
  return m_impl->log.first_index();
}

std::uint64_t
Consensus::last_index() const
{
  return m_impl->log.last_index();
}

std::shared_ptr<const StateSnapshot>
Consensus::snapshot() const
{
  return m_impl->log.snapshot();
}

std::size_t
Consensus::log_bytes() const
{
  return m_impl->log.bytes();
}

const LogEntry&
Consensus::entry(std::uint64_t index) const
{
  return m_impl->log.at(index);
}

const Membership&
Consensus::membership() const
{
  return m_impl->log.membership();
}

std::vector<MemberProgress>
Consensus::progress(TimePoint now) const
{
  return m_impl->progress(now);
}

} // namespace lovagehold
