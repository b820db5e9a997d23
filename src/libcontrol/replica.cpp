#include "lovagehold/replica.h"

#include "lovagehold/request_numbers.h"
#include "storage_worker.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>

namespace lovagehold {

namespace {

// A subscriber may still be receiving the image before the latest one.
constexpr std::size_t kKeptImages = 2;
// Limits what a host outside the group keeps of what others tell it.
constexpr std::size_t kMaxContacts = 64;

std::uint64_t
random_seed()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

const Bytes&
payload_of(const LogEntry& entry)
{
  static const Bytes kEmpty;
  return entry.kind == EntryKind::Command && entry.payload ? *entry.payload : kEmpty;
}

const Member*
find_member(const Membership& members, MemberId id)
{
  const auto found = std::find_if(
    members.begin(), members.end(), [id](const Member& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

// \return the addresses, separated by commas
std::string
addresses_of(const Membership& members, bool voters)
{
  std::string addresses;
  for (const Member& member : members) {
    if (member.voter == voters) {
      addresses += (addresses.empty() ? "" : ",") + member.address;
    }
  }
  return addresses;
}

// \return "joined A", "moved A", "promoted A", "demoted A" and "removed A" for each member that
// differs
std::string
describe_change(const Membership& before, const Membership& after)
{
  std::string change;
  const auto add = [&change](const char* what, const Member& member) {
    change += (change.empty() ? "" : ", ") + std::string(what) + " " + member.address;
  };
  for (const Member& member : before) {
    if (find_member(after, member.id) == nullptr) {
      add("removed", member);
    }
  }
  for (const Member& member : after) {
    const Member* previous = find_member(before, member.id);
    if (previous == nullptr) {
      add("joined", member);
    } else if (member.address != previous->address) {
      add("moved", member);
    } else if (member.voter && !previous->voter) {
      add("promoted", member);
    } else if (!member.voter && previous->voter) {
      add("demoted", member);
    }
  }
  return change;
}

} // namespace

struct Replica::Impl
{
  using ProposalId = std::pair<std::uint64_t, std::uint64_t>;

  struct Subscription
  {
    std::uint64_t next = 1;
    /// from_index of the last request. Two requests from the same index mean that entries were
    /// lost.
    std::uint64_t last_from = 0;
    TimePoint expires;
  };

  // What entries tell beside their payloads if they answer a subscription.
  struct Answer
  {
    /// Subscribe::request; 0 if the entries answer none.
    std::uint64_t request = 0;
    /// A majority has confirmed that the state is current since the request arrived.
    bool confirmed = false;
  };

  // The whole state as of a log index, in the format of a snapshot.
  struct StateImage
  {
    std::uint64_t index = 0;
    std::shared_ptr<const Bytes> bytes;
  };

  // Chunk of an image that was last sent to a subscriber.
  struct SentChunk
  {
    std::uint64_t index = 0;
    std::size_t offset = 0;
    TimePoint sent;
  };

  struct JoinRequest
  {
    MemberId member = 0;
    TimePoint heard_at;
  };

  // Pending call of confirm_leadership(), made as a linearizable read.
  struct LeadershipCheck
  {
    TimePoint requested_at;
    std::function<void(std::optional<TimePoint>)> done;
    /// The member that was asked to confirm.
    MemberId leader = 0;
    /// Index that has to be applied first; set once a majority has confirmed.
    std::optional<std::uint64_t> required_index;
  };

  // A subscriber that gets its entries once the state includes the index that the leader confirmed.
  struct Confirmation
  {
    std::string subscriber;
    Subscribe request;
    /// Index that has to be applied first; set once a majority has confirmed.
    std::optional<std::uint64_t> required_index;
    TimePoint expires;
  };

  ReplicaOptions options;
  ReplicaPorts ports;
  std::unique_ptr<Disk> disk;
  std::mt19937_64 random;
  /// Of the reads that a majority confirms.
  RequestNumbers read_numbers;
  LogStorage storage;
  std::unique_ptr<Consensus> consensus;
  ReplicatedState state;
  std::uint64_t nonce = random();
  std::uint64_t first_host_nonce = 0;
  /// Hosts that have reported an empty log to this process.
  std::map<HostId, Member> empty_members;
  std::vector<std::string> seeds;
  /// Addresses from which members have sent messages.
  std::map<MemberId, std::string> addresses;
  /// Proposals without a result and the addresses of their clients.
  std::map<ProposalId, std::string> pending_proposals;
  std::vector<Payload> proposal_queue;
  bool flush_posted = false;
  /// Tokens of the last write submitted and of the last one completed.
  std::uint64_t submitted_token = 0;
  std::uint64_t written_token = 0;
  std::map<std::string, Subscription> subscriptions;
  std::map<std::string, SentChunk> sent_chunks;
  /// Images sent to starting subscribers, the latest one last.
  std::deque<StateImage> images;
  /// Size of the entries applied after the latest image.
  std::size_t bytes_since_image = 0;
  TimePoint started;
  /// When a message of a host last arrived, by its address.
  std::map<std::string, TimePoint> heard_at;
  /// By the id of the read that confirms them.
  std::map<std::uint64_t, std::vector<Confirmation>> confirmations;
  /// Subscribers to be confirmed by the next read, by address.
  std::map<std::string, Confirmation> awaiting_read;
  /// When the read that confirms subscribers was sent; nothing if its result has arrived.
  std::optional<TimePoint> read_sent_at;
  bool read_posted = false;
  std::map<std::uint64_t, LeadershipCheck> leadership_checks;
  TimePoint join_at;
  /// When this host was last seen to be in the group, or was opened.
  TimePoint last_inside;
  /// Last requests to join, by the address of the host.
  std::map<std::string, JoinRequest> join_requests;
  /// Hosts asked to add this one since join_at was last set.
  std::set<std::string> asked;
  /// Members that this host has learned of while it is outside the group, beside those in its
  /// settings and its log.
  std::set<std::string> contacts;
  /// When this host may next report that it is outside the group.
  TimePoint report_outside_at;
  /// When a request to join that this host could not carry out was last reported, by address.
  std::map<std::string, TimePoint> reported_joins;
  Membership reported_membership;
  std::optional<TimePoint> storage_retry_at;
  unsigned changes_since_snapshot = 0;
  /// Posted functions hold a weak reference and do nothing after destruction.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  // Declared last, so that its thread ends before the members that it uses are destroyed.
  std::unique_ptr<StorageWorker> worker;

  Impl(ReplicaOptions replica_options,
       ReplicaPorts replica_ports,
       std::unique_ptr<Disk> replica_disk)
    : options(std::move(replica_options))
    , ports(std::move(replica_ports))
    , disk(std::move(replica_disk))
    , random(options.seed == 0 ? random_seed() : options.seed)
    , read_numbers(options.seed % RequestNumbers::kMaxFirst)
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
      ports.report("log_tail_truncated", { { "bytes", std::to_string(restored.truncated_bytes) } });
    }
    ConsensusOptions consensus_options = options.consensus;
    consensus_options.seed = random();
    started = ports.now();
    consensus = std::make_unique<Consensus>(consensus_options, restored, started);
    submitted_token = 0;
    written_token = 0;
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
      ports.report("storage_failed", { { "reason", result.error().message } });
      storage_retry_at = ports.now() + options.storage_retry;
      perform(consensus->storage_failed(ports.now()));
      return;
    }
    written_token = token;
    perform(consensus->storage_done(token, ports.now()));
    flush();
  }

