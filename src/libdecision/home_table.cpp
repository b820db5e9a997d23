#include "lovagehold/home_table.h"

#include "lovagehold/home_selector.h"

#include <algorithm>
#include <limits>

namespace lovagehold {

HomeTable::HomeTable(std::size_t count)
  : m_count(count)
{
}

void
HomeTable::set_hosts(const std::vector<HostInfo>& hosts)
{
  std::map<HostId, const HostInfo*> known;
  for (const HostInfo& host : m_hosts) {
    known[host.id] = &host;
  }
  std::vector<HostInfo> joined;
  std::set<HostId> left;
  for (const HostInfo& host : hosts) {
    const auto found = known.find(host.id);
    if (found == known.end()) {
      joined.push_back(host);
      continue;
    }
    if (!(*found->second == host)) {
      // A host whose addresses or failure domain changed counts as left and joined again.
      joined.push_back(host);
      left.insert(host.id);
    }
    known.erase(found);
  }
  for (const auto& [id, host] : known) {
    left.insert(id);
  }
  m_hosts = hosts;
  for (auto entry = m_homes.begin(); entry != m_homes.end();) {
    entry = may_change(entry->first, entry->second, joined, left) ? m_homes.erase(entry)
                                                                  : std::next(entry);
  }
}

const std::vector<HostInfo>&
HomeTable::homes(const ServiceName& service)
{
  const auto [found, added] = m_homes.try_emplace(service);
  if (added) {
    found->second = select_homes(service, m_hosts, m_count);
  }
  return found->second;
}

// The homes remain the same if none of them left and each joined host has a lower weight than all
// of them. If there are fewer than m_count homes, or two of one failure domain, a host with a lower
// weight can become a home too.
bool
HomeTable::may_change(const ServiceName& service,
                      const std::vector<HostInfo>& homes,
                      const std::vector<HostInfo>& joined,
                      const std::set<HostId>& left) const
{
  std::set<std::string> domains;
  std::uint64_t lowest_weight = std::numeric_limits<std::uint64_t>::max();
  for (const HostInfo& home : homes) {
    if (left.count(home.id) > 0) {
      return true;
    }
    domains.insert(home.failure_domain);
    if (!joined.empty()) {
      lowest_weight = std::min(lowest_weight, rendezvous_weight(service, home.id));
    }
  }
  const bool complete = domains.size() == m_count;
  return std::any_of(joined.begin(), joined.end(), [&](const HostInfo& host) {
    return !complete || rendezvous_weight(service, host.id) >= lowest_weight;
  });
}

} // namespace lovagehold
