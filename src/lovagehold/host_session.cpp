#include "host_session.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Hosts per service whose addresses callers get: the owner and its successors.
constexpr std::size_t kHomeCount = 3;
// Two heartbeat intervals.
constexpr std::chrono::milliseconds kReplyTimeout{ 300 };

} // namespace

HostSession::HostSession(HostSessionOptions options,
                         EntryService& entry,
                         Send send,
                         Propose propose,
                         EventLog& log)
  : m_options(std::move(options))
  , m_entry(entry)
  , m_send(std::move(send))
  , m_propose(std::move(propose))
  , m_log(log)
  , m_tracker({ .self = m_options.self.id, .incarnation = m_options.self.incarnation })
  , m_homes(kHomeCount)
{
  if (!m_options.control_addresses.empty()) {
    m_control_address = m_options.control_addresses.front();
  }
}

void
HostSession::applied(const StateMachine& state, TimePoint now)
{
  if (state.routes_index() == m_routes_index && m_routes_index != 0) {
    return;
  }
  m_routes_index = state.routes_index();
  m_routes_stale = true;
  const auto configuration = state.configuration();
  if (configuration->revision != m_revision) {
    m_revision = configuration->revision;
    m_log.info("configuration_in_force", { { "revision", std::to_string(m_revision) } });
    std::vector<ServiceName> names;
    for (const auto& [name, declaration] : configuration->services) {
      names.push_back(name);
    }
    m_tracker.set_services(names, now);
  }
  if (state.view() != m_view) {
    m_view = state.view();
    const MembershipView membership = state.membership();
    log_membership_changes(membership);
    m_homes.set_hosts(state.hosts());
    m_tracker.set_membership(membership, now);
    // Stops dispatching for lost services before the next heartbeat acknowledges the view.
    publish_shares(now);
    rebuild_routes(state, now);
    tick(state, now);
  }
}

void
HostSession::receive(const HeartbeatReply& reply, TimePoint now)
{
  m_last_reply = now;
  if (!reply.leader.empty()) {
    m_control_address = reply.leader;
    return;
  }
  m_tracker.receive(reply, now);
  publish_shares(now);
}

void
HostSession::tick(const StateMachine& state, TimePoint now)
{
  if (m_tracker.must_join() && !m_leaving) {
    join(now);
  }
  const auto heartbeat = m_tracker.tick(now);
  publish_shares(now);
  if (heartbeat) {
    select_control_address(now);
    m_send(m_control_address, *heartbeat);
  }
  if (m_routes_stale && now >= m_next_rebuild) {
    rebuild_routes(state, now);
  }
}

void
HostSession::leave(std::function<void()> done, TimePoint now)
{
  m_leaving = true;
  m_tracker.release(now);
  publish_shares(now);
  m_propose(
    LeaveHost{ .id = m_options.self.id, .incarnation = m_tracker.incarnation(), .released = true },
    [done = std::move(done)](const Result<ApplyResult>&) { done(); });
}

const OwnershipTracker&
HostSession::tracker() const
{
  return m_tracker;
}

void
HostSession::join(TimePoint)
{
  if (m_join_pending) {
    return;
  }
  m_join_pending = true;
  HostInfo self = m_options.self;
  self.incarnation = m_tracker.incarnation();
  m_propose(JoinHost{ self }, [this](const Result<ApplyResult>&) { m_join_pending = false; });
}

void
HostSession::select_control_address(TimePoint now)
{
  if (now - m_last_reply < kReplyTimeout || m_options.control_addresses.empty()) {
    return;
  }
  m_last_reply = now;
  m_next_address = (m_next_address + 1) % m_options.control_addresses.size();
  m_control_address = m_options.control_addresses[m_next_address];
}

void
HostSession::publish_shares(TimePoint now)
{
  const ShareLimits limits{ .lease_until = m_tracker.lease_until(),
                            .isolation_until = m_tracker.isolation_until() };
  const bool held = now < limits.lease_until;
  if (held != m_lease_held) {
    m_lease_held = held;
    if (held) {
      m_log.info("lease_held", { { "view", std::to_string(m_view) } });
    } else {
      m_log.warn("lease_lapsed", { { "view", std::to_string(m_view) } });
    }
  }
  std::vector<std::pair<ServiceName, SlotShare>> shares;
  for (const ShareChange& change : m_tracker.take_changes()) {
    shares.emplace_back(change.service, change.share);
    m_log.info("share_changed",
               { { "service", change.service },
                 { "share", to_string(change.share) },
                 { "view", std::to_string(m_view) },
                 { "stable_view", std::to_string(m_tracker.stable_view()) } });
  }
  m_entry.set_shares(shares, limits, now);
}

void
HostSession::rebuild_routes(const StateMachine& state, TimePoint now)
{
  const TimePoint started = Clock::now();
  auto view = std::make_shared<RoutingView>();
  view->self = m_options.self.id;
  const auto configuration = state.configuration();
  for (const auto& [name, declaration] : configuration->services) {
    view->routes[name] = { .declaration = declaration,
                           .homes = m_homes.homes(name),
                           .servers = state.servers(name),
                           .share = m_tracker.share(name, now) };
  }
  m_entry.update(std::move(view), now);
  m_routes_stale = false;
  const Duration cost = Clock::now() - started;
  m_next_rebuild =
    now + std::max<Duration>(m_options.rebuild_interval,
                             std::chrono::duration_cast<Duration>(cost / m_options.rebuild_load));
}

void
HostSession::log_membership_changes(const MembershipView& membership)
{
  const std::string view = std::to_string(membership.view);
  std::map<HostId, std::uint64_t> hosts;
  for (const HostMember& member : membership.members) {
    hosts[member.host.id] = member.host.incarnation;
    const auto known = m_known_hosts.find(member.host.id);
    if (known == m_known_hosts.end() || known->second != member.host.incarnation) {
      m_log.info("host_joined",
                 { { "peer", member.host.id },
                   { "incarnation", std::to_string(member.host.incarnation) },
                   { "view", view } });
    }
  }
  for (const auto& [id, incarnation] : m_known_hosts) {
    if (hosts.count(id) == 0) {
      m_log.info("host_left", { { "peer", id }, { "view", view } });
    }
  }
  m_known_hosts = std::move(hosts);
}

} // namespace lovagehold
