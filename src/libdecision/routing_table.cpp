#include "lovagehold/routing_table.h"

#include <algorithm>
#include <cmath>
#include <set>

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

RoutingTable::RoutingTable(const RoutingConfig& config, std::uint64_t seed)
  : m_random(seed)
{
  apply(difference_to(config));
}

std::size_t
RoutingTable::size() const
{
  std::size_t size = 0;
  for (const auto& [host, routes] : m_hosts) {
    size += routes.size();
  }
  return size;
}

std::shared_ptr<const Route>
RoutingTable::find(std::string_view host, std::string_view path) const
{
  const auto routes = m_hosts.find(without_port(host));
  if (routes == m_hosts.end()) {
    return nullptr;
  }
  // The last prefix that sorts before the path is the longest match, or shares with the path a part
  // that every match is a prefix of.
  std::string_view searched = path;
  while (true) {
    auto next = routes->second.upper_bound(searched);
    if (next == routes->second.begin()) {
      return nullptr;
    }
    const auto& [prefix, route] = *std::prev(next);
    const auto mismatch =
      std::mismatch(prefix.begin(), prefix.end(), searched.begin(), searched.end()).first;
    if (mismatch == prefix.end()) {
      return route;
    }
    searched = searched.substr(0, static_cast<std::size_t>(mismatch - prefix.begin()));
  }
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

std::shared_ptr<const RoutedService>
RoutingTable::service(const ServiceName& name) const
{
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

RoutingChange
RoutingTable::difference_to(const RoutingConfig& config) const
{
  RoutingChange change{ .base_version = m_version, .version = config.version };
  if (config.limits != m_limits) {
    change.limits = config.limits;
  }
  std::set<std::pair<std::string_view, std::string_view>> routes;
  for (const VirtualHost& host : config.hosts) {
    VirtualHost changed{ .name = host.name };
    const auto known_host = m_hosts.find(host.name);
    for (const Route& route : host.routes) {
      const bool first = routes.insert({ host.name, route.path_prefix }).second;
      const auto known = known_host == m_hosts.end() ? HostRoutes::const_iterator()
                                                     : known_host->second.find(route.path_prefix);
      const bool same =
        known_host != m_hosts.end() && known != known_host->second.end() && *known->second == route;
      if (first && !same) {
        changed.routes.push_back(route);
      }
    }
    if (!changed.routes.empty()) {
      change.hosts.push_back(std::move(changed));
    }
  }
  for (const auto& [host, known_routes] : m_hosts) {
    for (const auto& [prefix, route] : known_routes) {
      if (routes.count({ host, prefix }) == 0) {
        change.removed_routes.push_back({ host, prefix });
      }
    }
  }
  std::set<ServiceName> services;
  for (const RoutedService& service : config.services) {
    const auto known = m_services.find(service.name);
    const bool first = services.insert(service.name).second;
    if (first && (known == m_services.end() || *known->second != service)) {
      change.services.push_back(service);
    }
  }
  for (const auto& [name, service] : m_services) {
    if (services.count(name) == 0) {
      change.removed_services.push_back(name);
    }
  }
  m_accounts.add_difference(config, change);
  return change;
}

bool
RoutingTable::apply(const RoutingChange& change)
{
  if (change.base_version != m_version) {
    return false;
  }
  m_version = change.version;
  m_limits = change.limits.value_or(m_limits);
  for (const RouteKey& removed : change.removed_routes) {
    remove_route(removed);
  }
  for (const VirtualHost& host : change.hosts) {
    for (const Route& route : host.routes) {
      set_route(host.name, route);
    }
  }
  for (const ServiceName& removed : change.removed_services) {
    m_services.erase(removed);
  }
  for (const RoutedService& service : change.services) {
    m_services[service.name] = std::make_shared<const RoutedService>(service);
  }
  m_accounts.apply(change);
  return true;
}

void
RoutingTable::set_route(const std::string& host, const Route& route)
{
  std::shared_ptr<const Route>& entry = m_hosts[host][route.path_prefix];
  m_positions.erase(entry.get());
  entry = std::make_shared<const Route>(route);
  if (route.targets.size() > 1) {
    m_positions[entry.get()] = std::uniform_real_distribution<double>()(m_random);
  }
}

void
RoutingTable::remove_route(const RouteKey& key)
{
  const auto host = m_hosts.find(key.host);
  const auto route =
    host == m_hosts.end() ? HostRoutes::iterator() : host->second.find(key.path_prefix);
  if (host == m_hosts.end() || route == host->second.end()) {
    return;
  }
  m_positions.erase(route->second.get());
  host->second.erase(route);
  if (host->second.empty()) {
    m_hosts.erase(host);
  }
}

} // namespace lovagehold
