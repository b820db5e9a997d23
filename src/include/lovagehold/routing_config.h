#pragma once

#include "lovagehold/types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace lovagehold {

/// Whether a request may be repeated if the outcome of an attempt is unknown.
enum class RouteKind
{
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once; repeated only if a server reported that it did not run
  Upload,        ///< a large body; treated as non-idempotent
};

/// A service that receives a share of a route's requests, in proportion to the weight.
struct RouteTarget
{
  ServiceName service;
  double weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// Rules for the requests below a path of a virtual host.
struct Route
{
  std::string name;
  /// Starts and ends with a slash; the longest matching prefix selects the route.
  std::string path_prefix;
  RouteKind kind = RouteKind::Idempotent;
  std::vector<RouteTarget> targets;
  /// Maximum time that a caller waits for a response.
  std::chrono::milliseconds timeout{ 30000 };
  /// The latency objective.
  std::chrono::milliseconds target_latency{ 1000 };
  /// Number of servers that a request may be sent to, including hedges.
  unsigned max_attempts = 1;
  /// 0 is the most urgent.
  unsigned priority = 0;
  /// Requests need no key even if the configuration has accounts.
  bool open = false;

  bool operator==(const Route&) const = default;
};

/// A virtual host and its routes.
struct VirtualHost
{
  std::string name;
  std::vector<Route> routes;
};

/// Limits on the size and the timing of callers' requests.
struct RequestLimits
{
  std::size_t header_bytes = std::size_t{ 16 } << 10;
  std::uint64_t body_bytes = std::uint64_t{ 64 } << 20;
  std::chrono::milliseconds header_timeout{ 3000 };
  std::chrono::milliseconds idle_timeout{ 15000 };

  bool operator==(const RequestLimits&) const = default;
};

struct RoutedService
{
  ServiceName name;
  /// Path of the service's health check.
  std::string health_path;
  /// Maximum number of connections that each of its servers accepts.
  unsigned max_connections = 500;
  /// How long a server is cold after its start; 0 if the service has no cold servers.
  std::chrono::milliseconds warmup{ 0 };
  /// Requests per second that a cold server takes from all hosts together; 0 for no limit.
  double warmup_rate = 0;

  bool operator==(const RoutedService&) const = default;
};

/// SHA-256 of an account key. Keys themselves are only in the operator's document.
using KeyDigest = std::array<std::uint8_t, 32>;

/// A client account. Its callers identify themselves by one of its keys.
struct ClientAccount
{
  std::string name;
  std::vector<KeyDigest> keys;
  /// Takes precedence over the route's priority if set; 0 is the most urgent.
  std::optional<unsigned> priority;
  /// Requests per second that the account may send to all entry hosts together; 0 for no limit.
  double rate = 0;
  /// Requests that it may send beyond the rate at once.
  double burst = 0;

  bool operator==(const ClientAccount&) const = default;
};

/// The routing configuration. Operators replace it as a whole; the highest version is in force.
struct RoutingConfig
{
  std::uint64_t version = 0;
  RequestLimits limits;
  std::vector<VirtualHost> hosts;
  std::vector<RoutedService> services;
  /// Whether requests need the key of an account, except on open routes. Set if the document
  /// declares accounts, even an empty list.
  bool requires_key = false;
  std::vector<ClientAccount> accounts;
};

} // namespace lovagehold
