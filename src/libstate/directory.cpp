#include "directory.h"

#include "apply_results.h"
#include "json_fields.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagehold {

namespace {

using nlohmann::json;

// Services whose last change is known; names of services come from servers, so there may be many.
constexpr std::size_t kKeptServiceChanges = 20'000;

ApplyResult
reject_outdated(const std::string& what)
{
  return reject({ .kind = ErrorKind::Conflict,
                  .message = "a later incarnation of " + what + " is known",
                  .remedy = "restart the process so that it announces a larger incarnation" });
}

} // namespace

template<class Key>
void
Directory::Departures<Key>::add(const Key& key, const Departed& departed, std::size_t limit)
{
  remove(key);
  by_key[key] = departed;
  by_index[departed.index] = key;
  while (by_index.size() > limit) {
    by_key.erase(by_index.begin()->second);
    by_index.erase(by_index.begin());
  }
}

template<class Key>
void
Directory::Departures<Key>::remove(const Key& key)
{
  const auto found = by_key.find(key);
  if (found != by_key.end()) {
    by_index.erase(found->second.index);
    by_key.erase(found);
  }
}

template<class Key>
const Directory::Departed*
Directory::Departures<Key>::find(const Key& key) const
{
  const auto found = by_key.find(key);
  return found == by_key.end() ? nullptr : &found->second;
}

template<class Key>
Directory::Departed*
Directory::Departures<Key>::find(const Key& key)
{
  const auto found = by_key.find(key);
  return found == by_key.end() ? nullptr : &found->second;
}

Directory::Directory(const StateMachineOptions& options)
  : m_departed_limit(options.departed_limit)
  , m_unknown_limit(options.unknown_departed_limit)
{
}

bool
Directory::has_left(const ServiceName& service, const ServerId& id, std::uint64_t incarnation) const
{
  // Servers that announce no incarnation (0) may rejoin, because a delayed announcement can't be
  // told from a new one. A server that does not renew its registration then gets no requests.
  if (incarnation == 0) {
    return false;
  }
  const auto remembers = [&](const Departures<ServerKey>& departures, const ServerKey& key) {
    const Departed* departed = departures.find(key);
    return departed != nullptr && incarnation <= departed->incarnation;
  };
  const ServerKey in_service{ service, id };
  const ServerKey in_any_service{ "", id };
  return remembers(m_left_servers, in_service) || remembers(m_left_servers, in_any_service) ||
         remembers(m_left_unknown, in_service) || remembers(m_left_unknown, in_any_service);
}

ApplyResult
Directory::join(const ServerInfo& server, std::uint64_t index)
{
  const auto members = m_servers.find(server.service);
  const bool newer_known = members != m_servers.end() && members->second.count(server.id) > 0 &&
                           members->second.at(server.id).incarnation > server.incarnation;
  if (newer_known || has_left(server.service, server.id, server.incarnation)) {
    return reject_outdated("server " + server.id);
  }
  // A delayed join of the same incarnation must not undo a later warm-up.
  const bool renewal_known = members != m_servers.end() && members->second.count(server.id) > 0 &&
                             members->second.at(server.id).incarnation == server.incarnation &&
                             members->second.at(server.id).warmup_renewals > server.warmup_renewals;
  if (renewal_known) {
    return accept();
  }
  // Departures of earlier incarnations stay remembered: their delayed announcements may arrive
  // after the lease of this one has expired.
  m_servers[server.service][server.id] = server;
  mark_changed(server.service, index);
  return accept();
}

ApplyResult
Directory::leave(const LeaveServer& leave, std::uint64_t index)
{
  // The largest value stands for whichever incarnation has joined, so it must not be remembered.
  std::uint64_t departed =
    leave.incarnation == std::numeric_limits<std::uint64_t>::max() ? 0 : leave.incarnation;
  bool known = false;
  for (auto members = m_servers.begin(); members != m_servers.end();) {
    const bool in_scope = leave.service.empty() || members->first == leave.service;
    const auto found = in_scope ? members->second.find(leave.id) : members->second.end();
    if (found != members->second.end()) {
      known = true;
      if (found->second.incarnation <= leave.incarnation) {
        departed = std::max(departed, found->second.incarnation);
        members->second.erase(found);
        mark_changed(members->first, index);
      }
    }
    members = members->second.empty() ? m_servers.erase(members) : std::next(members);
  }
  if (!leave.expired && departed != 0) {
    remember({ leave.service, leave.id }, departed, known, index);
  }
  return accept();
}

