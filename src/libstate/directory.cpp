#include "directory.h"

#include "apply_results.h"
#include "json_fields.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagehold {

namespace {

using nlohmann::json;

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
{
}

ApplyResult
Directory::join(const ServerInfo& server, std::uint64_t)
{
  const ServerKey key{ server.service, server.id };
  const Departed* departed = m_left_servers.find(key);
  // Servers that announce no incarnation (0) may rejoin, because a delayed announcement can't be
  // told from a new one. A server that does not renew its registration then gets no requests.
  if (departed != nullptr && server.incarnation != 0 &&
      server.incarnation <= departed->incarnation) {
    return reject_outdated("server " + server.id);
  }
  auto& service_servers = m_servers[server.service];
  const auto known = service_servers.find(server.id);
  if (known != service_servers.end() && known->second.incarnation > server.incarnation) {
    return reject_outdated("server " + server.id);
  }
  service_servers[server.id] = server;
  m_left_servers.remove(key);
  return accept();
}

ApplyResult
Directory::leave(const LeaveServer& leave, std::uint64_t index)
{
  const auto service_servers = m_servers.find(leave.service);
  const bool known =
    service_servers != m_servers.end() && service_servers->second.count(leave.id) > 0;
  if (!known) {
    leave_unknown(leave, index);
    return accept();
  }
  const auto found = service_servers->second.find(leave.id);
  if (found->second.incarnation > leave.incarnation) {
    return accept();
  }
  // A leave command without an incarnation carries the largest value, which must not be remembered:
  // only the joined incarnation has left.
  if (!leave.expired) {
    m_left_servers.add({ leave.service, leave.id },
                       { .incarnation = found->second.incarnation, .index = index },
                       m_departed_limit);
  }
  service_servers->second.erase(found);
  if (service_servers->second.empty()) {
    m_servers.erase(service_servers);
  }
  return accept();
}

// The leave of a server may be applied before its join, which must then be rejected.
void
Directory::leave_unknown(const LeaveServer& leave, std::uint64_t index)
{
  const ServerKey key{ leave.service, leave.id };
  const Departed* departed = std::as_const(m_left_servers).find(key);
  const bool newer = departed == nullptr || departed->incarnation < leave.incarnation;
  const bool has_incarnation =
    leave.incarnation != 0 && leave.incarnation != std::numeric_limits<std::uint64_t>::max();
  if (has_incarnation && !leave.expired && newer) {
    m_left_servers.add(key, { .incarnation = leave.incarnation, .index = index }, m_departed_limit);
  }
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
  if (found == m_hosts.end() || found->second.incarnation > leave.incarnation) {
    return accept();
  }
  Departed entry{ .incarnation = found->second.incarnation,
                  .released = leave.released,
                  .index = index };
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
  json left_servers = json::array();
  for (const auto& [key, departed] : m_left_servers.by_key) {
    left_servers.push_back({ key.first, key.second, departed.incarnation, departed.index });
  }
  return { { "view", m_view },
           { "servers", all_servers() },
           { "hosts", hosts() },
           { "joined", m_joined_views },
           { "left_hosts", std::move(left_hosts) },
           { "left_servers", std::move(left_servers) } };
}

void
Directory::restore(const json& fields)
{
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
  for (const json& server_fields : fields.at("left_servers")) {
    const Departed departed{ .incarnation = server_fields.at(2), .index = server_fields.at(3) };
    const ServerKey key{ server_fields.at(0).get<std::string>(),
                         server_fields.at(1).get<std::string>() };
    m_left_servers.add(key, departed, m_departed_limit);
  }
}

} // namespace lovagehold
