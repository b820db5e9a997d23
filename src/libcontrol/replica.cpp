#include "lovagehold/replica.h"

#include "storage_worker.h"

#include <algorithm>
#include <random>
#include <set>

namespace lovagehold {

namespace {

std::uint64_t
random_seed()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

const Bytes&
payload_of(const LogEntry& entry)
{
  static const Bytes kNone;
  return entry.kind == EntryKind::Command && entry.payload ? *entry.payload : kNone;
}

} // namespace

struct Replica::Impl
{
  using ProposalId = std::pair<std::uint64_t, std::uint64_t>;

  struct Subscription
  {
    std::uint64_t next = 1;
    /// from_index of the last request: asked twice from the same index, entries were lost.
    std::uint64_t last_from = 0;
    TimePoint expires;
  };

  // The last piece of a snapshot that a subscriber was sent.
  struct SentPiece
  {
    std::uint64_t index = 0;
    std::size_t offset = 0;
    TimePoint sent;
  };

  // A read that a majority confirms only while this host leads.
  struct LeadershipCheck
  {
    TimePoint asked;
    std::function<void(TimePoint)> confirmed;
    std::optional<std::uint64_t> needed;
  };

  /// A subscriber that gets its entries once the state includes a leader-confirmed index.
  struct Confirmation
  {
    std::string subscriber;
    std::uint64_t from_index = 1;
    std::optional<std::uint64_t> needed;
    TimePoint expires;
  };

  ReplicaOptions options;
  ReplicaPorts ports;
  std::unique_ptr<Disk> disk;
  std::mt19937_64 random;
  LogStorage storage;
  std::unique_ptr<Consensus> consensus;
  ReplicatedState state;
  std::uint64_t nonce = random();
  std::uint64_t heard_nonce = 0;
  std::map<HostId, Member> empty_members;
  std::vector<std::string> seeds;
  std::map<MemberId, std::string> addresses;
  std::map<ProposalId, std::string> waiting;
  std::vector<Payload> queue;
  bool flush_posted = false;
  std::uint64_t submitted = 0;
  std::uint64_t written = 0;
  std::map<std::string, Subscription> subscriptions;
  std::map<std::string, SentPiece> sent_pieces;
  /// By the read that confirms them.
  std::map<std::uint64_t, std::vector<Confirmation>> confirmations;
  /// Subscribers that wait for the next read.
  std::vector<Confirmation> unread;
  std::map<std::uint64_t, LeadershipCheck> leadership_checks;
  std::uint64_t next_read = 1;
  TimePoint join_at;
  std::optional<TimePoint> storage_retry_at;
  unsigned changes_since_snapshot = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  // Last, so that its thread ends before what it uses.
  std::unique_ptr<StorageWorker> worker;

  Impl(ReplicaOptions given, ReplicaPorts given_ports, std::unique_ptr<Disk> given_disk)
    : options(std::move(given))
    , ports(std::move(given_ports))
    , disk(std::move(given_disk))
    , random(options.seed == 0 ? random_seed() : options.seed)
    , storage(
        { .segment_bytes = options.segment_bytes, .make_identity = [this] { return random(); } },
        *disk)
    , state(options.state)
  {
  }

  void post(std::function<void()> function)
  {
    ports.post([guard = std::weak_ptr<bool>(alive), function = std::move(function)] {
      if (guard.lock()) {
        function();
      }
    });
  }

  Result<void> open()
  {
    BOOST_OUTCOME_TRY(restored, storage.open());
    if (restored.snapshot && restored.snapshot->last.index > state.applied_index()) {
      BOOST_OUTCOME_TRYV(state.restore(restored.snapshot->state));
    }
    if (restored.truncated_bytes > 0) {
      ports.report("log_tail_truncated", "bytes", std::to_string(restored.truncated_bytes));
    }
    ConsensusOptions consensus_options = options.consensus;
    consensus_options.seed = random();
    consensus = std::make_unique<Consensus>(consensus_options, restored, ports.now());
    submitted = 0;
    written = 0;
    if (worker) {
      worker->restart();
    } else {
      worker = std::make_unique<StorageWorker>(
        storage,
        [this](const Result<void>& result, std::uint64_t token) {
          post([this, result, token] { on_written(result, token); });
        },
        options.storage_thread);
    }
    return boost::outcome_v2::success();
  }

