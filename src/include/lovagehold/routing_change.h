#pragma once

#include "lovagehold/routing_config.h"

#include <optional>

namespace lovagehold {

/// Identifies a route of a virtual host.
struct RouteKey
{
  std::string host;
  std::string path_prefix;
};

/// What differs between two versions of the routing configuration. Hosts that have the base version
/// apply it at a cost that does not depend on the routes that stay the same.
struct RoutingChange
{
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  /// Set if they differ.
  std::optional<RequestLimits> limits;
  /// Routes that are new or differ, by virtual host. A route replaces the one with the same prefix.
  std::vector<VirtualHost> hosts;
  std::vector<RouteKey> removed_routes;
  /// Services that are new or differ.
  std::vector<RoutedService> services;
  std::vector<ServiceName> removed_services;
  /// Set if it differs.
  std::optional<bool> requires_key;
  /// Accounts that are new or differ.
  std::vector<ClientAccount> accounts;
  /// Names of accounts.
  std::vector<std::string> removed_accounts;

  /// \return the number of routes, services and accounts that are added, changed or removed
  std::size_t size() const
  {
    std::size_t size = removed_routes.size() + services.size() + removed_services.size() +
                       accounts.size() + removed_accounts.size();
    for (const VirtualHost& host : hosts) {
      size += host.routes.size();
    }
    return size;
  }
};

} // namespace lovagehold
