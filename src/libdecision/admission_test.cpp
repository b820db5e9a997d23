#include "lovagehold/admission.h"

#include <gtest/gtest.h>
#include <map>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

class AdmissionTest : public ::testing::Test
{
protected:
  milliseconds retry_after(const RefusalState& state)
  {
    return m_policy.retry_after(state, kStart, m_random);
  }

  AdmissionPolicy m_policy;
  std::mt19937_64 m_random{ 1 };
};

// Guards against a request that is accepted late in a planned stop and cut off at its end, and
// against one that is refused although it ends in time whatever happens.
TEST_F(AdmissionTest, RequestThatMayOutliveTheShutdownIsRefused)
{
  const ShutdownPeriod shutdown{ .begin = kStart, .end = kStart + milliseconds(5600) };
  const auto accepts = [&](RouteKind kind, milliseconds at, milliseconds time) {
    const TimePoint now = kStart + at;
    return m_policy.accepts(
      { .kind = kind, .target_latency = milliseconds(600), .deadline = now + time }, shutdown, now);
  };
  for (const RouteKind kind : { RouteKind::Idempotent, RouteKind::NonIdempotent }) {
    EXPECT_TRUE(accepts(kind, milliseconds(4400), milliseconds(1200)));
    EXPECT_FALSE(accepts(kind, milliseconds(4401), milliseconds(1200)));
    EXPECT_FALSE(accepts(kind, milliseconds(3000), milliseconds(5000)));
  }
  EXPECT_TRUE(accepts(RouteKind::Idempotent, milliseconds(1400), milliseconds(5000)));
  EXPECT_FALSE(accepts(RouteKind::NonIdempotent, milliseconds(1400), milliseconds(5000)));
}

// Guards against waits that leave no time to come back, and against attempts that can't end in
// time.
TEST_F(AdmissionTest, WaitIsAShareOfTheObjectiveAndEndsBeforeTheDeadline)
{
  const TimePoint far = kStart + std::chrono::seconds(10);
  EXPECT_EQ(m_policy.latest_start(kStart, milliseconds(800), far), kStart + milliseconds(100));
  const TimePoint near = kStart + milliseconds(60);
  EXPECT_EQ(m_policy.latest_start(kStart, milliseconds(800), near), kStart + milliseconds(40));
  EXPECT_TRUE(m_policy.has_time_for_attempt(kStart, near));
  EXPECT_FALSE(m_policy.has_time_for_attempt(kStart + milliseconds(40), near));
}

// Guards against a synchronized return: callers refused in one moment of a burst would come back in
// one moment and be refused again.
TEST_F(AdmissionTest, SynchronizedReturnIsSpread)
{
  const RefusalState state{ .mean_request_time = milliseconds(400),
                            .waiting = 20,
                            .servers = 20,
                            .caller_deadline = kStart + std::chrono::seconds(10) };
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 1000; ++i) {
    const milliseconds time = retry_after(state);
    EXPECT_GE(time, milliseconds(200));
    EXPECT_LE(time, milliseconds(600));
    ++returns[time.count() / 50];
  }
  for (const auto& [bucket, count] : returns) {
    // 125 on average in each 50 ms.
    EXPECT_LT(count, 180) << bucket;
  }
}

// Guards against a retry storm: with a longer queue callers have to come back later.
TEST_F(AdmissionTest, RetryStormIsAskedToComeBackLater)
{
  RefusalState state{ .mean_request_time = milliseconds(200),
                      .servers = 10,
                      .caller_deadline = kStart + std::chrono::seconds(10) };
  const auto mean = [&] {
    milliseconds sum{ 0 };
    for (int i = 0; i < 200; ++i) {
      sum += retry_after(state);
    }
    return sum / 200;
  };
  const milliseconds calm = mean();
  state.waiting = 40;
  EXPECT_GT(mean(), 3 * calm);
}

// Guards against a time after which the caller has given up, and against one of zero or less.
TEST_F(AdmissionTest, ReturnLeavesTheCallerTwoThirdsOfItsTime)
{
  for (int left = -50; left < 3000; left += 50) {
    const milliseconds time = retry_after({ .mean_request_time = std::chrono::seconds(2),
                                            .waiting = 100,
                                            .servers = 1,
                                            .caller_deadline = kStart + milliseconds(left) });
    EXPECT_LE(time, milliseconds(std::max(0, left / 3 + 1)));
    EXPECT_GE(time, milliseconds(0));
  }
}

// Guards against callers that return while all servers have asked for a pause.
TEST_F(AdmissionTest, NobodyReturnsBeforeThePauseEnds)
{
  for (int i = 0; i < 100; ++i) {
    const milliseconds time = retry_after({ .pause_end = kStart + milliseconds(2500),
                                            .servers = 3,
                                            .caller_deadline = kStart + milliseconds(600) });
    EXPECT_GE(time, milliseconds(2500));
    EXPECT_LE(time, milliseconds(2600));
  }
}

} // namespace
} // namespace lovagehold
