#include "lovagehold/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against hosts that together make more attempts beyond the first than the operator allows
// in any window.
RC_GTEST_PROP(RetryBudget, AllHostsTogetherKeepTheBudget, ())
{
  const RetryBudgetOptions options{ .window = milliseconds(1000), .ratio = 0.2, .slack = 12 };
  const auto hosts = *rc::gen::inRange<std::size_t>(1, 6);
  std::vector<RetryBudget> budgets(hosts, RetryBudget(options));
  for (RetryBudget& budget : budgets) {
    budget.set_hosts(hosts);
  }
  std::vector<std::pair<TimePoint, bool>> history;
  TimePoint now = kStart;
  const auto count = *rc::gen::inRange(0, 400);
  for (int i = 0; i < count; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 20));
    const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
    if (*rc::gen::arbitrary<bool>()) {
      budgets[host].count_request(now);
      history.emplace_back(now, true);
    } else if (budgets[host].take(now)) {
      history.emplace_back(now, false);
    }
  }
  for (const auto& [end, kind] : history) {
    double requests = 0;
    double extra_attempts = 0;
    for (const auto& [time, is_request] : history) {
      const bool in_window = time <= end && end - time < options.window;
      // When an attempt was taken, requests of up to one window before it were counted.
      const bool counted = time <= end && end - time < 2 * options.window;
      requests += is_request && counted ? 1 : 0;
      extra_attempts += !is_request && in_window ? 1 : 0;
    }
    RC_ASSERT(extra_attempts <= options.ratio * requests + options.slack);
  }
}

// Guards against a budget that is not replenished.
TEST(RetryBudget, IsReplenishedAfterTheWindow)
{
  RetryBudget budget({ .window = milliseconds(100), .slack = 2, .margin = 1 });
  EXPECT_TRUE(budget.take(kStart));
  EXPECT_TRUE(budget.take(kStart));
  EXPECT_FALSE(budget.take(kStart + milliseconds(99)));
  EXPECT_TRUE(budget.take(kStart + milliseconds(100)));
}

} // namespace
} // namespace lovagehold