  void on_written(const Result<void>& result, std::uint64_t token)
  {
    if (result.has_error()) {
      ports.report("storage_failed", "reason", result.error().message);
      storage_retry_at = ports.now() + options.storage_retry;
      perform(consensus->storage_failed(ports.now()));
      return;
    }
    written = token;
    perform(consensus->storage_done(token, ports.now()));
    flush();
  }

  std::string address_of(MemberId id) const
  {
    for (const Member& member : consensus->membership()) {
      if (member.id == id) {
        return member.address;
      }
    }
    const auto heard = addresses.find(id);
    return heard == addresses.end() ? "" : heard->second;
  }

  void perform(Effects effects)
  {
    for (ConsensusEnvelope& envelope : effects.messages) {
      const std::string address = address_of(envelope.to);
      if (!address.empty()) {
        ports.send(address, std::move(envelope));
      }
    }
    if (!effects.records.empty()) {
      submitted = effects.token;
      worker->submit(std::move(effects.records), effects.token);
    }
    if (effects.install && effects.install->last.index > state.applied_index()) {
      const Result<void> restored = state.restore(effects.install->state);
      if (restored.has_error()) {
        ports.report("snapshot_refused", "reason", restored.error().message);
      }
    }
    for (const LogEntry& entry : effects.committed) {
      apply(entry);
    }
    for (const ReadResult& read : effects.reads) {
      on_read(read);
    }
    if (effects.role_changed) {
      on_role_change();
    }
    if (effects.install || !effects.committed.empty()) {
      confirm_subscribers();
      feed_subscribers();
      maybe_compact();
    }
  }

  void apply(const LogEntry& entry)
  {
    const std::uint64_t revision = state.machine().configuration()->revision;
    const auto applied = state.apply(entry.index, payload_of(entry));
    changes_since_snapshot += state.machine().configuration()->revision == revision ? 0 : 1;
    if (!applied) {
      return;
    }
    const auto waiter = waiting.find({ applied->client, applied->id });
    if (waiter != waiting.end()) {
      ports.send(waiter->second,
                 ProposeReply{ .id = applied->id, .decided = true, .result = applied->result });
      waiting.erase(waiter);
    }
  }

  void maybe_compact()
  {
    const auto snapshot = consensus->snapshot();
    const std::size_t limit =
      std::max(options.snapshot_bytes, snapshot ? snapshot->state.size() : 0);
    if (consensus->log_bytes() >= limit || changes_since_snapshot >= options.snapshot_changes) {
      changes_since_snapshot = 0;
      perform(consensus->compact(state.applied_index(), state.snapshot(), ports.now()));
    }
  }

  void refuse(const std::string& to, std::uint64_t id) const
  {
    ports.send(
      to,
      ProposeReply{ .id = id,
                    .error = { .kind = ErrorKind::NotLeader,
                               .message = options.host + " does not lead the control group",
                               .remedy = "ask the leader" },
                    .leader_address = address_of(consensus->leader()) });
  }

  void on_role_change()
  {
    ports.report("control_role",
                 "role",
                 std::string(to_string(consensus->role())) + " term " +
                   std::to_string(consensus->term()) + " leader " +
                   address_of(consensus->leader()));
    if (consensus->role() == ConsensusRole::Leader) {
      return;
    }
    queue.clear();
    for (const auto& [proposal, from] : std::exchange(waiting, {})) {
      refuse(from, proposal.second);
    }
  }

