#pragma once

#include "lovagehold/types.h"

#include <string>
#include <vector>

namespace lovagehold {

/// What may be repeated when the outcome of an attempt is not known.
enum class RouteKind
{
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once; repeated only after a server said that it did not run
  Upload,        ///< a large body; treated as non-idempotent
};

/// A service that requests of a route go to, with its share of them.
struct RouteTarget
{
  ServiceName service;
  double weight = 1;
};

/// How requests below a path of a virtual host are treated.
struct Route
{
  std::string name;
  /// Begins and ends with a slash; the longest one that begins the path selects the route.
  std::string path_prefix;
  RouteKind kind = RouteKind::Idempotent;
  std::vector<RouteTarget> targets;
  /// A caller waits this long at most.
  std::chrono::milliseconds timeout{ 30000 };
  /// The latency objective.
  std::chrono::milliseconds target_latency{ 1000 };
  /// Servers that one request may be sent to.
  unsigned max_attempts = 1;
  /// 0 is the most urgent.
  unsigned priority = 0;
};

/// Routes of a virtual host.
struct VirtualHost
{
  std::string name;
  std::vector<Route> routes;
};

/// What a caller may send and how long it may take.
struct RequestLimits
{
  std::size_t header_bytes = std::size_t{ 16 } << 10;
  std::uint64_t body_bytes = std::uint64_t{ 64 } << 20;
  std::chrono::milliseconds header_timeout{ 3000 };
  std::chrono::milliseconds idle_timeout{ 15000 };
};

struct RoutedService
{
  ServiceName name;
  /// Path of the service's health check.
  std::string health_path;
  /// Connections that one of its servers accepts.
  unsigned max_connections = 500;
};

/// The whole routing configuration, replaced as one. The highest version is in force.
struct RoutingConfig
{
  std::uint64_t version = 0;
  RequestLimits limits;
  std::vector<VirtualHost> hosts;
  std::vector<RoutedService> services;
};

} // namespace lovagehold
