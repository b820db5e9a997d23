#include "lovagehold/control_client.h"

#include "lovagehold/replicated_state.h"

#include <algorithm>
#include <random>

namespace lovagehold {

namespace {

// Limits of the exponential backoff until the state is confirmed: with a subscribe interval of 50
// ms, 0.8 s once the control host has answered, and 0.1 s before, because it may just have started.
constexpr unsigned kMaxDoublings = 4;
constexpr unsigned kMaxDoublingsBeforeAnswer = 1;
// A control host that refuses connections for this time may just be starting, as this host is.
constexpr std::chrono::milliseconds kStartupPatience{ 250 };
// Time after a failover before the client may return to the control host in its failure domain.
constexpr std::chrono::seconds kFailbackDelay{ 3 };

// Requests to control hosts whose answers are awaited.
constexpr std::size_t kMaxRequests = 32;
// Lags that other hosts tell are limited to this, so that an absurd value does not overflow a time.
constexpr std::chrono::hours kMaxLag{ 1 };

struct PendingProposal
{
  Bytes command;
  ControlClient::ResultHandler handler;
  TimePoint expires;
  TimePoint resend_at;
};

std::uint64_t
random_client_id()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

} // namespace

struct ControlClient::Impl
{
  ControlClientOptions options;
  Send send;
  Applied applied;
  ReplicatedState state;
  bool ready = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, PendingProposal> pending;
  /// Address that proposals are sent to: the leader if known.
  std::string proposal_target;
  std::size_t next_target = 0;
  std::vector<std::string> seeds;
  /// Index in control_addresses of the control host that the client subscribes to.
  std::size_t source = 0;
  TimePoint last_source_contact;
  std::optional<TimePoint> last_subscribe;
  /// Until then the client stays with its source, see kFailbackDelay.
  TimePoint failback_at;
  /// Subscriptions sent before the state was confirmed.
  unsigned unconfirmed_requests = 0;
  /// Whether entries or a snapshot chunk have been received.
  bool state_received = false;
  /// Snapshot received so far.
  SnapshotTransfer incoming_snapshot;
  /// Cleared once the client was directed to another control host, so that it is not directed back
  /// if that one does not answer.
  bool accepts_source = true;
  std::uint64_t next_request = 1;
  /// When the requests that are not answered yet were sent, the latest ones.
  std::map<std::uint64_t, TimePoint> requests;
  /// The state includes everything that was acknowledged before this time.
  std::optional<TimePoint> complete_until;

  // Each request makes the control host send again what may still be in transit. To keep that from
  // saturating a slow link, the interval doubles until the state is confirmed.
  Duration subscribe_interval() const
  {
    const Duration interval = options.subscribe_interval;
    const unsigned limit = state_received ? kMaxDoublings : kMaxDoublingsBeforeAnswer;
    return ready ? interval : interval * (1U << std::min(unconfirmed_requests, limit));
  }

  std::uint64_t add_request(TimePoint now)
  {
    if (requests.size() == kMaxRequests) {
      requests.erase(requests.begin());
    }
    requests[next_request] = now;
    return next_request++;
  }

  // An answer to a request shows until when the state is complete, however long the request or the
  // answer took.
  void apply_answer(const Entries& entries)
  {
    const auto request = requests.find(entries.answers);
    if (request == requests.end() || !entries.lag) {
      return;
    }
    const Duration lag = std::clamp<Duration>(*entries.lag, Duration::zero(), kMaxLag);
    complete_until = std::max(complete_until, std::optional(request->second - lag));
    requests.erase(requests.begin(), std::next(request));
  }

  void subscribe(TimePoint now)
  {
    last_subscribe = now;
    send(
      options.control_addresses[source],
      Subscribe{ .from_index = state.applied_index() + 1,
                 .confirm = !ready,
                 .snapshot_index = incoming_snapshot.index,
                 .snapshot_offset = incoming_snapshot.state.size(),
                 .presence = options.presence ? options.presence() : std::nullopt,
                 .directory_version = options.directory_version ? options.directory_version() : 0,
                 .accepts_source = !ready && accepts_source,
                 .request = add_request(now) });
  }

  // Subscribes to control_addresses[source] from the beginning.
  void follow_source(const char* reason, TimePoint now)
  {
    last_source_contact = now;
    incoming_snapshot = {};
    if (options.on_source) {
      options.on_source(options.control_addresses[source], reason);
    }
    subscribe(now);
  }