  void handle(const std::string& from, const Propose& message)
  {
    if (consensus->role() != ConsensusRole::Leader) {
      refuse(from, message.id);
      return;
    }
    if (const ApplyResult* known = state.find_result(message.client, message.id)) {
      ports.send(from, ProposeReply{ .id = message.id, .decided = true, .result = *known });
      return;
    }
    const bool is_new = waiting.insert_or_assign({ message.client, message.id }, from).second;
    if (!is_new) {
      return;
    }
    queue.push_back(
      std::make_shared<const Bytes>(encode(Proposal{ .client = message.client,
                                                     .id = message.id,
                                                     .lowest_pending = message.lowest_pending,
                                                     .command = message.command })));
    if (!flush_posted) {
      flush_posted = true;
      post([this] {
        flush_posted = false;
        flush();
      });
    }
  }

  // Proposals that arrive during a write wait for its end, so that they share the next one.
  void flush()
  {
    if (!queue.empty() && written == submitted) {
      perform(consensus->propose(std::exchange(queue, {}), ports.now()));
    }
  }

  void handle(const std::string& from, const ConsensusEnvelope& envelope)
  {
    addresses[envelope.from] = from;
    perform(consensus->step(envelope, ports.now()));
  }

  void handle(const std::string&, const JoinGroup& join)
  {
    if (!options.members.empty() && join.member.host == options.members.front().first) {
      heard_nonce = join.nonce;
    }
    if (consensus->last_index() > 0) {
      perform(consensus->add_learner(join.member, ports.now()));
      return;
    }
    if (join.empty && join.heard_nonce == nonce) {
      empty_members[join.member.host] = join.member;
    }
  }

  Member own_member() const
  {
    return { .id = consensus->self(),
             .host = options.host,
             .address = options.address,
             .failure_domain = options.failure_domain };
  }

  // A wiped first host must not found a second group, so every host has to say that it is empty,
  // and to this process: the nonce excludes messages from an earlier start.
  void found_if_all_empty()
  {
    if (!options.may_bootstrap || options.members.empty() ||
        options.members.front().first != options.host || consensus->last_index() > 0) {
      return;
    }
    Membership membership;
    for (const auto& [host, address] : options.members) {
      const auto empty = empty_members.find(host);
      if (host != options.host && empty == empty_members.end()) {
        return;
      }
      membership.push_back(host == options.host ? own_member() : empty->second);
      membership.back().voter = true;
    }
    perform(consensus->found(membership, ports.now()));
    ports.report("group_founded", "members", std::to_string(membership.size()));
  }

  bool is_member() const
  {
    const Membership& members = consensus->membership();
    return std::any_of(members.begin(), members.end(), [this](const Member& member) {
      return member.id == consensus->self();
    });
  }

  // The membership in the own log may never have been committed: a member that no leader sends to
  // asks as well.
  void ask_to_join(TimePoint now)
  {
    if ((is_member() && consensus->in_contact()) || now < join_at) {
      return;
    }
    join_at = now + options.join_interval;
    std::set<std::string> targets;
    for (const auto& [host, address] : options.members) {
      targets.insert(address);
    }
    targets.insert(seeds.begin(), seeds.end());
    // The hosts of the settings may have been replaced since.
    for (const Member& member : consensus->membership()) {
      targets.insert(member.address);
    }
    for (const std::string& address : targets) {
      if (address != options.address) {
        ports.send(address,
                   JoinGroup{ .member = own_member(),
                              .empty = consensus->last_index() == 0,
                              .nonce = nonce,
                              .heard_nonce = heard_nonce });
      }
    }
    found_if_all_empty();
  }

  void handle(const std::string& from, const Subscribe& message)
  {
    // A host without contact to the group may be behind; the subscriber turns to another one.
    if (!consensus->in_contact()) {
      return;
    }
    // A starting subscriber also gets the snapshot in place of entries that are still there: it
    // costs less to restore than to apply them.
    const auto snapshot = consensus->snapshot();
    const bool starting = message.confirm && snapshot && message.from_index <= snapshot->last.index;
    if (starting || message.from_index < consensus->first_index()) {
      send_snapshot(from, message);
    } else if (message.confirm) {
      confirm_later({ .subscriber = from,
                      .from_index = message.from_index,
                      .expires = ports.now() + options.subscription_timeout });
    } else {
      subscribe(from, message.from_index, false);
    }
  }

