#include "lovagehold/routing_table.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

RoutingConfig
make_config(std::vector<Route> routes)
{
  return { .version = 1, .hosts = { { .name = "desk.example", .routes = std::move(routes) } } };
}

Route
make_route(const std::string& prefix, std::vector<RouteTarget> targets)
{
  return { .name = "r" + prefix, .path_prefix = prefix, .targets = std::move(targets) };
}

// Guards against routing a request by a shorter prefix than the longest match.
TEST(RoutingTable, LongestPrefixOfTheHostSelectsTheRoute)
{
  const RoutingTable table(
    make_config({ make_route("/a/", { { "short" } }), make_route("/a/b/", { { "long" } }) }), 1);
  EXPECT_EQ(table.find("desk.example", "/a/b/c")->name, "r/a/b/");
  EXPECT_EQ(table.find("desk.example:80", "/a/x")->name, "r/a/");
  EXPECT_EQ(table.find("desk.example", "/a"), nullptr);
  EXPECT_EQ(table.find("other.example", "/a/b/c"), nullptr);
}

// Guards against shares that deviate from the weights, also if many hosts get few requests each.
RC_GTEST_PROP(RoutingTable, SharesFollowTheWeights, ())
{
  const auto first = *rc::gen::inRange(1, 100);
  const auto second = *rc::gen::inRange(1, 100);
  const auto hosts = *rc::gen::element(1, 5, 29);
  constexpr int kRequests = 600;
  constexpr double kAllowed = 0.1;
  std::map<ServiceName, int> counts;
  for (int host = 0; host < hosts; ++host) {
    RoutingTable table(
      make_config({ make_route("/a/",
                               { { .service = "x", .weight = static_cast<double>(first) },
                                 { .service = "y", .weight = static_cast<double>(second) } }) }),
      static_cast<std::uint64_t>(host) + 1);
    const std::shared_ptr<const Route> route = table.find("desk.example", "/a/");
    for (int i = 0; i < kRequests / hosts; ++i) {
      ++counts[table.next_target(*route)];
    }
  }
  const double total = counts["x"] + counts["y"];
  const double share = static_cast<double>(first) / (first + second);
  RC_ASSERT(std::abs(counts["x"] / total - share) < kAllowed);
}

// Guards against routing requests to a service of weight 0.
TEST(RoutingTable, ZeroWeightGetsNothing)
{
  RoutingTable table(
    make_config({ make_route("/a/", { { .service = "x", .weight = 0 }, { .service = "y" } }) }), 3);
  const std::shared_ptr<const Route> route = table.find("desk.example", "/a/");
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(table.next_target(*route), "y");
  }
}

} // namespace
} // namespace lovagehold