// The leave of a server may be applied before its join, which must then be rejected. Departures of
// servers that have not joined are kept apart, because anyone can send any number of them.
void
Directory::remember(const ServerKey& key,
                    std::uint64_t incarnation,
                    bool known,
                    std::uint64_t index)
{
  Departures<ServerKey>& departures = known ? m_left_servers : m_left_unknown;
  const Departed* earlier = std::as_const(departures).find(key);
  const std::uint64_t latest = std::max(incarnation, earlier ? earlier->incarnation : 0);
  departures.add(
    key, { .incarnation = latest, .index = index }, known ? m_departed_limit : m_unknown_limit);
}

ApplyResult
Directory::join(const HostInfo& host, std::uint64_t index, bool& new_incarnation)
{
  const auto known = m_hosts.find(host.id);
  if (known != m_hosts.end() && known->second == host) {
    return accept();
  }
  const Departed* departed = std::as_const(m_left_hosts).find(host.id);
  // A delayed join of an ended session must not be taken for a restart of the host.
  if ((known != m_hosts.end() && known->second.incarnation >= host.incarnation) ||
      (departed != nullptr && departed->incarnation >= host.incarnation)) {
    return reject_outdated("host " + host.id);
  }
  new_incarnation = true;
  m_hosts[host.id] = host;
  m_joined_views[host.id] = index;
  m_left_hosts.remove(host.id);
  m_view = index;
  return accept();
}

std::vector<HostId>
Directory::known_members_of(const LeaveHost& leave, std::uint64_t joined_view) const
{
  std::vector<HostId> known_members;
  const std::uint64_t known_view = std::max(leave.acknowledged, joined_view);
  for (const auto& [id, joined] : m_joined_views) {
    if (id != leave.id && joined <= known_view && !m_hosts.at(id).caller_address.empty()) {
      known_members.push_back(id);
    }
  }
  return known_members;
}

ApplyResult
Directory::leave(const LeaveHost& leave, std::uint64_t index, bool& has_left)
{
  Departed* departed = m_left_hosts.find(leave.id);
  if (departed != nullptr && departed->incarnation == leave.incarnation) {
    if (leave.released && !departed->released) {
      departed->released = true;
      departed->known_members.clear();
      m_view = index;
    }
    return accept();
  }
  const auto found = m_hosts.find(leave.id);
  if (found == m_hosts.end()) {
    remember_early_leave(leave, departed, index);
    return accept();
  }
  if (found->second.incarnation > leave.incarnation) {
    return accept();
  }
  Departed entry{ .incarnation = leave.incarnation, .released = leave.released, .index = index };
  if (!leave.released) {
    entry.known_members = known_members_of(leave, m_joined_views.at(leave.id));
  }
  m_left_hosts.add(leave.id, entry, m_departed_limit);
  m_hosts.erase(found);
  m_joined_views.erase(leave.id);
  m_view = index;
  has_left = true;
  return accept();
}

// The leave of a host that has not joined: its join may still be on its way and must not make it a
// member for good. Like a join of a newer incarnation, it shows that the earlier one has ended.
void
Directory::remember_early_leave(const LeaveHost& leave, Departed* departed, std::uint64_t index)
{
  if (departed == nullptr) {
    m_left_hosts.add(leave.id,
                     { .incarnation = leave.incarnation, .released = true, .index = index },
                     m_departed_limit);
  } else if (departed->incarnation < leave.incarnation) {
    departed->incarnation = leave.incarnation;
    if (leave.released && !departed->released) {
      departed->released = true;
      departed->known_members.clear();
      m_view = index;
    }
  }
}

MembershipView
Directory::membership() const
{
  MembershipView membership{ .view = m_view };
  for (const auto& [id, host] : m_hosts) {
    membership.members.push_back({ host, m_joined_views.at(id) });
  }
  for (const auto& [id, departed] : m_left_hosts.by_key) {
    if (!departed.released) {
      membership.unreleased.push_back({ id, departed.incarnation, departed.known_members });
    }
  }
  return membership;
}

