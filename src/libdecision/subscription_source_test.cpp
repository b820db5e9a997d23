#include "lovagehold/subscription_source.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace lovagehold {
namespace {

constexpr int kControlHosts = 10;

std::vector<ControlAddress>
control_hosts()
{
  std::vector<ControlAddress> hosts;
  hosts.reserve(kControlHosts);
  for (int i = 0; i < kControlHosts; ++i) {
    hosts.push_back({ .address = "control-" + std::to_string(i),
                      .failure_domain = "domain-" + std::to_string(i / 2) });
  }
  return hosts;
}

std::string
source_of(int subscriber, const std::vector<ControlAddress>& hosts)
{
  return select_source(
    "entry-" + std::to_string(subscriber), "domain-" + std::to_string(subscriber % 5), hosts);
}

// Guards against the cold start of 450 entry hosts at the three control hosts of the settings: each
// of the others has to get its share.
TEST(SubscriptionSource, ColdStartSpreadsOverAllControlHosts)
{
  std::map<std::string, int> subscribers;
  for (int i = 0; i < 450; ++i) {
    ++subscribers[source_of(i, control_hosts())];
  }
  EXPECT_EQ(subscribers.size(), 10U);
  for (const auto& [host, count] : subscribers) {
    // 45 on average; four standard deviations of a random split between the two of a domain.
    EXPECT_NEAR(count, 45, 19) << host;
  }
}

// Guards against traffic between failure domains, and against subscribers that move although their
// own control host is not the one that was lost.
TEST(SubscriptionSource, StaysInTheFailureDomainAndMovesOnlyFromLostHosts)
{
  const auto hosts = control_hosts();
  auto reduced = hosts;
  reduced.erase(reduced.begin() + 3);
  for (int i = 0; i < 100; ++i) {
    const std::string before = source_of(i, hosts);
    const auto chosen = std::find_if(
      hosts.begin(), hosts.end(), [&](const auto& host) { return host.address == before; });
    EXPECT_EQ(chosen->failure_domain, "domain-" + std::to_string(i % 5));
    if (before != "control-3") {
      EXPECT_EQ(source_of(i, reduced), before);
    } else {
      EXPECT_EQ(source_of(i, reduced), "control-2");
    }
  }
  EXPECT_EQ(select_source("entry-1", "domain-9", { hosts[4] }), "control-4");
  EXPECT_EQ(select_source("entry-1", "domain-9", {}), "");
}

} // namespace
} // namespace lovagehold
