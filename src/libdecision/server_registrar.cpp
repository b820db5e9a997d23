#include "lovagehold/server_registrar.h"

#include <algorithm>

namespace lovagehold {

HeartbeatEffect
ServerRegistrar::heartbeat(const ServerHeartbeat& heartbeat,
                           const std::vector<ServerInfo>& known,
                           TimePoint now)
{
  const ServerInfo& server = heartbeat.server;
  const auto lease = m_leases.find(server.id);
  if (lease != m_leases.end()) {
    const auto heard = std::pair(lease->second.incarnation, lease->second.sequence);
    if (std::pair(server.incarnation, heartbeat.sequence) <= heard && !heartbeat.draining) {
      return HeartbeatEffect::None;
    }
  }
  const auto entry = std::find_if(
    known.begin(), known.end(), [&](const ServerInfo& other) { return other.id == server.id; });
  const bool is_known = entry != known.end() && entry->incarnation >= server.incarnation;
  if (is_known && entry->incarnation > server.incarnation) {
    return HeartbeatEffect::None;
  }
  if (heartbeat.draining) {
    return HeartbeatEffect::Leave;
  }
  // A delayed heartbeat of a crashed server must not take over the address of its successor.
  const bool address_taken = std::any_of(known.begin(), known.end(), [&](const ServerInfo& other) {
    return other.address == server.address && other.id != server.id &&
           other.incarnation > server.incarnation;
  });
  if (address_taken) {
    return HeartbeatEffect::None;
  }
  m_leases[server.id] = { .incarnation = server.incarnation,
                          .sequence = heartbeat.sequence,
                          .heard = now };
  return is_known ? HeartbeatEffect::None : HeartbeatEffect::Join;
}

void
ServerRegistrar::renew(const ServerId& id, std::uint64_t incarnation, TimePoint now)
{
  Lease& lease = m_leases[id];
  if (incarnation >= lease.incarnation) {
    lease.incarnation = incarnation;
    lease.heard = now;
  }
}

std::vector<ServerInfo>
ServerRegistrar::expired(const std::vector<ServerInfo>& known, TimePoint now)
{
  std::vector<ServerInfo> ended;
  std::map<ServerId, Lease> kept;
  std::map<ServiceName, unsigned> server_count;
  for (const ServerInfo& server : known) {
    const auto found = m_leases.find(server.id);
    const bool heard = found != m_leases.end() && found->second.incarnation >= server.incarnation;
    Lease lease = heard ? found->second : Lease{ .incarnation = server.incarnation, .heard = now };
    if (now - lease.heard >= m_options.lease) {
      ended.push_back(server);
    }
    kept[server.id] = lease;
    ++server_count[server.service];
  }
  std::map<ServiceName, unsigned> expired_count;
  for (const ServerInfo& server : ended) {
    ++expired_count[server.service];
  }
  std::erase_if(ended, [&](const ServerInfo& server) {
    const bool many =
      expired_count[server.service] > 1 &&
      expired_count[server.service] > m_options.max_expired_share * server_count[server.service];
    return many && now - kept[server.id].heard < 3 * m_options.lease;
  });
  // Leases of servers whose join has not been applied to the directory yet are kept until they
  // expire.
  for (const auto& [id, lease] : m_leases) {
    if (now - lease.heard < m_options.lease) {
      kept.try_emplace(id, lease);
    }
  }
  m_leases = std::move(kept);
  return ended;
}

std::vector<ServerInfo>
ServerRegistrar::replaced_by(const ServerHeartbeat& heartbeat, const std::vector<ServerInfo>& known)
{
  std::vector<ServerInfo> replaced;
  for (const ServerInfo& other : known) {
    if (other.address == heartbeat.server.address && other.id != heartbeat.server.id &&
        other.incarnation < heartbeat.server.incarnation) {
      replaced.push_back(other);
    }
  }
  return replaced;
}

} // namespace lovagehold
