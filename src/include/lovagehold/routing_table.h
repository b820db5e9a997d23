#pragma once

#include "lovagehold/routing_config.h"

#include <map>
#include <string_view>

namespace lovagehold {

/// Finds the route of a request and spreads the requests of a route over its targets by weight.
/// Replaced as a whole when the configuration changes. Not thread-safe.
class RoutingTable
{
public:
  RoutingTable() = default;

  /// \param seed start of the weighted sequences, different on each host so that few requests on
  /// many hosts still keep the weights
  RoutingTable(RoutingConfig config, std::uint64_t seed);

  std::uint64_t version() const { return m_config.version; }
  const RequestLimits& limits() const { return m_config.limits; }
  const RoutingConfig& config() const { return m_config; }

  /// \param host value of the Host header, with or without a port
  /// \param path without the query
  /// \return the route with the longest prefix that begins the path; null if there is none. Valid
  /// as long as the table.
  const Route* find(std::string_view host, std::string_view path) const;

  /// \return the service of the route's next request; empty if the route has no target
  ServiceName next_target(const Route& route);

  /// \return the service's declaration; null if there is none
  const RoutedService* service(const ServiceName& name) const;

private:
  RoutingConfig m_config;
  /// Routes of each virtual host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> m_routes;
  std::map<ServiceName, const RoutedService*> m_services;
  /// Position of each weighted route in its sequence, in [0, 1).
  std::map<const Route*, double> m_positions;
};

} // namespace lovagehold
