#include "lovagehold/control_client.h"

#include "lovagehold/replicated_state.h"
#include "lovagehold/request_numbers.h"

#include <algorithm>
#include <random>
#include <set>

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

// Control hosts asked in each round of a search, and rounds after which the interval between them
// no longer doubles.
constexpr unsigned kSearchWidth = 2;
constexpr unsigned kMaxSearchDoublings = 1;

enum class Purpose
{
  Subscription,
  /// Query of a control host that is followed if it is current and the own one is not.
  Search,
  /// Query of the preferred control host, which is followed if it is current.
  Preference,
};

// A request that was sent to a control host.
struct Request
{
  Purpose purpose = Purpose::Subscription;
  std::string address;
  TimePoint sent;
};

// \param lag of the control host when it answered
// \return time before which everything that was acknowledged is in the answer
TimePoint
complete_time(const Request& request, Duration lag)
{
  return request.sent - std::clamp<Duration>(lag, Duration::zero(), kMaxLag);
}

struct PendingProposal
{
  Bytes command;
  ControlClient::ResultHandler handler;
  TimePoint expires;
  TimePoint resend_at;
  /// Address that it was last sent to.
  std::string sent_to;
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
  explicit Impl(ControlClientOptions client_options)
    : options(std::move(client_options))
    , proposal_numbers(options.first_request)
    , request_numbers(options.first_request)
  {
  }

  ControlClientOptions options;
  Send send;
  Applied applied;
  ReplicatedState state;
  bool ready = false;
  RequestNumbers proposal_numbers;
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
  RequestNumbers request_numbers;
  /// The latest requests that are not answered yet.
  std::map<std::uint64_t, Request> requests;
  /// The state includes everything that was acknowledged before this time.
  std::optional<TimePoint> complete_until;
  /// All control hosts, as the followed one last named them.
  std::vector<ControlAddress> members;
  TimePoint next_search_at;
  /// Rounds of queries in this search for another control host; 0: there is no search.
  unsigned search_rounds = 0;
  /// Control hosts asked in this search.
  std::set<std::string> asked;

  // Each request makes the control host send again what may still be in transit. To keep that from
  // saturating a slow link, the interval doubles until the state is confirmed.
  Duration subscribe_interval() const
  {
    const unsigned limit = state_received ? kMaxDoublings : kMaxDoublingsBeforeAnswer;
    return ready ? options.renew_interval
                 : options.subscribe_interval * (1U << std::min(unconfirmed_requests, limit));
  }

  std::uint64_t add_request(Request request)
  {
    if (requests.size() == kMaxRequests) {
      requests.erase(requests.begin());
    }
    const std::uint64_t number = request_numbers.next();
    requests[number] = std::move(request);
    return number;
  }

  std::optional<Request> take_request(std::uint64_t id)
  {
    const auto found = requests.find(id);
    if (found == requests.end()) {
      return std::nullopt;
    }
    Request request = std::move(found->second);
    requests.erase(found);
    return request;
  }

  // An answer to a request shows until when the state is complete, however long the request or the
  // answer took.
  // \return whether the entries may confirm the state: an answer to an earlier process at this
  // address tells of the time before this one started. Versions of the program that don't number
  // their requests answer with 0.
  bool apply_answer(const Entries& entries, TimePoint now)
  {
    const auto request = take_request(entries.answers);
    if (!request || !entries.lag) {
      return request || entries.answers == 0;
    }
    complete_until = std::max(complete_until, std::optional(complete_time(*request, *entries.lag)));
    if (!is_outdated(now)) {
      end_search();
    }
    return true;
  }

  Duration state_age(TimePoint now) const
  {
    return complete_until ? std::max<Duration>(now - *complete_until, Duration::zero())
                          : Duration::max();
  }

  bool is_outdated(TimePoint now) const { return state_age(now) >= options.max_state_age; }

  void end_search()
  {
    search_rounds = 0;
    asked.clear();
  }

  // Asks the preferred control hosts among those that have not been asked yet. More than one,
  // because the source may not be the only one that is lost.
  void search(TimePoint now)
  {
    next_search_at =
      now + options.search_interval * (1U << std::min(search_rounds++, kMaxSearchDoublings));
    for (unsigned i = 0; i < kSearchWidth; ++i) {
      std::vector<ControlAddress> candidates = search_candidates();
      if (candidates.empty()) {
        asked.clear();
        candidates = search_candidates();
      }
      const std::string address =
        select_source(options.address, options.failure_domain, candidates);
      if (!address.empty()) {
        asked.insert(address);
        query(Purpose::Search, address, now);
      }
    }
  }

  // All other control hosts that have not been asked in this search, the seeds among them: all
  // members may have been replaced while this host was disconnected.
  std::vector<ControlAddress> search_candidates() const
  {
    std::vector<ControlAddress> candidates = members;
    for (const std::string& seed : seeds) {
      candidates.push_back({ .address = seed, .failure_domain = "" });
    }
    std::erase_if(candidates, [this](const ControlAddress& candidate) {
      return candidate.address == options.control_addresses[source] ||
             asked.count(candidate.address) > 0;
    });
    return candidates;
  }