  // One read serves all subscribers that asked before it: each read asks every member.
  void confirm_later(Confirmation confirmation)
  {
    unread.push_back(std::move(confirmation));
    if (unread.size() > 1) {
      return;
    }
    post([this] {
      const std::uint64_t id = next_read++;
      confirmations[id] = std::exchange(unread, {});
      perform(consensus->read(id, ports.now()));
    });
  }

  void send_snapshot(const std::string& to, const Subscribe& message)
  {
    const auto snapshot = consensus->snapshot();
    if (!snapshot) {
      return;
    }
    const Bytes& whole = snapshot->state;
    const bool continues = message.snapshot_index == snapshot->last.index;
    const std::size_t start =
      continues ? std::min<std::size_t>(message.snapshot_offset, whole.size()) : 0;
    SentPiece& last = sent_pieces[to];
    const TimePoint now = ports.now();
    if (last.index == snapshot->last.index && last.offset == start &&
        now - last.sent < options.snapshot_resend) {
      return;
    }
    last = { .index = snapshot->last.index, .offset = start, .sent = now };
    const std::size_t end = std::min(whole.size(), start + options.message_bytes);
    ports.send(
      to,
      SnapshotTransfer{ .index = snapshot->last.index,
                        .offset = start,
                        .total = whole.size(),
                        .state = Bytes(whole.begin() + static_cast<std::ptrdiff_t>(start),
                                       whole.begin() + static_cast<std::ptrdiff_t>(end)) });
  }

  void on_read(const ReadResult& read)
  {
    const auto check = leadership_checks.find(read.id);
    if (check != leadership_checks.end()) {
      check->second.needed = read.index;
      if (!read.confirmed) {
        leadership_checks.erase(check);
      }
      finish_leadership_checks();
      return;
    }
    const auto found = confirmations.find(read.id);
    if (found == confirmations.end()) {
      return;
    }
    if (!read.confirmed) {
      confirmations.erase(found);
      return;
    }
    for (Confirmation& confirmation : found->second) {
      confirmation.needed = read.index;
    }
    confirm_subscribers();
  }

  void finish_leadership_checks()
  {
    for (auto entry = leadership_checks.begin(); entry != leadership_checks.end();) {
      const LeadershipCheck check = entry->second;
      if (!check.needed || *check.needed > state.applied_index()) {
        ++entry;
        continue;
      }
      entry = leadership_checks.erase(entry);
      check.confirmed(check.asked);
    }
  }

  void confirm_subscribers()
  {
    finish_leadership_checks();
    for (auto entry = confirmations.begin(); entry != confirmations.end();) {
      const std::optional<std::uint64_t> needed = entry->second.front().needed;
      if (!needed || *needed > state.applied_index()) {
        ++entry;
        continue;
      }
      const std::vector<Confirmation> confirmed = std::move(entry->second);
      entry = confirmations.erase(entry);
      for (const Confirmation& confirmation : confirmed) {
        subscribe(confirmation.subscriber, confirmation.from_index, true);
      }
    }
  }

  void subscribe(const std::string& subscriber, std::uint64_t from_index, bool confirmed)
  {
    const auto [entry, is_new] = subscriptions.try_emplace(subscriber);
    Subscription& subscription = entry->second;
    if (is_new || subscription.last_from == from_index || from_index > subscription.next) {
      subscription.next = from_index;
    }
    subscription.last_from = from_index;
    subscription.expires = ports.now() + options.subscription_timeout;
    // At least one message, which tells the subscriber that this host is in contact.
    while (send_entries(subscriber, subscription, confirmed) &&
           subscription.next <= state.applied_index()) {
    }
  }