  void fail_over(const char* reason, TimePoint now)
  {
    switch_to_next_source();
    failback_at = now + kFailbackDelay;
    follow_source(reason, now);
  }

  void follow_assigned_source(const Entries& entries, TimePoint now)
  {
    if (ready || !std::exchange(accepts_source, false)) {
      return;
    }
    std::vector<std::string>& addresses = options.control_addresses;
    addresses = { entries.source };
    for (const ControlAddress& control : entries.control) {
      if (control.address != entries.source) {
        addresses.push_back(control.address);
      }
    }
    source = 0;
    follow_source("assigned", now);
  }

  // Control hosts are replaced over time. Subscribing to one in the own failure domain saves
  // traffic between failure domains.
  void update_control_hosts(const std::vector<ControlAddress>& control, TimePoint now)
  {
    if (control.empty()) {
      return;
    }
    const std::string current_address = options.control_addresses[source];
    options.control_addresses.clear();
    std::size_t current_index = control.size();
    std::optional<std::size_t> nearest_index;
    for (std::size_t i = 0; i < control.size(); ++i) {
      options.control_addresses.push_back(control[i].address);
      current_index = control[i].address == current_address ? i : current_index;
      if (control[i].failure_domain == options.failure_domain && !nearest_index) {
        nearest_index = i;
      }
    }
    const bool move =
      current_index == control.size() ||
      (nearest_index && control[current_index].failure_domain != options.failure_domain &&
       now >= failback_at);
    source = move ? nearest_index.value_or(0) : current_index;
    if (move) {
      follow_source(current_index == control.size() ? "replaced" : "nearer", now);
    }
  }

  // After the last control host the seeds are appended: all control hosts may have been replaced
  // while this host was disconnected.
  void switch_to_next_source()
  {
    std::vector<std::string>& addresses = options.control_addresses;
    if (++source < addresses.size()) {
      return;
    }
    for (const std::string& seed : seeds) {
      if (std::find(addresses.begin(), addresses.end(), seed) == addresses.end()) {
        addresses.push_back(seed);
      }
    }
    source = source < addresses.size() ? source : 0;
  }

  void send_proposal(std::uint64_t id, PendingProposal& proposal, TimePoint now)
  {
    proposal.resend_at = now + options.resend_interval;
    send(proposal_target,
         Propose{ .client = options.client,
                  .id = id,
                  .lowest_pending = pending.begin()->first,
                  .command = proposal.command });
  }

  void select_next_target()
  {
    proposal_target = options.control_addresses[next_target++ % options.control_addresses.size()];
  }

  void handle(const ProposeReply& reply, TimePoint now)
  {
    const auto found = pending.find(reply.id);
    if (found == pending.end()) {
      return;
    }
    if (!reply.decided) {
      // Without a known leader the next resend tries another host.
      if (!reply.leader_address.empty() && reply.leader_address != proposal_target) {
        proposal_target = reply.leader_address;
        send_proposal(reply.id, found->second, now);
      }
      return;
    }
    const ResultHandler handler = std::move(found->second.handler);
    pending.erase(found);
    handler(reply.result);
  }

  void handle(const Entries& entries, TimePoint now)
  {
    last_source_contact = now;
    if (!entries.source.empty()) {
      follow_assigned_source(entries, now);
      return;
    }
    state_received = true;
    const std::uint64_t old_applied_index = state.applied_index();
    if (entries.first_index > old_applied_index + 1) {
      subscribe(now);
      return;
    }
    std::uint64_t index = entries.first_index;
    for (const Bytes& payload : entries.payloads) {
      state.apply(index++, payload);
    }
    apply_answer(entries);
    const bool first_confirmation = entries.confirmed && !ready;
    ready = ready || entries.confirmed;
    if (ready && (first_confirmation || state.applied_index() > old_applied_index)) {
      applied(state.machine());
    }
    if (entries.entry_hosts > 0 && options.on_entry_hosts) {
      options.on_entry_hosts(entries.entry_hosts);
    }
    if (!entries.control.empty() && options.on_control_hosts) {
      options.on_control_hosts(entries.control);
    }
    update_control_hosts(entries.control, now);
  }