  std::string address_of(MemberId id) const
  {
    if (const Member* member = find_member(consensus->membership(), id)) {
      return member->address;
    }
    const auto known_address = addresses.find(id);
    return known_address == addresses.end() ? "" : known_address->second;
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
      submitted_token = effects.token;
      worker->submit(std::move(effects.records), effects.token);
    }
    if (effects.snapshot_to_install &&
        effects.snapshot_to_install->last.index > state.applied_index()) {
      const Result<void> restored = state.restore(effects.snapshot_to_install->state);
      if (restored.has_error()) {
        ports.report("snapshot_refused", { { "reason", restored.error().message } });
      }
    }
    for (const LogEntry& entry : effects.committed) {
      apply(entry);
    }
    for (const ReadResult& read : effects.reads) {
      on_read_result(read);
    }
    if (effects.role_changed) {
      on_role_change();
    }
    if (effects.snapshot_to_install || !effects.committed.empty()) {
      confirm_subscribers();
      feed_subscribers();
      maybe_compact();
    }
  }

  void apply(const LogEntry& entry)
  {
    const std::uint64_t revision = state.machine().configuration()->revision;
    const auto applied = state.apply(entry.index, payload_of(entry));
    bytes_since_image += payload_of(entry).size();
    changes_since_snapshot += state.machine().configuration()->revision == revision ? 0 : 1;
    if (!applied) {
      return;
    }
    const auto pending_proposal = pending_proposals.find({ applied->client, applied->id });
    if (pending_proposal != pending_proposals.end()) {
      ports.send(pending_proposal->second,
                 ProposeReply{ .id = applied->id, .decided = true, .result = applied->result });
      pending_proposals.erase(pending_proposal);
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

  void reject_proposal(const std::string& to, std::uint64_t id) const
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
    ports.report(
      "control_role",
      { { "role",
          std::string(to_string(consensus->role())) + " term " + std::to_string(consensus->term()) +
            " leader " + address_of(consensus->leader()) } });
    fail_checks_without_leader();
    if (consensus->role() == ConsensusRole::Leader) {
      return;
    }
    proposal_queue.clear();
    for (const auto& [proposal, from] : std::exchange(pending_proposals, {})) {
      reject_proposal(from, proposal.second);
    }
  }

  void handle(const std::string& from, const Propose& message)
  {
    if (consensus->role() != ConsensusRole::Leader) {
      reject_proposal(from, message.id);
      return;
    }
    if (const ApplyResult* known = state.find_result(message.client, message.id)) {
      ports.send(from, ProposeReply{ .id = message.id, .decided = true, .result = *known });
      return;
    }
    const bool inserted =
      pending_proposals.insert_or_assign({ message.client, message.id }, from).second;
    if (!inserted) {
      return;
    }
    proposal_queue.push_back(
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

  // Proposals that arrive during a write are batched into the next one.
  void flush()
  {
    if (!proposal_queue.empty() && written_token == submitted_token) {
      perform(consensus->propose(std::exchange(proposal_queue, {}), ports.now()));
    }
  }

  void handle(const std::string& from, const ConsensusEnvelope& envelope)
  {
    addresses[envelope.from] = from;
    // A leader goes on sending to the identity that a host had before its disk was lost.
    if (envelope.to != consensus->self() && is_outside() && contacts.size() < kMaxContacts) {
      contacts.insert(from);
    }
    perform(consensus->step(envelope, ports.now()));
  }

  // Reports how the membership known to this host differs from the one reported before.
  void report_membership()
  {
    const Membership& members = consensus->membership();
    const std::string change = describe_change(reported_membership, members);
    if (change.empty()) {
      return;
    }
    reported_membership = members;
    ports.report("control_members",
                 { { "change", change },
                   { "voters", addresses_of(members, true) },
                   { "learners", addresses_of(members, false) } });
  }

  void report_ignored_join(const std::string& from, std::string_view reason)
  {
    const TimePoint now = ports.now();
    std::erase_if(reported_joins, [&](const auto& entry) {
      return now - entry.second >= options.outside_report_interval;
    });
    if (reported_joins.try_emplace(from, now).second) {
      ports.report("join_ignored",
                   { { "from", from },
                     { "reason", std::string(reason) },
                     { "leader", address_of(consensus->leader()) } });
    }
  }

  void handle(const std::string& from, const JoinGroup& join)
  {
    if (!options.members.empty() && join.member.host == options.members.front().first) {
      first_host_nonce = join.nonce;
    }
    if (from != join.member.address) {
      report_ignored_join(from, "it names another address, " + join.member.address);
      return;
    }
    join_requests[from] = { .member = join.member.id, .heard_at = ports.now() };
    if (consensus->role() == ConsensusRole::Leader) {
      add_member(join.member);
    } else if (consensus->last_index() > 0) {
      name_contacts(from);
    } else if (join.empty && join.first_host_nonce == nonce) {
      empty_members[join.member.host] = join.member;
    }
  }

  void add_member(const Member& member)
  {
    // A member that has just started asks too, until it gets the leader's first message.
    const Member* known = find_member(consensus->membership(), member.id);
    if (known != nullptr && known->address == member.address) {
      return;
    }
    const std::string_view obstacle = consensus->join_obstacle(member, ports.now());
    if (!obstacle.empty()) {
      report_ignored_join(member.address, obstacle);
      return;
    }
    perform(consensus->add_learner(member, ports.now()));
  }

  // Only the leader adds members, and a host that asks to join may know only others.
  void name_contacts(const std::string& to)
  {
    const std::string leader = address_of(consensus->leader());
    if (!consensus->in_contact() || leader.empty()) {
      report_ignored_join(to, "no leader is known");
      return;
    }
    GroupContacts message{ .leader = leader };
    for (const Member& member : consensus->membership()) {
      message.members.push_back(member.address);
    }
    ports.send(to, message);
  }

  void handle(const std::string& from, const GroupContacts& message)
  {
    if (!is_outside() || asked.count(from) == 0) {
      return;
    }
    const auto last = message.members.begin() +
                      static_cast<std::ptrdiff_t>(std::min(message.members.size(), kMaxContacts));
    contacts = { message.members.begin(), last };
    ask(message.leader);
  }

  Member own_member() const
  {
    return { .id = consensus->self(),
             .host = options.host,
             .address = options.address,
             .failure_domain = options.failure_domain };
  }

  // A first host whose disk was wiped must not bootstrap a second group. Therefore every host has
  // to report an empty log to this very process; the echoed nonce excludes reports to an
  // earlier run of the process.
  void bootstrap_if_all_empty()
  {
    if (!options.may_bootstrap || options.members.empty() ||
        options.members.front().first != options.host || consensus->last_index() > 0) {
      return;
    }
    Membership membership;
    for (const auto& [host, address] : options.members) {
      const auto reported = empty_members.find(host);
      if (host != options.host && reported == empty_members.end()) {
        return;
      }
      membership.push_back(host == options.host ? own_member() : reported->second);
      membership.back().voter = true;
    }
    perform(consensus->bootstrap(membership, ports.now()));
    ports.report("group_founded", { { "members", std::to_string(membership.size()) } });
  }

  std::vector<std::string> joining_hosts() const
  {
    std::vector<std::string> hosts;
    for (const auto& [address, request] : join_requests) {
      // A host that has lost its disk is no member, even if its former identity is one.
      if (find_member(consensus->membership(), request.member) == nullptr &&
          ports.now() - request.heard_at < options.source_heard) {
        hosts.push_back(address);
      }
    }
    return hosts;
  }

  bool is_member() const
  {
    return find_member(consensus->membership(), consensus->self()) != nullptr;
  }

  // A host that no leader contacts asks to join even if its own log lists it as a member, because
  // that membership may never have been committed.
  bool is_outside() const { return !is_member() || !consensus->in_contact(); }

  // Asks a host to add this one, once in each round.
  void ask(const std::string& address)
  {
    if (address != options.address && asked.insert(address).second) {
      ports.send(address,
                 JoinGroup{ .member = own_member(),
                            .empty = consensus->last_index() == 0,
                            .nonce = nonce,
                            .first_host_nonce = first_host_nonce });
    }
  }

  void ask_to_join(TimePoint now)
  {
    if (!is_outside()) {
      contacts.clear();
      return;
    }
    if (now < join_at) {
      return;
    }
    join_at = now + options.join_interval;
    asked.clear();
    std::set<std::string> targets = contacts;
    for (const auto& [host, address] : options.members) {
      targets.insert(address);
    }
    targets.insert(seeds.begin(), seeds.end());
    // The hosts in the settings may have been replaced since this host was configured.
    for (const Member& member : consensus->membership()) {
      targets.insert(member.address);
    }
    for (const std::string& address : targets) {
      ask(address);
    }
    report_outside(now);
    bootstrap_if_all_empty();
  }

  void report_outside(TimePoint now)
  {
    if (now < report_outside_at) {
      return;
    }
    report_outside_at = now + options.outside_report_interval;
    std::string addresses;
    for (const std::string& address : asked) {
      addresses += (addresses.empty() ? "" : ",") + address;
    }
    ports.report("outside_group",
                 { { "asked", addresses },
                   { "member", is_member() ? "yes" : "no" },
                   { "entries", std::to_string(consensus->last_index()) } });
  }

  void handle(const std::string& from, const Subscribe& message)
  {
    // A host without contact with the leader may be behind, and one that lacks entries which the
    // subscriber has is. Without an answer, the subscriber switches to another host.
    if (!consensus->in_contact() || message.from_index > state.applied_index() + 1) {
      return;
    }
    if (message.confirm && message.accepts_source && redirect(from, message)) {
      return;
    }
    if (message.confirm) {
      queue_confirmation({ .subscriber = from,
                           .request = message,
                           .expires = ports.now() + options.subscription_timeout });
    } else {
      answer(from, message, false);
    }
  }

  // A host without contact with the leader doesn't answer, so that others do.
  void handle(const std::string& from, const SourceQuery& message)
  {
    const auto current_lag = lag();
    if (consensus->in_contact() && current_lag) {
      ports.send(from,
                 SourceStatus{ .answers = message.request,
                               .applied_index = state.applied_index(),
                               .lag = *current_lag });
    }
  }

  // Directs a starting subscriber to the control host that it is to follow. Many hosts may start
  // together, and all of them know the same few control hosts. \return false if that is this host
  bool redirect(const std::string& from, const Subscribe& message) const
  {
    const std::string source = select_source(
      from, message.presence ? message.presence->failure_domain : "", running_members());
    if (source.empty() || source == options.address) {
      return false;
    }
    ports.send(from, Entries{ .control = all_members(), .source = source });
    return true;
  }

  std::vector<ControlAddress> all_members() const
  {
    std::vector<ControlAddress> members;
    for (const Member& member : consensus->membership()) {
      members.push_back({ .address = member.address, .failure_domain = member.failure_domain });
    }
    return members;
  }

  std::vector<ControlAddress> running_members() const
  {
    const TimePoint now = ports.now();
    std::vector<ControlAddress> members = all_members();
    std::erase_if(members, [&](const ControlAddress& member) {
      const auto heard = heard_at.find(member.address);
      const bool was_heard = heard != heard_at.end() && now - heard->second < options.source_heard;
      return member.address != options.address && now - started >= options.source_heard &&
             !was_heard;
    });
    return members;
  }

  void answer(const std::string& to, const Subscribe& message, bool confirmed)
  {
    // A starting subscriber gets an image even if the entries are still in the log, because
    // restoring it costs less than applying them.
    const bool starting = message.confirm && message.from_index == 1 && state.applied_index() > 0;
    if (!starting && message.from_index >= consensus->first_index()) {
      subscribe(to, message.from_index, { message.request, confirmed });
    } else if (const auto index = send_image(to, message)) {
      // An earlier subscription may be that of the same host before it restarted.
      subscriptions.erase(to);
      subscribe(to, *index + 1, { message.request, confirmed });
    }
  }

  // Subscribers share a read, because each read sends messages to all members.
  void queue_confirmation(Confirmation confirmation)
  {
    awaiting_read[confirmation.subscriber] = std::move(confirmation);
    if (!read_sent_at && !std::exchange(read_posted, true)) {
      post([this] {
        read_posted = false;
        start_confirmation();
      });
    }
  }

  void start_confirmation()
  {
    if (awaiting_read.empty()) {
      return;
    }
    const std::uint64_t id = read_numbers.next();
    std::vector<Confirmation>& confirmed = confirmations[id];
    for (auto& [subscriber, confirmation] : std::exchange(awaiting_read, {})) {
      confirmed.push_back(std::move(confirmation));
    }
    read_sent_at = ports.now();
    perform(consensus->read(id, ports.now()));
  }

  const StateImage& latest_image()
  {
    const bool usable = !images.empty() && images.back().index + 1 >= consensus->first_index() &&
                        bytes_since_image <= options.image_lag_bytes;
    if (!usable) {
      images.push_back({ .index = state.applied_index(),
                         .bytes = std::make_shared<const Bytes>(state.snapshot()) });
      bytes_since_image = 0;
      ports.report("state_image_made",
                   { { "bytes", std::to_string(images.back().bytes->size()) } });
      if (images.size() > kKeptImages) {
        images.pop_front();
      }
    }
    return images.back();
  }

  // Sends the next chunk of an image. \return the index of the image if that was the last chunk
  std::optional<std::uint64_t> send_image(const std::string& to, const Subscribe& message)
  {
    const auto resumed = std::find_if(images.begin(), images.end(), [&](const StateImage& image) {
      return image.index == message.snapshot_index && image.index + 1 >= consensus->first_index();
    });
    const bool resumes = message.snapshot_offset > 0 && resumed != images.end();
    const StateImage image = resumes ? *resumed : latest_image();
    const std::size_t start =
      resumes ? std::min<std::size_t>(message.snapshot_offset, image.bytes->size()) : 0;
    SentChunk& last_sent = sent_chunks[to];
    const TimePoint now = ports.now();
    if (last_sent.index == image.index && last_sent.offset == start &&
        now - last_sent.sent < options.snapshot_resend) {
      return std::nullopt;
    }
    last_sent = { .index = image.index, .offset = start, .sent = now };
    const std::size_t end = std::min(image.bytes->size(), start + options.message_bytes);
    ports.send(
      to,
      SnapshotTransfer{ .index = image.index,
                        .offset = start,
                        .total = image.bytes->size(),
                        .state = Bytes(image.bytes->begin() + static_cast<std::ptrdiff_t>(start),
                                       image.bytes->begin() + static_cast<std::ptrdiff_t>(end)) });
    return end == image.bytes->size() ? std::optional(image.index) : std::nullopt;
  }

  void on_read_result(const ReadResult& read)
  {
    const auto check = leadership_checks.find(read.id);
    if (check != leadership_checks.end()) {
      if (read.confirmed) {
        check->second.required_index = read.index;
        finish_leadership_checks();
      } else {
        fail_leadership_checks([&](const auto& entry) { return entry.first == read.id; });
      }
      return;
    }
    const auto found = confirmations.find(read.id);
    if (found == confirmations.end()) {
      return;
    }
    read_sent_at.reset();
    if (read.confirmed) {
      for (Confirmation& confirmation : found->second) {
        confirmation.required_index = read.index;
      }
      confirm_subscribers();
    } else {
      confirmations.erase(found);
    }
    start_confirmation();
  }

  // Removes the checks that the condition holds for. The caller notifies them afterwards, as they
  // may start further checks.
  template<class Condition>
  std::vector<LeadershipCheck> take_leadership_checks(Condition condition)
  {
    std::vector<LeadershipCheck> taken;
    std::erase_if(leadership_checks, [&](const auto& entry) {
      const bool matches = condition(entry);
      if (matches) {
        taken.push_back(entry.second);
      }
      return matches;
    });
    return taken;
  }

  void finish_leadership_checks()
  {
    const auto is_finished = [&](const auto& entry) {
      const std::optional<std::uint64_t> required_index = entry.second.required_index;
      return required_index && *required_index <= state.applied_index();
    };
    for (const LeadershipCheck& check : take_leadership_checks(is_finished)) {
      check.done(check.requested_at);
    }
  }

  template<class Condition>
  void fail_leadership_checks(Condition condition)
  {
    for (const LeadershipCheck& check : take_leadership_checks(condition)) {
      check.done(std::nullopt);
    }
  }

  // A leader that is only silent may still confirm; one that another has replaced can't, and a
  // member without a disk takes part in nothing.
  void fail_checks_without_leader()
  {
    const bool failed = consensus->role() == ConsensusRole::Failed;
    const MemberId leader = consensus->leader();
    fail_leadership_checks([&](const auto& entry) {
      const LeadershipCheck& check = entry.second;
      return failed || (!check.required_index && leader != 0 && check.leader != leader);
    });
  }

  void confirm_subscribers()
  {
    finish_leadership_checks();
    for (auto entry = confirmations.begin(); entry != confirmations.end();) {
      const std::optional<std::uint64_t> required_index = entry->second.front().required_index;
      if (!required_index || *required_index > state.applied_index()) {
        ++entry;
        continue;
      }
      const std::vector<Confirmation> confirmed = std::move(entry->second);
      entry = confirmations.erase(entry);
      for (const Confirmation& confirmation : confirmed) {
        answer(confirmation.subscriber, confirmation.request, true);
      }
    }
  }

  // Rounded up; see Consensus::lag().
  std::optional<std::chrono::milliseconds> lag() const
  {
    const Duration lag = consensus->lag(ports.now());
    return lag == Duration::max()
             ? std::nullopt
             : std::optional(std::chrono::ceil<std::chrono::milliseconds>(lag));
  }

  void subscribe(const std::string& subscriber, std::uint64_t from_index, const Answer& answer)
  {
    const auto [entry, inserted] = subscriptions.try_emplace(subscriber);
    Subscription& subscription = entry->second;
    if (inserted || subscription.last_from == from_index || from_index > subscription.next) {
      subscription.next = from_index;
    }
    subscription.last_from = from_index;
    subscription.expires = ports.now() + options.subscription_timeout;
    // Sends at least one message, which tells the subscriber that this host is in contact.
    while (send_entries(subscriber, subscription, answer) &&
           subscription.next <= state.applied_index()) {
    }
  }

  bool send_entries(const std::string& to, Subscription& subscription, const Answer& answer) const
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
    if (subscription.next > state.applied_index()) {
      entries.confirmed = answer.confirmed;
      entries.answers = answer.request;
      if (answer.request > 0) {
        entries.lag = answer.confirmed ? std::chrono::milliseconds(0) : lag();
      }
    }
    if (entries.payloads.empty() || answer.confirmed) {
      entries.control = all_members();
      entries.entry_hosts = ports.entry_hosts ? ports.entry_hosts() : 0;
    }
    ports.send(to, std::move(entries));
    return true;
  }

  void feed_subscribers()
  {
    for (auto& [address, subscription] : subscriptions) {
      while (subscription.next <= state.applied_index() &&
             send_entries(address, subscription, {})) {
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
    if (read_sent_at && now - *read_sent_at >= options.read_retry) {
      read_sent_at.reset();
      start_confirmation();
    }
    ask_to_join(now);
    report_membership();
    last_inside = is_outside() ? last_inside : now;
    std::erase_if(heard_at,
                  [&](const auto& entry) { return now - entry.second >= options.source_heard; });
    std::erase_if(join_requests, [&](const auto& entry) {
      return now - entry.second.heard_at >= options.source_heard;
    });
    const auto expired = [&](const auto& entry) { return entry.second.expires < now; };
    std::erase_if(subscriptions, expired);
    std::erase_if(sent_chunks, [&](const auto& entry) {
      return now - entry.second.sent >= options.snapshot_resend;
    });
    std::erase_if(confirmations,
                  [&](const auto& entry) { return entry.second.front().expires < now; });
    fail_leadership_checks([&](const auto& entry) {
      return now - entry.second.requested_at >= options.confirmation_timeout;
    });
  }

  void retry_storage(TimePoint now)
  {
    storage_retry_at.reset();
    const Result<void> opened = open();
    if (opened.has_error()) {
      ports.report("storage_failed", { { "reason", opened.error().message } });
      storage_retry_at = now + options.storage_retry;
      return;
    }
    ports.report("storage_recovered", { { "applied", std::to_string(state.applied_index()) } });
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
  m_impl->last_inside = m_impl->ports.now();
  return m_impl->open();
}

void
Replica::receive(const std::string& from, const ClusterMessage& message)
{
  m_impl->heard_at[from] = m_impl->ports.now();
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

bool
Replica::in_contact() const
{
  return m_impl->consensus->in_contact();
}

const Membership&
Replica::membership() const
{
  return m_impl->consensus->membership();
}

void
Replica::confirm_leadership(std::function<void(std::optional<TimePoint> requested_at)> done)
{
  const TimePoint now = m_impl->ports.now();
  const std::uint64_t id = m_impl->read_numbers.next();
  m_impl->leadership_checks[id] = { .requested_at = now,
                                    .done = std::move(done),
                                    .leader = m_impl->consensus->leader() };
  m_impl->perform(m_impl->consensus->read(id, now));
}

ReplicaStatus
Replica::status() const
{
  const TimePoint now = m_impl->ports.now();
  const Consensus& consensus = *m_impl->consensus;
  return { .role = consensus.role(),
           .term = consensus.term(),
           .leader_address = m_impl->address_of(consensus.leader()),
           .commit = consensus.commit_index(),
           .applied = m_impl->state.applied_index(),
           .membership = consensus.membership(),
           .in_contact = consensus.in_contact(),
           .lag = consensus.lag(now),
           .progress = consensus.progress(now),
           .outside = m_impl->is_outside() ? now - m_impl->last_inside : Duration::zero(),
           .joining = m_impl->joining_hosts() };
}

std::vector<ControlAddress>
Replica::running_members() const
{
  return m_impl->running_members();
}

const StateMachine&
Replica::machine() const
{
  return m_impl->state.machine();
}

} // namespace lovagehold
