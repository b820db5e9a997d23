#include "lovagehold/home_selector.h"
#include "lovagehold/home_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

// Guards against stale cached homes after a change of the hosts.
RC_GTEST_PROP(HomeTable, AgreesWithSelectionFromScratch, ())
{
  HomeTable table(3);
  std::map<HostId, HostInfo> current_hosts;
  const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 4)));
  for (const auto& [number, domain] : changes) {
    const HostId id = "host-" + std::to_string(number);
    if (current_hosts.erase(id) == 0 || domain == 0) {
      current_hosts[id] = { .id = id,
                            .failure_domain = "domain-" + std::to_string(domain),
                            .caller_address = "127.0.0.1:" + std::to_string(domain) };
    }
    std::vector<HostInfo> hosts;
    hosts.reserve(current_hosts.size());
    for (const auto& [key, host] : current_hosts) {
      hosts.push_back(host);
    }
    table.set_hosts(hosts);
    for (int i = 0; i < 20; ++i) {
      const ServiceName service = "service-" + std::to_string(i);
      RC_ASSERT((table.homes(service) == select_homes(service, hosts, 3)));
    }
  }
}

} // namespace
} // namespace lovagehold
