#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <string>
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
};

/// Compares heartbeats with the directory of servers and keeps the leases of the servers. Not
/// thread-safe.
class ServerRegistrar
{
public:
  explicit ServerRegistrar(ServerRegistrarOptions options)
    : m_options(options)
  {
  }

  /// Determines the effect of a heartbeat and renews the server's lease.
  /// \param known servers in the directory
  HeartbeatEffect heartbeat(const ServerHeartbeat& heartbeat,
                            const std::vector<ServerInfo>& known,
                            TimePoint now);

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

  ServerRegistrarOptions m_options;
  std::map<ServerId, Lease> m_leases;
};

} // namespace lovagehold
