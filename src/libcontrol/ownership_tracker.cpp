#include "lovagehold/ownership_tracker.h"

#include "lovagehold/home_selector.h"

#include <algorithm>

namespace lovagehold {

namespace {

// A reply to an older heartbeat would grant a lease that has already expired.
constexpr std::size_t kMaxSentHeartbeats = 8;

bool
outweighs(std::uint64_t weight, const HostId& host, std::uint64_t other_weight, const HostId& other)
{
  return weight != other_weight ? weight > other_weight : host < other;
}

} // namespace

OwnershipTracker::OwnershipTracker(OwnershipOptions options)
  : m_options(std::move(options))
  , m_sequence(m_options.incarnation)
{
}

std::optional<Heartbeat>
OwnershipTracker::tick(TimePoint now)
{
  update_shares(now);
  const Duration interval =
    m_stable_view < m_view ? m_options.handover_interval : m_options.heartbeat_interval;
  const bool due =
    !m_last_heartbeat || m_sent_view != m_view || now - *m_last_heartbeat >= interval;
  if (!due || !m_member) {
    return std::nullopt;
  }
  m_last_heartbeat = now;
  m_sent_view = m_view;
  m_sent_heartbeats.push_back({ ++m_sequence, now });
  if (m_sent_heartbeats.size() > kMaxSentHeartbeats) {
    m_sent_heartbeats.pop_front();
  }
  return Heartbeat{ .host = m_options.self,
                    .incarnation = m_options.incarnation,
                    .sequence = m_sequence,
                    .view = m_view,
                    .stable_view = m_stable_view };
}

void
OwnershipTracker::receive(const HeartbeatReply& reply, TimePoint now)
{
  const auto sent =
    std::find_if(m_sent_heartbeats.begin(),
                 m_sent_heartbeats.end(),
                 [&](const SentHeartbeat& entry) { return entry.sequence == reply.sequence; });
  if (sent == m_sent_heartbeats.end() || reply.lease.count() == 0) {
    return;
  }
  update_shares(now);
  const TimePoint lease_start = m_options.lease_from_send ? sent->time : now;
  const TimePoint until =
    lease_start + std::chrono::duration_cast<Duration>(reply.lease * (1 - m_options.clock_drift));
  m_lease_until = m_lease_until ? std::max(*m_lease_until, until) : until;
  m_stable_view = std::max(m_stable_view, reply.stable_view);
  update_shares(now);
}

void
OwnershipTracker::set_membership(const MembershipView& membership, TimePoint now)
{
  if (membership.view <= m_view) {
    return;
  }
  update_shares(now);
  m_view = membership.view;
  const bool was_member = m_member;
  update_own_membership(membership);
  update_predecessors(membership, now);
  update_owners(membership);
  for (const ServiceName& name : m_owned) {
    // While this host was not a member, another host may have owned the service, and its handover
    // did not wait for an acknowledgement from this host.
    if (m_member && !was_member) {
      m_services[name].start_view = m_view;
    }
    find_predecessors(name, m_services[name]);
  }
  update_shares(now);
}

void
OwnershipTracker::set_services(const std::vector<ServiceName>& services, TimePoint now)
{
  const std::set<ServiceName> names(services.begin(), services.end());
  for (auto entry = m_services.begin(); entry != m_services.end();) {
    if (names.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    set_share(entry->first, entry->second, SlotShare::None);
    m_owned.erase(entry->first);
    entry = m_services.erase(entry);
  }
  for (const ServiceName& name : names) {
    const auto [found, added] = m_services.try_emplace(name);
    if (added) {
      select_owner_of(name, found->second);
      find_predecessors(name, found->second);
    }
  }
  update_shares(now);
}

void
OwnershipTracker::release(TimePoint now)
{
  m_released = true;
  update_shares(now);
}

SlotShare
OwnershipTracker::share(const ServiceName& service, TimePoint now) const
{
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return SlotShare::None;
  }
  return limit_share(found->second.share, { lease_until(), isolation_until() }, now);
}

std::vector<ShareChange>
OwnershipTracker::take_changes()
{
  std::vector<ShareChange> changes;
  for (const ServiceName& name : m_changed) {
    const auto found = m_services.find(name);
    changes.push_back({ name, found == m_services.end() ? SlotShare::None : found->second.share });
  }
  m_changed.clear();
  return changes;
}

TimePoint
OwnershipTracker::lease_until() const
{
  return m_lease_until.value_or(TimePoint::min());
}

TimePoint
OwnershipTracker::isolation_until() const
{
  return m_lease_until ? *m_lease_until + m_options.isolation_limit : TimePoint::min();
}

bool
OwnershipTracker::must_join() const
{
  return !m_member && !m_released;
}

std::uint64_t
OwnershipTracker::incarnation() const
{
  return m_options.incarnation;
}

std::size_t
OwnershipTracker::owned_count() const
{
  return m_owned.size();
}

std::uint64_t
OwnershipTracker::stable_view() const
{
  return m_stable_view;
}

bool
OwnershipTracker::lease_valid(TimePoint now) const
{
  return m_lease_until && now < *m_lease_until;
}

bool
OwnershipTracker::predecessor_may_dispatch(const Service& service, TimePoint now) const
{
  return std::any_of(
    service.predecessors.begin(), service.predecessors.end(), [&](const HostId& id) {
      const auto found = m_departed.find(id);
      return found != m_departed.end() && now < found->second.isolation_ends;
    });
}

SlotShare
OwnershipTracker::compute_share(const Service& service, TimePoint now) const
{
  if (!m_member || m_released || service.owner != m_options.self) {
    return SlotShare::None;
  }
  if (!lease_valid(now)) {
    const bool was_full = service.share == SlotShare::Isolated ||
                          (!m_lease_expired && service.share == SlotShare::Full);
    return was_full && now < isolation_until() ? SlotShare::Isolated : SlotShare::None;
  }
  if (m_options.await_stable_view && m_stable_view < service.start_view) {
    return SlotShare::None;
  }
  const bool reduced = m_options.await_predecessors && predecessor_may_dispatch(service, now);
  return reduced ? SlotShare::Reduced : SlotShare::Full;
}

void
OwnershipTracker::update_shares(TimePoint now)
{
  for (const ServiceName& name : m_owned) {
    Service& service = m_services[name];
    set_share(name, service, compute_share(service, now));
  }
  m_lease_expired = !lease_valid(now);
}

void
OwnershipTracker::set_share(const ServiceName& name, Service& service, SlotShare share)
{
  if (service.share != share) {
    service.share = share;
    m_changed.insert(name);
  }
}

void
OwnershipTracker::end_session(std::uint64_t ended_incarnation)
{
  m_member = false;
  m_options.incarnation = std::max(m_options.incarnation, ended_incarnation) + 1;
  m_lease_until.reset();
  m_lease_expired = true;
  m_sent_heartbeats.clear();
  for (const ServiceName& name : m_owned) {
    set_share(name, m_services[name], SlotShare::None);
    // The next incarnation has to become the owner again, with a new start_view.
    m_services[name].owner.clear();
    m_services[name].owner_weight = 0;
  }
  m_owned.clear();
}

void
OwnershipTracker::update_own_membership(const MembershipView& membership)
{
  const auto self =
    std::find_if(membership.members.begin(),
                 membership.members.end(),
                 [this](const HostMember& member) { return member.host.id == m_options.self; });
  if (self != membership.members.end()) {
    if (self->host.incarnation == m_options.incarnation) {
      m_member = true;
    } else if (self->host.incarnation > m_options.incarnation) {
      // Incarnations are taken from the system clock, which has gone back since an earlier start.
      // The next join needs a larger incarnation.
      end_session(self->host.incarnation);
    }
    return;
  }
  const auto own_departure =
    std::find_if(membership.unreleased.begin(),
                 membership.unreleased.end(),
                 [this](const DepartedHost& host) { return host.id == m_options.self; });
  const bool session_ended = own_departure != membership.unreleased.end() &&
                             own_departure->incarnation >= m_options.incarnation;
  if (m_member || session_ended) {
    end_session(own_departure == membership.unreleased.end() ? 0 : own_departure->incarnation);
  }
}

void
OwnershipTracker::update_predecessors(const MembershipView& membership, TimePoint now)
{
  // The departed host measures its isolation limit with a clock that may be slow, this host with
  // one that may be fast.
  const double margin = (1 + m_options.clock_drift) / (1 - m_options.clock_drift);
  const TimePoint isolation_ends =
    now + std::chrono::duration_cast<Duration>(m_options.isolation_limit * margin);
  std::map<HostId, Predecessor> departed;
  for (const DepartedHost& host : membership.unreleased) {
    const auto known = m_departed.find(host.id);
    const bool same_incarnation =
      known != m_departed.end() && known->second.host.incarnation == host.incarnation;
    departed[host.id] = same_incarnation ? known->second : Predecessor{ host, isolation_ends };
  }
  m_departed = std::move(departed);
}

void
OwnershipTracker::update_owners(const MembershipView& membership)
{
  std::map<HostId, std::uint64_t> hosts;
  for (const HostMember& member : membership.members) {
    if (!member.host.caller_address.empty()) {
      hosts[member.host.id] = member.host.incarnation;
    }
  }
  std::vector<HostId> joined;
  for (const auto& [id, incarnation] : hosts) {
    const auto known = m_hosts.find(id);
    if (known == m_hosts.end() || known->second != incarnation) {
      joined.push_back(id);
    }
  }
  m_hosts = std::move(hosts);
  // With rendezvous hashing only the services of hosts that joined or left change their owner.
  for (auto& [name, service] : m_services) {
    if (service.owner.empty() || m_hosts.count(service.owner) == 0) {
      select_owner_of(name, service);
      continue;
    }
    for (const HostId& id : joined) {
      consider_owner(name, service, id);
    }
  }
}

void
OwnershipTracker::select_owner_of(const ServiceName& name, Service& service)
{
  HostId best;
  std::uint64_t best_weight = 0;
  for (const auto& [id, incarnation] : m_hosts) {
    const std::uint64_t weight = rendezvous_weight(name, id);
    if (best.empty() || outweighs(weight, id, best_weight, best)) {
      best = id;
      best_weight = weight;
    }
  }
  set_owner(name, service, best, best_weight);
}

void
OwnershipTracker::consider_owner(const ServiceName& name, Service& service, const HostId& host)
{
  const std::uint64_t weight = rendezvous_weight(name, host);
  if (host != service.owner && outweighs(weight, host, service.owner_weight, service.owner)) {
    set_owner(name, service, host, weight);
  }
}

void
OwnershipTracker::set_owner(const ServiceName& name,
                            Service& service,
                            const HostId& host,
                            std::uint64_t weight)
{
  service.owner_weight = weight;
  if (service.owner == host) {
    return;
  }
  service.owner = host;
  if (host == m_options.self) {
    service.start_view = m_view;
    m_owned.insert(name);
  } else if (m_owned.erase(name) > 0) {
    set_share(name, service, SlotShare::None);
  }
}

void
OwnershipTracker::find_predecessors(const ServiceName& name, Service& service) const
{
  service.predecessors.clear();
  for (const auto& entry : m_departed) {
    const HostId& id = entry.first;
    const std::uint64_t weight = rendezvous_weight(name, id);
    const std::vector<HostId>& known_members = entry.second.host.known_members;
    const bool outweighed =
      std::any_of(known_members.begin(), known_members.end(), [&](const HostId& member) {
        return outweighs(rendezvous_weight(name, member), member, weight, id);
      });
    if (!outweighed) {
      service.predecessors.push_back(id);
    }
  }
}

} // namespace lovagehold
