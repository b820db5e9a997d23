#include "account_counters.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Guards against metrics that grow with each account that ever was, and against new accounts that
// get no counters because of removed ones.
TEST(AccountCounters, NumberOfSeriesIsBounded)
{
  AccountTable table;
  table.apply({ .accounts = { { .name = "a" }, { .name = "b" }, { .name = "c" } } });
  AccountCounters counters(2);
  MetricsText unused;
  counters.render(unused);
  EXPECT_TRUE(unused.text().empty());
  for (const char* name : { "a", "b", "c" }) {
    counters.count_request(table.find(name).get(), RouteKind::Upload, table);
  }
  MetricsText full;
  counters.render(full);
  EXPECT_NE(full.text().find(R"({account="b",scope="own",kind="upload"} 1)"), std::string::npos);
  EXPECT_NE(full.text().find(R"({account="",scope="other",kind="upload"} 1)"), std::string::npos);
  EXPECT_EQ(full.text().find(R"(account="c")"), std::string::npos);
  table.apply({ .removed_accounts = { "a" } });
  counters.count_refusal(
    table.find("c").get(), RouteKind::Idempotent, RefusalCause::OutOfTime, table);
  MetricsText changed;
  counters.render(changed);
  EXPECT_EQ(changed.text().find(R"(account="a")"), std::string::npos);
  EXPECT_NE(changed.text().find(
              R"(refused_total{account="c",scope="own",kind="idempotent",reason="out_of_time"} 1)"),
            std::string::npos);
}

} // namespace
} // namespace lovagehold
