#include "evacuation_summary.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using nlohmann::json;
using Lines = std::vector<std::string>;

HostPage
page(const std::string& id, const json& evacuations)
{
  HostPage host{ .id = id, .page = { { "host", id } }, .responded = true };
  if (!evacuations.empty()) {
    host.page["evacuations"] = evacuations;
  }
  return host;
}

HostPage
leader(const std::string& id, std::uint64_t term, const json& evacuations)
{
  HostPage host = page(id, evacuations);
  host.page["group"] = { { "leads", true }, { "term", term } };
  return host;
}

// Guards against hosts that still send requests to the domain and that the operator doesn't see:
// those that lack the order, follow an earlier one of the same domain or don't respond.
TEST(EvacuationSummary, NamesTheHostsThatDoNotFollow)
{
  const HostPage silent{ .id = "silent", .responded = false };
  const json merged = merge_evacuation_pages({ leader("old", 6, { { "x", 1 } }),
                                               leader("c", 7, { { "b", 9 }, { "x", 4 } }),
                                               page("e1", { { "b", 9 }, { "x", 4 } }),
                                               page("e2", { { "x", 5 } }),
                                               page("e3", json()),
                                               silent });
  EXPECT_EQ(describe_evacuations(merged),
            (Lines{ "",
                    "evacuated: b, order 9: 2 of 6 hosts follow; not: old, e2, e3, silent",
                    "evacuated: x, order 4: 3 of 6 hosts follow; not: old, e3, silent" }));
}

// Guards against an order that looks as if it were in force because a host lacks its withdrawal.
TEST(EvacuationSummary, TellsWithdrawnOrders)
{
  const json merged = merge_evacuation_pages(
    { leader("c", 7, json()), page("e1", { { "b", 9 } }), page("e2", json()) });
  EXPECT_EQ(describe_evacuations(merged),
            (Lines{ "", "evacuated: b, order 9, withdrawn: 2 of 3 hosts follow; not: e1" }));
}

// Guards against orders that are not shown while the group has no leader, and against output
// without any order.
TEST(EvacuationSummary, WithoutALeaderTheOrdersOfAllHostsCount)
{
  EXPECT_EQ(describe_evacuations(
              merge_evacuation_pages({ page("e1", { { "b", 9 } }), page("e2", json()) })),
            (Lines{ "", "evacuated: b, order 9: 1 of 2 hosts follow; not: e2" }));
  EXPECT_EQ(describe_evacuations(merge_evacuation_pages({ leader("c", 7, json()) })), Lines());
}

} // namespace
} // namespace lovagehold
