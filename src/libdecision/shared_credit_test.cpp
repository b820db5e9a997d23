#include "lovagehold/shared_credit.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against shares that exceed the rate together, or leave much of it unused, because each
// host rounds its small share up or down.
TEST(SharedCredit, SumOverHostsIsTheRate)
{
  for (const std::size_t hosts : { 1U, 7U, 203U }) {
    for (const double rate : { 1.6, 40.0 }) {
      std::mt19937_64 random(hosts);
      std::vector<SharedCredit> credits(
        hosts, SharedCredit(rate / static_cast<double>(hosts), 2, 0, kStart));
      double admitted = 0;
      for (TimePoint now = kStart; now < kStart + seconds(600); now += milliseconds(5)) {
        admitted += credits[random() % hosts].take(now, random) ? 1 : 0;
      }
      EXPECT_NEAR(admitted / 600, rate, 0.15 * rate) << hosts;
    }
  }
}

// Guards against credit of an idle time that is spent at once.
TEST(SharedCredit, CreditIsLimited)
{
  std::mt19937_64 random(1);
  SharedCredit credit(100, 2, 50, kStart);
  EXPECT_EQ(credit.credit(kStart), 2);
  const TimePoint now = kStart + seconds(60);
  EXPECT_TRUE(credit.take(now, random));
  EXPECT_TRUE(credit.take(now, random));
  EXPECT_FALSE(credit.take(now, random));
  credit.configure(0, 1, now);
  EXPECT_EQ(credit.credit(now + seconds(60)), 0);
}

// Guards against credit for a time that has been counted already.
TEST(SharedCredit, EarlierTimeAddsNothing)
{
  std::mt19937_64 random(1);
  SharedCredit credit(1, 2, 0, kStart);
  EXPECT_TRUE(credit.take(kStart + seconds(1), random));
  EXPECT_EQ(credit.credit(kStart), 0);
  EXPECT_FALSE(credit.take(kStart + seconds(1), random));
}

} // namespace
} // namespace lovagehold
