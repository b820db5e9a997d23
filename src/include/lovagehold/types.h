#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Value types shared by all libraries. This header is valid C++17.
namespace lovagehold {

/// Monotonic clock. Decision code receives time points as arguments and never reads the clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Calendar time in milliseconds, used only as a field of replicated commands and of events.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

using HostId = std::string;
using ServerId = std::string;
using ServiceName = std::string;
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;
using Bytes = std::vector<std::uint8_t>;

/// A server, as described by its own announcement.
struct ServerInfo
{
  ServiceName service;
  ServerId id;
  /// "IP:port" of its HTTP/1.1 listener.
  std::string address;
  /// Requests that it serves concurrently.
  unsigned slots = 3;
  /// Maximum number of connections that it accepts.
  unsigned connections = 500;
  /// Increases each time the server process starts. A leave names the incarnation it applies to.
  std::uint64_t incarnation = 0;
  /// Empty if the server did not report one.
  std::string failure_domain;
  /// Time after joining during which the server is expected to respond slowly.
  std::chrono::milliseconds warmup{ 0 };
  /// How often the incarnation has turned cold again since it joined. Tells a new warm-up from the
  /// one of an entry that is read again.
  std::uint64_t warmup_renewals = 0;
};

/// A host that runs lovagehold.
struct HostInfo
{
  HostId id;
  /// Increases each time the process starts.
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  /// "IP:port" where callers connect; empty on hosts without the entry role.
  std::string caller_address;
  /// "IP:port" of the cluster listener.
  std::string cluster_address;
  /// "IP:port" of the admin listener.
  std::string admin_address;
};

inline bool
operator==(const ServerInfo& a, const ServerInfo& b)
{
  return a.service == b.service && a.id == b.id && a.address == b.address && a.slots == b.slots &&
         a.connections == b.connections && a.incarnation == b.incarnation &&
         a.failure_domain == b.failure_domain && a.warmup == b.warmup &&
         a.warmup_renewals == b.warmup_renewals;
}

inline bool
operator==(const HostInfo& a, const HostInfo& b)
{
  return a.id == b.id && a.incarnation == b.incarnation && a.failure_domain == b.failure_domain &&
         a.caller_address == b.caller_address && a.cluster_address == b.cluster_address &&
         a.admin_address == b.admin_address;
}

} // namespace lovagehold
