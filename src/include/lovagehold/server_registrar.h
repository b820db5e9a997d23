#pragma once

#include "lovagehold/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagehold {

/// A heartbeat of a server.
struct ServerHeartbeat
{
  ServerInfo server;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  bool draining = false;
};

/// Change to the replicated directory of servers that a heartbeat calls for.
enum class HeartbeatEffect
{
  None,  ///< no change: the server is known, or the heartbeat is outdated
  Join,  ///< add the new incarnation of the server
  Warm,  ///< update the entry of the known server, which has turned cold; see renewed_entry()
  Leave, ///< remove the server; it gets no new requests
};

struct ServerRegistrarOptions
{
  /// A server without a heartbeat for this time is removed. Covers three heartbeats and a margin,
  /// as one may arrive late.
  std::chrono::milliseconds lease{ 6000 };
  /// Largest share of a service's servers that may expire together. If more do, their heartbeats
  /// were probably lost in the network, and the servers are removed only after three times the
  /// lease.
  double max_expired_share = 0.34;
  /// Whether cold servers of the service take a limited number of requests. If empty, entries are
  /// not updated when their servers turn cold.
  std::function<bool(const ServiceName&)> limits_cold_servers;
  /// A server has turned cold again if it stays cold for longer than its entry says by more than
  /// this time. Covers delays of heartbeats and of entries.
  std::chrono::milliseconds warmup_margin{ 1000 };
};

/// Compares heartbeats with the directory of servers and keeps the leases of the servers. Not
/// thread-safe.
class ServerRegistrar
{
public:
  explicit ServerRegistrar(ServerRegistrarOptions options)
    : m_options(std::move(options))
  {
  }

  /// Determines the effect of a heartbeat and renews the server's lease.
  /// \param known servers in the directory
  HeartbeatEffect heartbeat(const ServerHeartbeat& heartbeat,
                            const std::vector<ServerInfo>& known,
                            TimePoint now);

  /// \return the entry with which a join puts HeartbeatEffect::Warm into effect
  static ServerInfo renewed_entry(const ServerHeartbeat& heartbeat,
                                  const std::vector<ServerInfo>& known);

  /// The update of the server's entry has failed; the next heartbeat calls for it again.
  void forget_warmup(const ServerId& id) { m_warmups.erase(id); }

  /// Renews the lease of a server whose heartbeat another host received.
  void renew(const ServerId& id, std::uint64_t incarnation, TimePoint now);

  /// \return known servers whose lease has expired. A server without a heartbeat since
  /// discard_leases() gets a full lease, which starts at the next call.
  std::vector<ServerInfo> expired(const std::vector<ServerInfo>& known, TimePoint now);

  /// \return servers in the directory whose address or id the heartbeat's server has taken over:
  /// those with an older incarnation and the same address, or with the same id in another service
  static std::vector<ServerInfo> replaced_by(const ServerHeartbeat& heartbeat,
                                             const std::vector<ServerInfo>& known);

  /// Discards all leases, because another host kept them in the meantime.
  void discard_leases() { m_leases.clear(); }

private:
  struct Lease
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint renewed_at;
  };

  /// What is known of the latest warm-up of a server.
  struct Warmup
  {
    std::uint64_t incarnation = 0;
    std::uint64_t renewals = 0;
    TimePoint end;
  };

  void observe_warmup(const ServerInfo& entry, TimePoint now);
  void observe_warmups(const std::vector<ServerInfo>& known, TimePoint now);
  bool turned_cold(const ServerInfo& server, const ServerInfo& entry, TimePoint now);

  ServerRegistrarOptions m_options;
  std::map<ServerId, Lease> m_leases;
  std::map<ServerId, Warmup> m_warmups;
};

} // namespace lovagehold
