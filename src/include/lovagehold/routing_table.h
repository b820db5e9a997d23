#pragma once

#include "lovagehold/account_table.h"

#include <map>
#include <memory>
#include <random>
#include <string_view>

namespace lovagehold {

/// Finds the route of a request and distributes the requests of a route over its targets by weight.
/// Routes and services are shared with the requests that use them, so that a change leaves those of
/// a running request as they were. Not thread-safe.
class RoutingTable
{
public:
  RoutingTable() = default;

  /// \param seed determines the start of the weighted sequences. It differs between hosts, so that
  /// the weights are met even if each of many hosts gets only a few requests.
  RoutingTable(const RoutingConfig& config, std::uint64_t seed);

  std::uint64_t version() const { return m_version; }
  const RequestLimits& limits() const { return m_limits; }
  const AccountTable& accounts() const { return m_accounts; }

  /// \return the number of routes of all virtual hosts
  std::size_t size() const;

  /// \param host value of the Host header, with or without a port
  /// \param path without the query
  /// \return the route with the longest prefix that matches the path; null if there is none
  std::shared_ptr<const Route> find(std::string_view host, std::string_view path) const;

  /// \return the service that gets the route's next request; empty if the route has no target
  ServiceName next_target(const Route& route);

  /// \return the service's configuration; null if there is none
  std::shared_ptr<const RoutedService> service(const ServiceName& name) const;

  /// \return the change that makes this table equal to one of the configuration
  RoutingChange difference_to(const RoutingConfig& config) const;

  /// Applies a change. The time for it depends on the size of the change, and only logarithmically
  /// on that of the table.
  /// \return false, without any effect, if the change is not based on this table's version
  bool apply(const RoutingChange& change);

private:
  /// Routes by prefix.
  using HostRoutes = std::map<std::string, std::shared_ptr<const Route>, std::less<>>;

  void set_route(const std::string& host, const Route& route);
  void remove_route(const RouteKey& key);

  std::uint64_t m_version = 0;
  RequestLimits m_limits;
  AccountTable m_accounts;
  std::map<std::string, HostRoutes, std::less<>> m_hosts;
  std::map<ServiceName, std::shared_ptr<const RoutedService>> m_services;
  /// Position of each weighted route in its sequence, in [0, 1).
  std::map<const Route*, double> m_positions;
  std::mt19937_64 m_random;
};

} // namespace lovagehold
