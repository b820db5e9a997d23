#include "lovagehold/control_client.h"

#include "lovagehold/replicated_state.h"

#include <algorithm>
#include <random>

namespace lovagehold {

namespace {

// 50 ms become 0.8 s while an answer arrives, and 0.1 s while there is none: the control host may
// just have started.
constexpr unsigned kMaxDoublings = 4;
constexpr unsigned kMaxSilentDoublings = 1;
// A control host that fell silent is followed again after this time.
constexpr std::chrono::seconds kStayAfterLoss{ 3 };

struct Pending
{
  Bytes command;
  ControlClient::Answer answer;
  TimePoint expires;
  TimePoint resend_at;
};

std::uint64_t
random_client()
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
  std::map<std::uint64_t, Pending> pending;
  /// Where proposals go: the leader as far as known.
  std::string proposal_target;
  std::size_t next_target = 0;
  std::vector<std::string> seeds;
  /// Position of the control host that entries come from.
  std::size_t source = 0;
  TimePoint source_heard;
  std::optional<TimePoint> last_subscribe;
  /// Until then the nearest control host is not tried again.
  TimePoint stay_until;
  /// Subscriptions sent before the state was confirmed.
  unsigned unconfirmed_tries = 0;
  /// A part of the state has arrived.
  bool heard = false;
  SnapshotTransfer incoming;

  // Asking again repeats everything that is on its way, which must not fill a slow link: the
  // interval doubles until the state is confirmed.
  Duration subscribe_interval() const
  {
    const Duration interval = options.subscribe_interval;
    const unsigned limit = heard ? kMaxDoublings : kMaxSilentDoublings;
    return ready ? interval : interval * (1U << std::min(unconfirmed_tries, limit));
  }

  void subscribe(TimePoint now)
  {
    last_subscribe = now;
    send(options.control_addresses[source],
         Subscribe{ .from_index = state.applied_index() + 1,
                    .confirm = !ready,
                    .snapshot_index = incoming.index,
                    .snapshot_offset = incoming.state.size(),
                    .presence = options.presence ? options.presence() : std::nullopt,
                    .directory_version =
                      options.directory_version ? options.directory_version() : 0 });
  }

  // Control hosts are replaced over time; a host in the own failure domain saves traffic between
  // failure domains.
  void learn_control_hosts(const std::vector<ControlAddress>& control, TimePoint now)
  {
    if (control.empty()) {
      return;
    }
    const std::string followed = options.control_addresses[source];
    options.control_addresses.clear();
    std::size_t next = control.size();
    std::optional<std::size_t> near;
    for (std::size_t i = 0; i < control.size(); ++i) {
      options.control_addresses.push_back(control[i].address);
      next = control[i].address == followed ? i : next;
      if (control[i].failure_domain == options.failure_domain && !near) {
        near = i;
      }
    }
    const bool move =
      next == control.size() ||
      (near && control[next].failure_domain != options.failure_domain && now >= stay_until);
    source = move ? near.value_or(0) : next;
    if (move) {
      source_heard = now;
      incoming = {};
      subscribe(now);
    }
  }

  // All known hosts may have been replaced while this one was cut off.
  void turn_to_next_source()
  {
    std::vector<std::string>& known = options.control_addresses;
    if (++source < known.size()) {
      return;
    }
    for (const std::string& seed : seeds) {
      if (std::find(known.begin(), known.end(), seed) == known.end()) {
        known.push_back(seed);
      }
    }
    source = source < known.size() ? source : 0;
  }

  void send_proposal(std::uint64_t id, Pending& proposal, TimePoint now)
  {
    proposal.resend_at = now + options.resend_interval;
    send(proposal_target,
         Propose{ .client = options.client,
                  .id = id,
                  .lowest_pending = pending.begin()->first,
                  .command = proposal.command });
  }

  void try_next_target()
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
    const Answer answer = std::move(found->second.answer);
    pending.erase(found);
    answer(reply.result);
  }

  void handle(const Entries& entries, TimePoint now)
  {
    source_heard = now;
    heard = true;
    const std::uint64_t before = state.applied_index();
    if (entries.first_index > before + 1) {
      subscribe(now);
      return;
    }
    std::uint64_t index = entries.first_index;
    for (const Bytes& payload : entries.payloads) {
      state.apply(index++, payload);
    }
    const bool first = entries.confirmed && !ready;
    ready = ready || entries.confirmed;
    if (ready && (first || state.applied_index() > before)) {
      applied(state.machine());
    }
    if (entries.entry_hosts > 0 && options.on_entry_hosts) {
      options.on_entry_hosts(entries.entry_hosts);
    }
    learn_control_hosts(entries.control, now);
  }

  void handle(const SnapshotTransfer& piece, TimePoint now)
  {
    source_heard = now;
    heard = true;
    if (piece.index <= state.applied_index()) {
      return;
    }
    if (piece.index != incoming.index || piece.total != incoming.total) {
      incoming = { .index = piece.index, .total = piece.total };
    }
    if (piece.offset != incoming.state.size()) {
      return;
    }
    incoming.state.insert(incoming.state.end(), piece.state.begin(), piece.state.end());
    if (incoming.state.size() >= incoming.total) {
      const Result<void> restored = state.restore(std::exchange(incoming, {}).state);
      if (restored.has_value() && ready) {
        applied(state.machine());
      }
    }
    subscribe(now);
  }

  void resend(TimePoint now)
  {
    bool tried = false;
    for (auto& [id, proposal] : pending) {
      if (proposal.resend_at <= now && proposal.expires > now) {
        if (!std::exchange(tried, true)) {
          try_next_target();
        }
        send_proposal(id, proposal, now);
      }
    }
  }

  void expire(TimePoint now)
  {
    std::vector<Answer> answers;
    std::erase_if(pending, [&](auto& entry) {
      if (entry.second.expires > now) {
        return false;
      }
      answers.push_back(std::move(entry.second.answer));
      return true;
    });
    for (const Answer& answer : answers) {
      answer(Error{ .kind = ErrorKind::Timeout,
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
    m_impl->options.client = random_client();
  }
  m_impl->try_next_target();
}

ControlClient::~ControlClient() = default;

void
ControlClient::propose(const Command& command, Answer answer, TimePoint now)
{
  const std::uint64_t id = m_impl->next_id++;
  Pending& proposal = m_impl->pending[id];
  proposal = { .command = encode(command),
               .answer = std::move(answer),
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
    impl.resend(now);
    impl.expire(now);
    return;
  }
  const bool first = !impl.ready && impl.options.initial_subscription_timeout.count() > 0;
  const Duration limit =
    first ? impl.options.initial_subscription_timeout : impl.options.subscription_timeout;
  if (impl.last_subscribe && now - impl.source_heard >= limit) {
    impl.turn_to_next_source();
    impl.stay_until = now + kStayAfterLoss;
    impl.source_heard = now;
    impl.incoming = {};
    impl.subscribe(now);
  } else if (!impl.last_subscribe) {
    impl.source_heard = now;
    impl.subscribe(now);
  } else if (now - *impl.last_subscribe >= impl.subscribe_interval()) {
    ++impl.unconfirmed_tries;
    impl.subscribe(now);
  }
  impl.resend(now);
  impl.expire(now);
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

const StateMachine&
ControlClient::state() const
{
  return m_impl->state.machine();
}

} // namespace lovagehold
