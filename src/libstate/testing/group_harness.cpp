#include "group_harness.h"

#include <algorithm>

namespace lovagehold::testing {

namespace {

constexpr std::chrono::milliseconds kTick{ 50 };
constexpr unsigned kResendTicks = 12;
constexpr unsigned kElectionTicks = 40;
constexpr std::size_t kClients = 3;

Member
make_member(const HarnessOptions& options, unsigned node, MemberId id)
{
  Member member{ .id = id, .host = "host-" + std::to_string(node) };
  if (options.failure_domains > 0) {
    member.failure_domain = std::to_string(node % options.failure_domains);
  }
  return member;
}

Membership
first_membership(const HarnessOptions& options)
{
  Membership members;
  for (unsigned i = 0; i < options.nodes; ++i) {
    members.push_back(make_member(options, i, i + 1));
    members.back().voter = true;
  }
  return members;
}

bool
has_voter(const Membership& members, MemberId id)
{
  return std::any_of(
    members.begin(), members.end(), [&](const Member& m) { return m.id == id && m.voter; });
}

// Each command of a client joins its host with a later incarnation, which changes the view.
Command
make_command(std::size_t client, std::uint64_t id)
{
  return JoinHost{ { .id = "client-" + std::to_string(client), .incarnation = id } };
}

} // namespace

GroupHarness::GroupHarness(HarnessOptions options)
  : m_options(std::move(options))
  , m_random(m_options.seed)
  , m_clients(kClients)
{
  const Bytes membership = encode(first_membership(m_options));
  for (unsigned i = 0; i < m_options.nodes; ++i) {
    Node& node = m_nodes.emplace_back();
    node.number = i;
    LogStorage storage({ .make_identity = [i] { return i + 1; } }, node.disk);
    storage.open().value();
    const LogEntry first_entry{ .index = 1,
                                .term = 1,
                                .kind = EntryKind::MembershipChange,
                                .payload = std::make_shared<const Bytes>(membership) };
    storage.write({ VoteState{ .term = 1 }, first_entry }).value();
    start(node);
  }
}

TimePoint
GroupHarness::now(const Node& node) const
{
  return TimePoint(std::chrono::hours(1) + m_now * kTick + node.clock_offset);
}

void
GroupHarness::report_violation(const std::string& invariant)
{
  if (m_violation.empty()) {
    m_violation = invariant + " at tick " + std::to_string(m_now);
  }
}

void
GroupHarness::start(Node& node)
{
  const auto identity = [this, &node] {
    return m_options.make_identity ? m_options.make_identity(node.number) : m_next_identity++;
  };
  node.storage = std::make_unique<LogStorage>(
    LogStorageOptions{ .segment_bytes = 512, .make_identity = identity }, node.disk);
  Result<RestoredLog> restored = node.storage->open();
  if (restored.has_error()) {
    if (restored.error().kind == ErrorKind::Corrupt) {
      report_violation("a crash left data that open() reports as corrupt: " +
                       restored.error().message);
    }
    node.consensus.reset();
    return;
  }
  node.state = ReplicatedState();
  node.records.clear();
  node.disk_failed = false;
  const RestoredLog& log = restored.value();
  node.durable_index = log.snapshot ? log.snapshot->last.index : 0;
  if (log.snapshot) {
    node.state.restore(log.snapshot->state).value();
  }
  if (!log.entries.empty()) {
    node.durable_index = log.entries.back().index;
  }
  ConsensusOptions options{ .election_timeout = m_options.election_timeout,
                            .first_election_timeout = m_options.first_election_timeout,
                            .message_bytes = 192,
                            .window_entries = m_options.window_entries,
                            .trailing_entries = 4,
                            .target_voters = m_options.target_voters,
                            .lost_after = m_options.lost_after,
                            .seed = m_random() };
  options.faults = m_options.faults;
  node.consensus = std::make_unique<Consensus>(options, log, now(node));
}

void
GroupHarness::stop(Node& node)
{
  node.consensus.reset();
  node.disk.crash(m_random);
}

bool
GroupHarness::reachable(unsigned from, unsigned to) const
{
  return !m_nodes[from].isolated && !m_nodes[to].isolated && m_cut_links.count({ from, to }) == 0;
}

GroupHarness::Node*
GroupHarness::find(MemberId id)
{
  for (Node& node : m_nodes) {
    if (node.consensus && node.consensus->self() == id) {
      return &node;
    }
  }
  return nullptr;
}

void
GroupHarness::send(const Node& from, const ConsensusEnvelope& envelope)
{
  const Node* to = find(envelope.to);
  if (to == nullptr || m_random() % 50 == 0) {
    return;
  }
  const unsigned copies = m_random() % 50 == 0 ? 2 : 1;
  for (unsigned copy = 0; copy < copies; ++copy) {
    const unsigned delay = m_random() % 25 == 0 ? m_random() % 15 : m_random() % 2;
    m_network.insert({ m_now + delay, { from.number, to->number, envelope } });
  }
}

void
GroupHarness::deliver(const Message& message)
{
  Node& node = m_nodes[message.to];
  if (!node.consensus || !reachable(message.from, message.to)) {
    return;
  }
  if (node.paused_until > m_now) {
    m_network.insert({ node.paused_until, message });
    return;
  }
  const bool through_codec = m_random() % 8 == 0;
  perform(node,
          node.consensus->step(through_codec ? decode_envelope(encode(message.envelope))
                                             : message.envelope,
                               now(node)));
}

void
GroupHarness::write(Node& node)
{
  const std::vector<LogRecord> records = std::exchange(node.records, {});
  const std::uint64_t token = node.token;
  const Result<void> result = node.storage->write(records);
  if (node.disk.crashed()) {
    stop(node);
    return;
  }
  if (result.has_error()) {
    node.disk_failed = true;
    perform(node, node.consensus->storage_failed(now(node)));
    return;
  }
  for (const LogRecord& record : records) {
    if (const auto* entry = std::get_if<LogEntry>(&record)) {
      node.durable_index = entry->index;
    } else if (const auto* save = std::get_if<SaveSnapshot>(&record)) {
      node.durable_index = save->drop_log
                             ? save->snapshot->last.index
                             : std::max(node.durable_index, save->snapshot->last.index);
    }
  }
  perform(node, node.consensus->storage_done(token, now(node)));
}

void
GroupHarness::trigger(Node& node, const Effects& effects)
{
  if (m_isolate_at_commit && !effects.committed.empty() &&
      node.consensus->role() == ConsensusRole::Leader) {
    m_isolate_at_commit = false;
    isolate(node);
  }
  for (const ConsensusEnvelope& envelope : effects.messages) {
    const auto* reply = std::get_if<VoteReply>(&envelope.message);
    if (m_restart_at_vote && reply != nullptr && reply->granted && !reply->pre_vote) {
      m_restart_at_vote = false;
      m_restart_next = &node;
    }
  }
}

void
GroupHarness::perform(Node& node, const Effects& effects)
{
  trigger(node, effects);
  for (const ConsensusEnvelope& envelope : effects.messages) {
    send(node, envelope);
  }
  for (const LogRecord& record : effects.records) {
    const auto* entry = std::get_if<LogEntry>(&record);
    if (entry != nullptr && entry->kind == EntryKind::MembershipChange) {
      check_promotion(node, *entry);
    }
  }
  if (!effects.records.empty()) {
    if (node.records.empty()) {
      node.write_at = m_now + m_random() % 3;
    }
    node.records.insert(node.records.end(), effects.records.begin(), effects.records.end());
    node.token = effects.token;
  }
  if (effects.snapshot_to_install &&
      effects.snapshot_to_install->last.index > node.state.applied_index()) {
    node.state.restore(effects.snapshot_to_install->state).value();
  }
  for (const LogEntry& entry : effects.committed) {
    on_committed(node, entry);
  }
  check_leader(node);
}

void
GroupHarness::on_committed(Node& node, const LogEntry& entry)
{
  const Bytes payload = entry.payload ? *entry.payload : Bytes();
  const auto [known, is_new] =
    m_committed.try_emplace(entry.index, Committed{ entry.term, payload });
  if (!is_new && (known->second.term != entry.term || known->second.payload != payload)) {
    report_violation("a committed entry was replaced");
  }
  const std::uint64_t before = node.state.applied_index();
  const auto applied =
    node.state.apply(entry.index, entry.kind == EntryKind::Command ? payload : Bytes());
  if (node.state.applied_index() < before) {
    report_violation("the applied index of a member decreased");
  }
  if (!applied || node.consensus->role() != ConsensusRole::Leader) {
    return;
  }
  Client& client = m_clients[applied->client - 1];
  if (applied->id == client.id) {
    m_accepted.insert({ applied->client, applied->id });
    client.waiting = false;
  }
}

// A repaired group must survive the loss of another host immediately: a new voter must hold all
// entries that were committed before.
void
GroupHarness::check_promotion(const Node& leader, const LogEntry& entry)
{
  if (leader.consensus->role() != ConsensusRole::Leader) {
    return;
  }
  for (const Member& member : decode_membership(*entry.payload)) {
    const bool promoted =
      member.voter && member.id >= kFirstNewIdentity && m_promoted.count(member.id) == 0;
    if (!promoted) {
      continue;
    }
    m_promoted[member.id] = {};
    const Node* node = find(member.id);
    if (node != nullptr && node->durable_index < leader.consensus->commit_index()) {
      report_violation("a member that lacks committed entries became a voter");
    }
  }
}

void
GroupHarness::check_leader(const Node& node)
{
  if (!node.consensus) {
    return;
  }
  if (node.consensus->role() == ConsensusRole::Leader) {
    const auto [known, is_new] =
      m_leader_by_term.try_emplace(node.consensus->term(), node.consensus->self());
    if (!is_new && known->second != node.consensus->self()) {
      report_violation("two leaders in one term");
    }
  }
  if (node.isolated && node.consensus->term() > node.term_when_isolated) {
    report_violation("an isolated member started a term");
  }
}

void
GroupHarness::drive_client(std::size_t number)
{
  Client& client = m_clients[number];
  if (!client.waiting || client.resend_at > m_now) {
    return;
  }
  client.resend_at = m_now + kResendTicks;
  const Proposal proposal{ .client = number + 1,
                           .id = client.id,
                           .lowest_pending = client.id,
                           .command = encode(make_command(number, client.id)) };
  for (Node& node : m_nodes) {
    const bool up = node.consensus && node.paused_until <= m_now;
    if (!up || node.consensus->role() != ConsensusRole::Leader) {
      continue;
    }
    const ApplyResult* known = node.state.find_result(proposal.client, proposal.id);
    if (known != nullptr) {
      m_accepted.insert({ proposal.client, proposal.id });
      client.waiting = false;
    } else {
      perform(
        node,
        node.consensus->propose({ std::make_shared<const Bytes>(encode(proposal)) }, now(node)));
    }
  }
}

void
GroupHarness::join(Node& node)
{
  const Membership& own = node.consensus->membership();
  const MemberId self = node.consensus->self();
  if (node.consensus->in_contact() &&
      std::any_of(own.begin(), own.end(), [&](const Member& m) { return m.id == self; })) {
    return;
  }
  for (Node& other : m_nodes) {
    if (other.consensus && other.consensus->role() == ConsensusRole::Leader &&
        other.paused_until <= m_now && reachable(node.number, other.number)) {
      perform(other,
              other.consensus->add_learner(make_member(m_options, node.number, self), now(other)));
    }
  }
}

void
GroupHarness::tick()
{
  ++m_now;
  if (Node* node = std::exchange(m_restart_next, nullptr)) {
    stop(*node);
    start(*node);
  }
  while (!m_network.empty() && m_network.begin()->first <= m_now) {
    const Message message = std::move(m_network.begin()->second);
    m_network.erase(m_network.begin());
    deliver(message);
  }
  for (Node& node : m_nodes) {
    if (!node.consensus || node.paused_until > m_now) {
      continue;
    }
    if (!node.records.empty() && node.write_at <= m_now) {
      write(node);
    }
    if (node.consensus && node.disk_failed && m_random() % 10 == 0) {
      start(node);
    }
    if (node.consensus) {
      perform(node, node.consensus->tick(now(node)));
      join(node);
    }
  }
  for (std::size_t i = 0; i < m_clients.size(); ++i) {
    drive_client(i);
  }
}

// Only one host at a time may lose its disk. The next disk may be wiped as soon as the new identity
// of the previous one is a voter in a committed membership.
bool
GroupHarness::may_wipe(const Node& node) const
{
  if (!m_last_wiped || *m_last_wiped == node.number) {
    return true;
  }
  const Node& repaired = m_nodes[*m_last_wiped];
  if (!repaired.consensus) {
    return false;
  }
  const MemberId id = repaired.consensus->self();
  const Consensus& member = *repaired.consensus;
  return has_voter(member.membership(), id) && member.commit_index() == member.last_index();
}

void
GroupHarness::wipe(Node& node)
{
  if (may_wipe(node)) {
    node.consensus.reset();
    node.disk.wipe();
    m_last_wiped = node.number;
    start(node);
  }
}

void
GroupHarness::isolate(Node& node)
{
  if (node.consensus && !node.isolated) {
    node.isolated = true;
    node.term_when_isolated = node.consensus->term();
  }
}

GroupHarness::Node*
GroupHarness::connected_leader()
{
  for (Node& node : m_nodes) {
    if (node.consensus && !node.isolated && node.consensus->role() == ConsensusRole::Leader) {
      return &node;
    }
  }
  return nullptr;
}

void
GroupHarness::isolate_next_leader()
{
  if (Node* leader = connected_leader()) {
    isolate(*leader);
  }
  for (unsigned i = 0; i < kElectionTicks && m_violation.empty(); ++i) {
    tick();
    if (Node* leader = connected_leader()) {
      isolate(*leader);
      return;
    }
  }
}

void
GroupHarness::apply(const Op& op)
{
  Node& node = m_nodes[op.node % m_nodes.size()];
  switch (op.kind) {
    case OpKind::Run:
      for (unsigned i = 0; i < op.argument % 30 && m_violation.empty(); ++i) {
        tick();
      }
      break;
    case OpKind::Propose: {
      Client& client = m_clients[op.argument % kClients];
      if (!client.waiting && !m_no_new_commands) {
        ++client.id;
        client.waiting = true;
        client.resend_at = 0;
      }
      break;
    }
    case OpKind::Isolate:
      isolate(node);
      break;
    case OpKind::IsolateLeader:
      if (Node* leader = connected_leader()) {
        isolate(*leader);
      }
      break;
    case OpKind::IsolateNextLeader:
      isolate_next_leader();
      break;
    case OpKind::IsolateAtCommit:
      m_isolate_at_commit = true;
      break;
    case OpKind::RestartAtVote:
      m_restart_at_vote = true;
      break;
    case OpKind::Reconnect:
      node.isolated = false;
      break;
    case OpKind::CutOneWay:
      m_cut_links.insert({ node.number, op.argument % static_cast<unsigned>(m_nodes.size()) });
      break;
    case OpKind::Heal:
      m_cut_links.clear();
      for (Node& other : m_nodes) {
        other.isolated = false;
      }
      break;
    case OpKind::Crash:
      stop(node);
      break;
    case OpKind::CrashAtWrite:
      node.disk.crash_after(op.argument % 8 + 1);
      break;
    case OpKind::Restart:
      stop(node);
      start(node);
      break;
    case OpKind::Wipe:
      wipe(node);
      break;
    case OpKind::Pause:
      node.paused_until = m_now + op.argument % 40;
      break;
    case OpKind::StepClock:
      node.clock_offset += std::chrono::milliseconds(op.argument % 2000) - std::chrono::seconds(1);
      break;
    case OpKind::FailDisk:
      node.disk.fail(op.argument % 4 + 1);
      break;
    case OpKind::FillDisk:
      node.disk.set_capacity(node.disk.used() + op.argument % 400);
      break;
    case OpKind::Compact:
      if (node.consensus && node.consensus->role() != ConsensusRole::Failed) {
        perform(
          node,
          node.consensus->compact(node.state.applied_index(), node.state.snapshot(), now(node)));
      }
      break;
  }
}

void
GroupHarness::finish()
{
  apply({ OpKind::Heal });
  m_isolate_at_commit = false;
  m_restart_at_vote = false;
  for (Node& node : m_nodes) {
    node.disk.set_capacity(std::nullopt);
    node.disk.fail(0);
    node.paused_until = 0;
    if (!node.consensus || node.disk.crashed()) {
      stop(node);
      start(node);
    }
    node.disk.crash_after(std::nullopt);
  }
  Client& client = m_clients.front();
  if (!client.waiting) {
    apply({ OpKind::Propose });
  }
  for (unsigned i = 0; i < kProgressTicks && client.waiting && m_violation.empty(); ++i) {
    tick();
  }
  if (client.waiting) {
    report_violation("no progress although all members can communicate");
  }
  m_no_new_commands = true;
  for (unsigned i = 0; i < kConvergeTicks && m_violation.empty(); ++i) {
    tick();
  }
  if (m_violation.empty()) {
    check_end();
  }
}

void
GroupHarness::check_end()
{
  // The expected state: the committed commands applied in order, each one once.
  StateMachine expected;
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  for (const auto& [index, committed] : m_committed) {
    const Result<Proposal> proposal = decode_proposal(committed.payload);
    if (proposal.has_error() ||
        !seen.insert({ proposal.value().client, proposal.value().id }).second) {
      expected.skip(index);
      continue;
    }
    expected.apply(index, decode_command(proposal.value().command).value());
  }
  if (!std::includes(seen.begin(), seen.end(), m_accepted.begin(), m_accepted.end())) {
    report_violation("an accepted command was lost");
  }
  for (const Node& node : m_nodes) {
    if (node.state.machine().snapshot() != expected.snapshot()) {
      report_violation("host-" + std::to_string(node.number) +
                       " ended with a state that differs from the expected one");
    }
  }
}

} // namespace lovagehold::testing