std::vector<ServerInfo>
Directory::servers(const ServiceName& service) const
{
  std::vector<ServerInfo> found;
  const auto service_servers = m_servers.find(service);
  if (service_servers != m_servers.end()) {
    for (const auto& [id, server] : service_servers->second) {
      found.push_back(server);
    }
  }
  return found;
}

std::vector<ServerInfo>
Directory::all_servers() const
{
  std::vector<ServerInfo> all;
  for (const auto& [service, service_servers] : m_servers) {
    for (const auto& [id, server] : service_servers) {
      all.push_back(server);
    }
  }
  return all;
}

void
Directory::mark_changed(const ServiceName& service, std::uint64_t index)
{
  std::uint64_t& changed_at = m_changed_at[service];
  m_changes.erase({ changed_at, service });
  changed_at = index;
  m_changes.insert({ index, service });
  if (m_changes.size() > kKeptServiceChanges) {
    m_known_since = m_changes.begin()->first;
    m_changed_at.erase(m_changes.begin()->second);
    m_changes.erase(m_changes.begin());
  }
}

std::optional<std::set<ServiceName>>
Directory::changed_since(std::uint64_t index) const
{
  if (index < m_known_since) {
    return std::nullopt;
  }
  std::set<ServiceName> services;
  for (auto change = m_changes.lower_bound({ index + 1, ServiceName() }); change != m_changes.end();
       ++change) {
    services.insert(change->second);
  }
  return services;
}

std::uint64_t
Directory::servers_index() const
{
  return m_changes.empty() ? m_known_since : m_changes.rbegin()->first;
}

std::vector<HostInfo>
Directory::hosts() const
{
  std::vector<HostInfo> live;
  for (const auto& [id, host] : m_hosts) {
    live.push_back(host);
  }
  return live;
}

bool
Directory::may_claim(const HostId& id, std::uint64_t incarnation) const
{
  const auto joined = m_hosts.find(id);
  if (joined != m_hosts.end()) {
    return incarnation == 0 || incarnation >= joined->second.incarnation;
  }
  return m_left_hosts.find(id) == nullptr;
}

json
Directory::snapshot() const
{
  json left_hosts = json::array();
  for (const auto& [id, departed] : m_left_hosts.by_key) {
    left_hosts.push_back(
      { id, departed.incarnation, departed.released, departed.index, departed.known_members });
  }
  const auto list = [](const Departures<ServerKey>& departures) {
    json listed = json::array();
    for (const auto& [key, departed] : departures.by_key) {
      listed.push_back({ key.first, key.second, departed.incarnation, departed.index });
    }
    return listed;
  };
  return { { "view", m_view },
           { "servers", all_servers() },
           { "hosts", hosts() },
           { "joined", m_joined_views },
           { "left_hosts", std::move(left_hosts) },
           { "left_servers", list(m_left_servers) },
           { "left_unknown", list(m_left_unknown) } };
}

void
Directory::restore(const json& fields, std::uint64_t index)
{
  m_known_since = index;
  fields.at("view").get_to(m_view);
  for (const auto& server : fields.at("servers").get<std::vector<ServerInfo>>()) {
    m_servers[server.service][server.id] = server;
  }
  for (const auto& host : fields.at("hosts").get<std::vector<HostInfo>>()) {
    m_hosts[host.id] = host;
  }
  fields.at("joined").get_to(m_joined_views);
  for (const json& host_fields : fields.at("left_hosts")) {
    const Departed departed{ .incarnation = host_fields.at(1),
                             .released = host_fields.at(2),
                             .index = host_fields.at(3),
                             .known_members = host_fields.at(4) };
    m_left_hosts.add(host_fields.at(0).get<std::string>(), departed, m_departed_limit);
  }
  const auto read = [](const json& listed, Departures<ServerKey>& departures, std::size_t limit) {
    for (const json& item : listed) {
      const ServerKey key{ item.at(0).get<std::string>(), item.at(1).get<std::string>() };
      departures.add(key, { .incarnation = item.at(2), .index = item.at(3) }, limit);
    }
  };
  read(fields.at("left_servers"), m_left_servers, m_departed_limit);
  // Missing in snapshots of versions that did not keep these departures apart.
  if (fields.contains("left_unknown")) {
    read(fields.at("left_unknown"), m_left_unknown, m_unknown_limit);
  }
}

} // namespace lovagehold
