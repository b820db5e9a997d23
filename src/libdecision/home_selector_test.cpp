#include "lovagehold/home_selector.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace lovagehold {
namespace {

std::vector<HostInfo>
make_hosts(std::size_t count)
{
  std::vector<HostInfo> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    hosts.push_back({ .id = "entry-" + number,
                      .failure_domain = "domain-" + std::to_string(i % 3),
                      .caller_address = "127.0.0.1:" + number });
  }
  return hosts;
}

// Guards against the loss of a host moving services that it did not own.
TEST(HomeSelector, LosingAHostMovesOnlyItsServices)
{
  const std::vector<HostInfo> before = make_hosts(29);
  std::vector<HostInfo> after = before;
  after.erase(after.begin() + 7);
  for (int i = 0; i < 1000; ++i) {
    const std::string service = "service-" + std::to_string(i);
    const HostId owner = select_owner(service, before);
    if (owner != before[7].id) {
      EXPECT_EQ(owner, select_owner(service, after));
    }
  }
}

// Guards against homes that share a failure domain and so fail together.
TEST(HomeSelector, ListsOwnerFirstAndSpreadsOverFailureDomains)
{
  const std::vector<HostInfo> hosts = make_hosts(29);
  for (int i = 0; i < 100; ++i) {
    const std::string service = "service-" + std::to_string(i);
    const std::vector<HostInfo> homes = select_homes(service, hosts, 3);
    ASSERT_EQ(homes.size(), 3U);
    EXPECT_EQ(homes[0].id, select_owner(service, hosts));
    std::set<std::string> domains;
    for (const HostInfo& home : homes) {
      domains.insert(home.failure_domain);
    }
    EXPECT_EQ(domains.size(), 3U);
  }
}

// Guards against a skewed hash that assigns most services to one host.
TEST(HomeSelector, SpreadsServicesOverHosts)
{
  const std::vector<HostInfo> hosts = make_hosts(29);
  std::map<HostId, int> owned;
  for (int i = 0; i < 1800; ++i) {
    ++owned[select_owner("service-" + std::to_string(i), hosts)];
  }
  EXPECT_EQ(owned.size(), 29U);
  for (const auto& [host, count] : owned) {
    EXPECT_LT(count, 3 * 1800 / 29) << host;
  }
}

TEST(HomeSelector, NoHostGivesNoOwner)
{
  EXPECT_TRUE(select_owner("s", {}).empty());
  EXPECT_TRUE(select_homes("s", {}, 3).empty());
}

} // namespace
} // namespace lovagehold