  bool send_entries(const std::string& to, Subscription& subscription, bool confirmed) const
  {
    if (subscription.next < consensus->first_index()) {
      // The subscriber's next request is answered with the snapshot.
      return false;
    }
    Entries entries{ .first_index = subscription.next };
    std::size_t bytes = 0;
    while (subscription.next <= state.applied_index() && bytes < options.message_bytes) {
      entries.payloads.push_back(payload_of(consensus->entry(subscription.next++)));
      bytes += entries.payloads.back().size();
    }
    entries.confirmed = confirmed && subscription.next > state.applied_index();
    if (entries.payloads.empty() || confirmed) {
      for (const Member& member : consensus->membership()) {
        entries.control.push_back(
          { .address = member.address, .failure_domain = member.failure_domain });
      }
      entries.entry_hosts = ports.entry_hosts ? ports.entry_hosts() : 0;
    }
    ports.send(to, std::move(entries));
    return true;
  }

  void feed_subscribers()
  {
    for (auto& [address, subscription] : subscriptions) {
      while (subscription.next <= state.applied_index() &&
             send_entries(address, subscription, false)) {
      }
    }
  }

  void tick()
  {
    const TimePoint now = ports.now();
    if (storage_retry_at && now >= *storage_retry_at) {
      retry_storage(now);
    }
    perform(consensus->tick(now));
    ask_to_join(now);
    const auto expired = [&](const auto& entry) { return entry.second.expires < now; };
    std::erase_if(subscriptions, expired);
    std::erase_if(sent_pieces, [&](const auto& entry) {
      return now - entry.second.sent >= options.snapshot_resend;
    });
    std::erase_if(confirmations,
                  [&](const auto& entry) { return entry.second.front().expires < now; });
  }

  void retry_storage(TimePoint now)
  {
    storage_retry_at.reset();
    const Result<void> opened = open();
    if (opened.has_error()) {
      ports.report("storage_failed", "reason", opened.error().message);
      storage_retry_at = now + options.storage_retry;
      return;
    }
    ports.report("storage_recovered", "applied", std::to_string(state.applied_index()));
  }

  template<class Other>
  void handle(const std::string&, const Other&)
  {
  }
};

Replica::Replica(ReplicaOptions options, ReplicaPorts ports, std::unique_ptr<Disk> disk)
  : m_impl(std::make_unique<Impl>(std::move(options), std::move(ports), std::move(disk)))
{
}

Replica::~Replica() = default;

Result<void>
Replica::open()
{
  return m_impl->open();
}

void
Replica::receive(const std::string& from, const ClusterMessage& message)
{
  std::visit([&](const auto& typed) { m_impl->handle(from, typed); }, message);
}

void
Replica::tick()
{
  m_impl->tick();
}

void
Replica::set_seeds(std::vector<std::string> addresses)
{
  m_impl->seeds = std::move(addresses);
}

bool
Replica::leads() const
{
  return m_impl->consensus->role() == ConsensusRole::Leader;
}

void
Replica::confirm_leadership(std::function<void(TimePoint asked)> confirmed)
{
  const TimePoint now = m_impl->ports.now();
  const std::uint64_t id = m_impl->next_read++;
  m_impl->leadership_checks[id] = { .asked = now, .confirmed = std::move(confirmed) };
  m_impl->perform(m_impl->consensus->read(id, now));
}

ReplicaStatus
Replica::status() const
{
  const Consensus& consensus = *m_impl->consensus;
  return { .role = consensus.role(),
           .term = consensus.term(),
           .leader_address = m_impl->address_of(consensus.leader()),
           .commit = consensus.commit_index(),
           .applied = m_impl->state.applied_index(),
           .membership = consensus.membership(),
           .in_contact = consensus.in_contact() };
}

const StateMachine&
Replica::machine() const
{
  return m_impl->state.machine();
}

} // namespace lovagehold
