#include "lovagehold/request_age.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Load: callers that repeat refused requests with less and less time. Guards against repeated
// requests that count as new.
TEST(RequestAge, IsWhatIsMissingFromTheLargestTime)
{
  RequestAge age;
  EXPECT_EQ(age.estimate("r", "a", milliseconds(2000), kStart), milliseconds(0));
  EXPECT_EQ(age.estimate("r", "a", milliseconds(1400), kStart), milliseconds(600));
  EXPECT_EQ(age.estimate("r", "a", milliseconds(1400), kStart + seconds(10)), milliseconds(600));
}

// Guards against callers of one account that make those of others look old, and against a time that
// counts for ever after callers have changed it.
TEST(RequestAge, OnlyRecentTimesOfTheSameCallersCount)
{
  RequestAge age;
  age.estimate("r", "a", seconds(1000), kStart);
  EXPECT_EQ(age.estimate("r", "b", seconds(2), kStart), seconds(0));
  EXPECT_EQ(age.estimate("s", "a", seconds(2), kStart), seconds(0));
  EXPECT_EQ(age.estimate("r", "a", seconds(2), kStart + seconds(20)), seconds(0));
}

// Guards against memory that grows with the accounts that ever sent a request.
TEST(RequestAge, PairsAreBounded)
{
  RequestAge age;
  for (int i = 0; i < 5000; ++i) {
    const auto account = std::to_string(i);
    age.estimate("r", account, seconds(2), kStart);
    EXPECT_EQ(age.estimate("r", account, seconds(1), kStart), seconds(i < 4096 ? 1 : 0));
  }
  age.estimate("r", "new", seconds(2), kStart + seconds(20));
  EXPECT_EQ(age.estimate("r", "new", seconds(1), kStart + seconds(20)), seconds(1));
}

} // namespace
} // namespace lovagehold
