#pragma once

#include "lovagehold/routing_config.h"

#include <map>
#include <string_view>

namespace lovagehold {

/// Finds the route of a request and distributes the requests of a route over its targets by weight.
/// A new table is built when the configuration changes. Not thread-safe.
class RoutingTable
{
public:
  RoutingTable() = default;

  /// \param seed determines the start of the weighted sequences. It differs between hosts, so that
  /// the weights are met even if each of many hosts gets only a few requests.
  RoutingTable(RoutingConfig config, std::uint64_t seed);

  std::uint64_t version() const { return m_config.version; }
  const RequestLimits& limits() const { return m_config.limits; }
  const RoutingConfig& config() const { return m_config; }

  /// \param host value of the Host header, with or without a port
  /// \param path without the query
  /// \return the route with the longest prefix that matches the path; null if there is none. Valid
  /// for the lifetime of the table.
  const Route* find(std::string_view host, std::string_view path) const;

  /// \return the service that gets the route's next request; empty if the route has no target
  ServiceName next_target(const Route& route);

  /// \return the service's configuration; null if there is none
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