  void query(Purpose purpose, const std::string& address, TimePoint now)
  {
    send(address,
         SourceQuery{ .request =
                        add_request({ .purpose = purpose, .address = address, .sent = now }) });
  }

  void handle(const SourceStatus& status, TimePoint now)
  {
    const auto request = take_request(status.answers);
    if (!request || request->purpose == Purpose::Subscription) {
      return;
    }
    const bool is_current = status.applied_index >= state.applied_index() &&
                            now - complete_time(*request, status.lag) < options.max_state_age;
    // The own control host may have answered meanwhile.
    const bool is_preferred = request->purpose == Purpose::Preference;
    const bool is_wanted = search_rounds > 0 || is_preferred;
    if (is_current && is_wanted && request->address != options.control_addresses[source]) {
      end_search();
      next_search_at = now + options.search_interval;
      failback_at = now + kFailbackDelay;
      follow(request->address, is_preferred ? "preferred" : "outdated", now);
    }
  }

  void follow(const std::string& address, const char* reason, TimePoint now)
  {
    std::vector<std::string>& addresses = options.control_addresses;
    const auto found = std::find(addresses.begin(), addresses.end(), address);
    source = static_cast<std::size_t>(found - addresses.begin());
    if (found == addresses.end()) {
      addresses.push_back(address);
    }
    follow_source(reason, now);
  }

  void subscribe(TimePoint now)
  {
    last_subscribe = now;
    const std::string& address = options.control_addresses[source];
    send(
      address,
      Subscribe{ .from_index = state.applied_index() + 1,
                 .confirm = !ready,
                 .snapshot_index = incoming_snapshot.index,
                 .snapshot_offset = incoming_snapshot.state.size(),
                 .presence = options.presence ? options.presence() : std::nullopt,
                 .directory_version = options.directory_version ? options.directory_version() : 0,
                 .accepts_source = !ready && accepts_source,
                 .request = add_request({ .address = address, .sent = now }) });
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
    const std::string current = options.control_addresses[source];
    const std::string preferred = select_source(options.address, options.failure_domain, control);
    members = control;
    options.control_addresses.clear();
    for (const ControlAddress& member : control) {
      options.control_addresses.push_back(member.address);
    }
    const auto found =
      std::find(options.control_addresses.begin(), options.control_addresses.end(), current);
    if (found == options.control_addresses.end()) {
      follow(preferred, "replaced", now);
      return;
    }
    source = static_cast<std::size_t>(found - options.control_addresses.begin());
    if (ready && preferred != current && now >= failback_at) {
      failback_at = now + kFailbackDelay;
      query(Purpose::Preference, preferred, now);
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
    proposal.sent_to = proposal_target;
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
      if (!reply.leader_address.empty() && reply.leader_address != found->second.sent_to) {
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
    const bool confirmed = apply_answer(entries, now) && entries.confirmed;
    const bool first_confirmation = confirmed && !ready;
    ready = ready || confirmed;
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
  : m_impl(std::make_unique<Impl>(std::move(options)))
{
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
  const std::uint64_t id = m_impl->proposal_numbers.next();
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
  const bool silent = !impl.ready && impl.last_subscribe &&
                      now - impl.last_source_contact >= impl.options.subscription_timeout;
  if (silent) {
    impl.fail_over("silent", now);
  } else if (!impl.last_subscribe) {
    impl.last_source_contact = now;
    impl.subscribe(now);
  } else if (now - *impl.last_subscribe >= impl.subscribe_interval()) {
    ++impl.unconfirmed_requests;
    impl.subscribe(now);
  }
  if (impl.ready && impl.is_outdated(now) && now >= impl.next_search_at) {
    impl.search(now);
  }
  impl.resend_proposals(now);
  impl.expire_proposals(now);
}

TimePoint
ControlClient::next_tick() const
{
  const Impl& impl = *m_impl;
  const TimePoint outdated_at =
    impl.complete_until ? *impl.complete_until + impl.options.max_state_age : TimePoint::min();
  return std::min(impl.last_subscribe.value_or(TimePoint::min()) + impl.subscribe_interval(),
                  std::max(outdated_at, impl.next_search_at));
}

void
ControlClient::unreachable(const std::string& address, TimePoint now)
{
  Impl& impl = *m_impl;
  const bool follows = impl.options.follow && impl.last_subscribe &&
                       impl.options.control_addresses[impl.source] == address;
  if (!follows) {
    return;
  }
  if (impl.ready && now >= impl.next_search_at) {
    impl.search(now);
  } else if (!impl.ready && now - impl.last_source_contact >= kStartupPatience) {
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
  return m_impl->state_age(now);
}

const StateMachine&
ControlClient::state() const
{
  return m_impl->state.machine();
}

} // namespace lovagehold