  void handle(const SnapshotTransfer& chunk, TimePoint now)
  {
    last_source_contact = now;
    state_received = true;
    if (chunk.index <= state.applied_index()) {
      return;
    }
    if (chunk.index != incoming_snapshot.index || chunk.total != incoming_snapshot.total) {
      incoming_snapshot = { .index = chunk.index, .total = chunk.total };
    }
    if (chunk.offset != incoming_snapshot.state.size()) {
      return;
    }
    incoming_snapshot.state.insert(
      incoming_snapshot.state.end(), chunk.state.begin(), chunk.state.end());
    if (incoming_snapshot.state.size() < incoming_snapshot.total) {
      subscribe(now);
      return;
    }
    // The entries after the image follow without a further request.
    const Result<void> restored = state.restore(std::exchange(incoming_snapshot, {}).state);
    if (restored.has_value() && ready) {
      applied(state.machine());
    }
  }

  void resend_proposals(TimePoint now)
  {
    bool target_changed = false;
    for (auto& [id, proposal] : pending) {
      if (proposal.resend_at <= now && proposal.expires > now) {
        if (!std::exchange(target_changed, true)) {
          select_next_target();
        }
        send_proposal(id, proposal, now);
      }
    }
  }

  void expire_proposals(TimePoint now)
  {
    std::vector<ResultHandler> handlers;
    std::erase_if(pending, [&](auto& entry) {
      if (entry.second.expires > now) {
        return false;
      }
      handlers.push_back(std::move(entry.second.handler));
      return true;
    });
    for (const ResultHandler& handler : handlers) {
      handler(Error{ .kind = ErrorKind::Timeout,
                     .message = "control did not answer in time",
                     .remedy = "check with lovagectl status which control hosts are reachable" });
    }
  }

  template<class Other>
  void handle(const Other&, TimePoint)
  {
  }
};

ControlClient::ControlClient(ControlClientOptions options, Send send, Applied applied)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = std::move(options);
  m_impl->seeds = m_impl->options.control_addresses;
  m_impl->send = std::move(send);
  m_impl->applied = std::move(applied);
  if (m_impl->options.client == 0) {
    m_impl->options.client = random_client_id();
  }
  m_impl->select_next_target();
}

ControlClient::~ControlClient() = default;

void
ControlClient::propose(const Command& command, ResultHandler handler, TimePoint now)
{
  const std::uint64_t id = m_impl->next_id++;
  PendingProposal& proposal = m_impl->pending[id];
  proposal = { .command = encode(command),
               .handler = std::move(handler),
               .expires = now + m_impl->options.proposal_timeout };
  m_impl->send_proposal(id, proposal, now);
}

void
ControlClient::receive(const std::string&, const ClusterMessage& message, TimePoint now)
{
  std::visit([&](const auto& typed) { m_impl->handle(typed, now); }, message);
}

void
ControlClient::tick(TimePoint now)
{
  Impl& impl = *m_impl;
  if (!impl.options.follow) {
    impl.resend_proposals(now);
    impl.expire_proposals(now);
    return;
  }
  const bool initial = !impl.ready && impl.options.initial_subscription_timeout.count() > 0;
  const Duration timeout =
    initial ? impl.options.initial_subscription_timeout : impl.options.subscription_timeout;
  if (impl.last_subscribe && now - impl.last_source_contact >= timeout) {
    impl.fail_over("silent", now);
  } else if (!impl.last_subscribe) {
    impl.last_source_contact = now;
    impl.subscribe(now);
  } else if (now - *impl.last_subscribe >= impl.subscribe_interval()) {
    ++impl.unconfirmed_requests;
    impl.subscribe(now);
  }
  impl.resend_proposals(now);
  impl.expire_proposals(now);
}

void
ControlClient::unreachable(const std::string& address, TimePoint now)
{
  Impl& impl = *m_impl;
  const bool follows = impl.options.follow && !impl.ready && impl.last_subscribe &&
                       impl.options.control_addresses[impl.source] == address;
  if (follows && now - impl.last_source_contact >= kStartupPatience) {
    impl.fail_over("unreachable", now);
  }
}

void
ControlClient::set_seeds(std::vector<std::string> addresses)
{
  m_impl->seeds = std::move(addresses);
}

void
ControlClient::announce(TimePoint now)
{
  if (m_impl->last_subscribe) {
    m_impl->subscribe(now);
  }
}

bool
ControlClient::ready() const
{
  return m_impl->ready;
}

Duration
ControlClient::state_age(TimePoint now) const
{
  const auto& complete_until = m_impl->complete_until;
  return complete_until ? std::max<Duration>(now - *complete_until, Duration::zero())
                        : Duration::max();
}

const StateMachine&
ControlClient::state() const
{
  return m_impl->state.machine();
}

} // namespace lovagehold
