#include "lovagehold/home_selector.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace lovagehold {

namespace {

struct WeightedHost
{
  std::uint64_t weight = 0;
  const HostInfo* host = nullptr;
};

bool
heavier(const WeightedHost& a, const WeightedHost& b)
{
  return a.weight != b.weight ? a.weight > b.weight : a.host->id < b.host->id;
}

std::vector<WeightedHost>
weigh(std::string_view service, const std::vector<HostInfo>& hosts)
{
  std::vector<WeightedHost> weighted;
  weighted.reserve(hosts.size());
  for (const HostInfo& host : hosts) {
    if (!host.caller_address.empty()) {
      weighted.push_back({ rendezvous_weight(service, host.id), &host });
    }
  }
  return weighted;
}

} // namespace

std::uint64_t
rendezvous_weight(std::string_view service, const HostId& host)
{
  return XXH64(host.data(), host.size(), XXH64(service.data(), service.size(), 0));
}

std::vector<HostInfo>
select_homes(std::string_view service, const std::vector<HostInfo>& hosts, std::size_t count)
{
  std::vector<WeightedHost> weighted = weigh(service, hosts);
  std::sort(weighted.begin(), weighted.end(), heavier);
  std::vector<HostInfo> homes;
  std::set<std::string> domains;
  // The first pass takes one host of each failure domain, the second fills up by weight.
  std::vector<const HostInfo*> remaining_hosts;
  for (const WeightedHost& entry : weighted) {
    if (homes.size() < count && domains.insert(entry.host->failure_domain).second) {
      homes.push_back(*entry.host);
    } else {
      remaining_hosts.push_back(entry.host);
    }
  }
  for (const HostInfo* host : remaining_hosts) {
    if (homes.size() >= count) {
      break;
    }
    homes.push_back(*host);
  }
  return homes;
}

HostId
select_owner(std::string_view service, const std::vector<HostInfo>& hosts)
{
  const std::vector<WeightedHost> weighted = weigh(service, hosts);
  const auto best = std::min_element(weighted.begin(), weighted.end(), heavier);
  return best == weighted.end() ? HostId() : best->host->id;
}

} // namespace lovagehold
