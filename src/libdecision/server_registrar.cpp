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
    const auto last_heartbeat = std::pair(lease->second.incarnation, lease->second.sequence);
    if (std::pair(server.incarnation, heartbeat.sequence) <= last_heartbeat &&
        !heartbeat.draining) {
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
                          .renewed_at = now };
  if (!is_known) {
    return HeartbeatEffect::Join;
  }
  return turned_cold(server, *entry, now) ? HeartbeatEffect::Warm : HeartbeatEffect::None;
}

ServerInfo
ServerRegistrar::renewed_entry(const ServerHeartbeat& heartbeat,
                               const std::vector<ServerInfo>& known)
{
  ServerInfo renewed = heartbeat.server;
  const auto entry = std::find_if(
    known.begin(), known.end(), [&](const ServerInfo& other) { return other.id == renewed.id; });
  renewed.warmup_renewals = entry == known.end() ? 0 : entry->warmup_renewals + 1;
  return renewed;
}

// The time of an entry counts from the moment at which this host first sees it. After a start of
// this host, entries of servers that have long been warm are taken for new ones once.
void
ServerRegistrar::observe_warmup(const ServerInfo& entry, TimePoint now)
{
  Warmup& warmup = m_warmups[entry.id];
  // An update that was proposed and is not applied yet is ahead of the entry.
  if (std::pair(warmup.incarnation, warmup.renewals) <
      std::pair(entry.incarnation, entry.warmup_renewals)) {
    warmup = { .incarnation = entry.incarnation,
               .renewals = entry.warmup_renewals,
               .end = now + entry.warmup };
  }
}

void
ServerRegistrar::observe_warmups(const std::vector<ServerInfo>& known, TimePoint now)
{
  if (!m_options.limits_cold_servers) {
    return;
  }
  std::map<ServerId, Warmup> kept;
  for (const ServerInfo& server : known) {
    observe_warmup(server, now);
    kept[server.id] = m_warmups[server.id];
  }
  m_warmups = std::move(kept);
}

bool
ServerRegistrar::turned_cold(const ServerInfo& server, const ServerInfo& entry, TimePoint now)
{
  if (server.warmup.count() <= 0 || !m_options.limits_cold_servers ||
      !m_options.limits_cold_servers(server.service)) {
    return false;
  }
  observe_warmup(entry, now);
  Warmup& warmup = m_warmups[server.id];
  const TimePoint end = now + server.warmup;
  if (end <= warmup.end + m_options.warmup_margin) {
    return false;
  }
  warmup = { .incarnation = entry.incarnation, .renewals = entry.warmup_renewals + 1, .end = end };
  return true;
}

void
ServerRegistrar::renew(const ServerId& id, std::uint64_t incarnation, TimePoint now)
{
  Lease& lease = m_leases[id];
  if (incarnation >= lease.incarnation) {
    lease.incarnation = incarnation;
    lease.renewed_at = now;
  }
}

std::vector<ServerInfo>
ServerRegistrar::expired(const std::vector<ServerInfo>& known, TimePoint now)
{
  std::vector<ServerInfo> expired_servers;
  std::map<ServerId, Lease> kept_leases;
  std::map<ServiceName, unsigned> server_count;
  for (const ServerInfo& server : known) {
    const auto known_lease = m_leases.find(server.id);
    const bool has_lease =
      known_lease != m_leases.end() && known_lease->second.incarnation >= server.incarnation;
    // A server whose incarnation has no lease yet gets a full one.
    Lease lease = has_lease ? known_lease->second
                            : Lease{ .incarnation = server.incarnation, .renewed_at = now };
    if (now - lease.renewed_at >= m_options.lease) {
      expired_servers.push_back(server);
    }
    kept_leases[server.id] = lease;
    ++server_count[server.service];
  }
  observe_warmups(known, now);
  // If a large share of a service's servers expired together, they are kept for three times the
  // lease: their heartbeats were probably lost in the network.
  std::map<ServiceName, unsigned> expired_count;
  for (const ServerInfo& server : expired_servers) {
    ++expired_count[server.service];
  }
  std::erase_if(expired_servers, [&](const ServerInfo& server) {
    const bool many_expired =
      expired_count[server.service] > 1 &&
      expired_count[server.service] > m_options.max_expired_share * server_count[server.service];
    return many_expired && now - kept_leases[server.id].renewed_at < 3 * m_options.lease;
  });
  // Leases of servers whose join has not been applied to the directory yet are kept until they
  // expire.
  for (const auto& [id, lease] : m_leases) {
    if (now - lease.renewed_at < m_options.lease) {
      kept_leases.try_emplace(id, lease);
    }
  }
  m_leases = std::move(kept_leases);
  return expired_servers;
}

std::vector<ServerInfo>
ServerRegistrar::replaced_by(const ServerHeartbeat& heartbeat, const std::vector<ServerInfo>& known)
{
  std::vector<ServerInfo> replaced;
  for (const ServerInfo& other : known) {
    const bool same_address =
      other.address == heartbeat.server.address && other.id != heartbeat.server.id;
    const bool same_id =
      other.id == heartbeat.server.id && other.service != heartbeat.server.service;
    if ((same_address || same_id) && other.incarnation < heartbeat.server.incarnation) {
      replaced.push_back(other);
    }
  }
  return replaced;
}

} // namespace lovagehold
