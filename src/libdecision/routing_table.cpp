#include "lovagehold/routing_table.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lovagehold {

namespace {

// Consecutive multiples of the golden ratio modulo 1 are spread evenly over [0, 1), however many
// there are.
constexpr double kGoldenRatioStep = 0.6180339887498949;

std::string_view
without_port(std::string_view host)
{
  return host.substr(0, host.find(':'));
}

} // namespace

RoutingTable::RoutingTable(RoutingConfig config, std::uint64_t seed)
  : m_config(std::move(config))
{
  std::mt19937_64 random(seed);
  for (const VirtualHost& host : m_config.hosts) {
    auto& routes = m_routes[host.name];
    for (const Route& route : host.routes) {
      routes.push_back(&route);
      if (route.targets.size() > 1) {
        m_positions[&route] = std::uniform_real_distribution<double>()(random);
      }
    }
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
  for (const RoutedService& service : m_config.services) {
    m_services[service.name] = &service;
  }
}

const Route*
RoutingTable::find(std::string_view host, std::string_view path) const
{
  const auto routes = m_routes.find(without_port(host));
  if (routes == m_routes.end()) {
    return nullptr;
  }
  for (const Route* route : routes->second) {
    if (path.substr(0, route->path_prefix.size()) == route->path_prefix) {
      return route;
    }
  }
  return nullptr;
}

ServiceName
RoutingTable::next_target(const Route& route)
{
  double total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  const auto position = m_positions.find(&route);
  if (position == m_positions.end() || total <= 0) {
    return route.targets.empty() ? ServiceName() : route.targets.front().service;
  }
  position->second = std::fmod(position->second + kGoldenRatioStep, 1.0);
  double remaining_weight = position->second * total;
  for (const RouteTarget& target : route.targets) {
    remaining_weight -= target.weight;
    if (remaining_weight < 0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

const RoutedService*
RoutingTable::service(const ServiceName& name) const
{
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

} // namespace lovagehold
