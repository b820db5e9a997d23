#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagehold {

/// What a server says about itself in a heartbeat.
struct ServerHeartbeat
{
  ServerInfo server;
  /// Grows with each heartbeat of an incarnation.
  std::uint64_t sequence = 0;
  bool draining = false;
};

/// What a heartbeat asks of the replicated directory.
enum class HeartbeatEffect
{
  None,  ///< known, or older than what is known
  Join,  ///< a new incarnation
  Leave, ///< no new requests may reach it
};

struct ServerRegistrarOptions
{
  /// A server that was not heard of for this time is removed; three heartbeats and a margin, as one
  /// may arrive late.
  std::chrono::milliseconds lease{ 6000 };
  /// Share of a service's servers that may be removed at a time. More at once means that heartbeats
  /// are lost on their way; those servers get the lease three times before they are removed.
  double removable = 0.34;
};

/// Judges heartbeats against the directory and keeps the leases of the servers. Not thread-safe.
class ServerRegistrar
{
public:
  explicit ServerRegistrar(ServerRegistrarOptions options)
    : m_options(options)
  {
  }

  /// Judges a heartbeat and renews the lease of a known server.
  /// \param known servers of the directory
  HeartbeatEffect heartbeat(const ServerHeartbeat& heartbeat,
                            const std::vector<ServerInfo>& known,
                            TimePoint now);

  /// Renews the lease of a server whose heartbeat another host received.
  void renew(const ServerId& id, std::uint64_t incarnation, TimePoint now);

  /// \return known servers whose lease has ended. Servers not heard of since restart() get a whole
  /// lease.
  std::vector<ServerInfo> expired(const std::vector<ServerInfo>& known, TimePoint now);

  /// \return servers of the directory that had the heartbeat's address before and are gone
  static std::vector<ServerInfo> replaced_by(const ServerHeartbeat& heartbeat,
                                             const std::vector<ServerInfo>& known);

  /// Forgets all leases: they were kept elsewhere in the meantime.
  void restart() { m_leases.clear(); }

private:
  struct Lease
  {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint heard;
  };

  ServerRegistrarOptions m_options;
  std::map<ServerId, Lease> m_leases;
};

} // namespace lovagehold
