#include "lovagehold/queue_drain.h"

#include "lovagehold/admission.h"

#include <gtest/gtest.h>
#include <map>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// A queue that serves one request each \p interval for some time while others wait.
QueueDrain
drain_after(milliseconds interval, milliseconds time)
{
  QueueDrain drain;
  TimePoint now = kStart;
  drain.advance(false, now);
  for (; now < kStart + time; now += interval) {
    drain.advance(true, now + interval);
    drain.count_served();
  }
  return drain;
}

// The wait of a request with an objective of 800 ms, of which 500 ms are left to start.
TimePoint
wait_end(const std::optional<QueueSpeed>& speed, std::size_t ahead)
{
  return AdmissionPolicy::wait_end({ .usual_end = kStart + milliseconds(100),
                                     .in_time_end = kStart + milliseconds(500),
                                     .ahead = ahead,
                                     .speed = speed },
                                   kStart);
}

// Load: a queue that moves at 50 requests per second, with pauses in which nobody waits. Guards
// against a rate that is too low because the queue was empty.
TEST(QueueDrain, RateIsThatOfTheTimeWithWaitingRequests)
{
  EXPECT_FALSE(drain_after(milliseconds(20), milliseconds(100)).speed().has_value());
  QueueDrain drain = drain_after(milliseconds(20), milliseconds(3000));
  ASSERT_TRUE(drain.speed().has_value());
  EXPECT_NEAR(drain.speed()->rate, 50, 3);
  drain.advance(false, kStart + milliseconds(4000));
  ASSERT_TRUE(drain.speed().has_value());
  EXPECT_NEAR(drain.speed()->rate, 50, 3);
  drain.advance(false, kStart + milliseconds(8000));
  EXPECT_FALSE(drain.speed().has_value());
}

// Load: a short burst at a queue of which nothing is known. Guards against requests that are
// refused, or wait longer, for no reason.
TEST(QueueDrain, UnknownQueueChangesNothing)
{
  EXPECT_EQ(wait_end(std::nullopt, 0), kStart + milliseconds(100));
  EXPECT_EQ(wait_end(std::nullopt, 100), kStart + milliseconds(100));
}

// Load: a long queue that moves at 50 requests per second. Guards against refusing requests that
// are served in time if they wait, and against letting others wait that can't be.
TEST(QueueDrain, FastQueueIsWorthALongerWait)
{
  const auto speed = drain_after(milliseconds(20), milliseconds(3000)).speed();
  EXPECT_EQ(wait_end(speed, 20), kStart + milliseconds(500));
  // Perhaps in time, if the queue becomes faster.
  EXPECT_EQ(wait_end(speed, 35), kStart + milliseconds(100));
  EXPECT_EQ(wait_end(speed, 60), kStart);
}

// Load: servers that take nothing for a second. Guards against a queue whose requests all wait in
// vain, and against one that nobody probes any more.
TEST(QueueDrain, StalledQueueKeepsOnlyItsFirstRequest)
{
  QueueDrain drain;
  drain.advance(false, kStart);
  drain.advance(true, kStart + milliseconds(1000));
  EXPECT_EQ(wait_end(drain.speed(), 0), kStart + milliseconds(100));
  EXPECT_EQ(wait_end(drain.speed(), 4), kStart);
}

// Load: 60 requests refused in one moment by a queue of 5 that moves at 100 requests per second.
// Guards against callers that return faster than capacity opens, or together.
TEST(QueueDrain, RefusedCallersReturnAtTheRateAtWhichCapacityOpens)
{
  ReturnSchedule schedule;
  const AdmissionPolicy policy;
  std::mt19937_64 random(1);
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 60; ++i) {
    const RefusalState state{ .waiting = 5,
                              .servers = 10,
                              .caller_deadline = kStart + std::chrono::seconds(10),
                              .opens_after = schedule.book(5, 100, kStart) };
    const milliseconds time = policy.retry_after(state, kStart, random);
    EXPECT_GE(time, milliseconds(50));
    ++returns[time.count() / 100];
  }
  for (const auto& [tenth, count] : returns) {
    // Capacity opens for 10 in each 100 ms.
    EXPECT_LE(count, 15) << tenth;
  }
  EXPECT_GE(returns.rbegin()->first, 5);
}

// Load: 1000 requests refused in one moment by a queue that moves at 20 requests per second. Guards
// against returns beyond what callers accept, and against most of them at the same latest time.
TEST(QueueDrain, ReturnsBeyondTheHorizonAreSpreadToo)
{
  ReturnSchedule schedule;
  const AdmissionPolicy policy;
  std::mt19937_64 random(1);
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 1000; ++i) {
    const RefusalState state{ .caller_deadline = kStart + milliseconds(1800),
                              .opens_after = schedule.book(5, 20, kStart) };
    const milliseconds time = policy.retry_after(state, kStart, random);
    EXPECT_LE(time, milliseconds(600));
    ++returns[time.count() / 50];
  }
  for (const auto& [bucket, count] : returns) {
    // 167 on average in each 50 ms from 300 to 600 ms.
    EXPECT_LT(count, 230) << bucket;
  }
}

} // namespace
} // namespace lovagehold
