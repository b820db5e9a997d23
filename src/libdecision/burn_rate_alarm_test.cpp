#include "lovagehold/burn_rate_alarm.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace lovagehold {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint{} + 1000s;

// Simulated traffic of a service: a daily cycle, a base failure rate of half the error budget, and
// short bursts of failures like those caused by restarts and by other tenants of a machine.
class Traffic
{
public:
  explicit Traffic(double burst_share)
    : m_burst_share(burst_share)
  {
  }

  void run(BurnRateAlarm& alarm, std::chrono::seconds at, double overload_share)
  {
    const double day = std::sin(static_cast<double>(at.count()) / 86400 * 2 * M_PI);
    const auto requests = std::poisson_distribution<std::uint64_t>(200 * (1.2 + day))(m_random);
    if (m_burst_seconds_left == 0 && std::bernoulli_distribution(1.0 / 600)(m_random)) {
      m_burst_seconds_left = 5;
    }
    const double share = m_burst_seconds_left > 0 ? m_burst_share : 0.0005;
    m_burst_seconds_left -= m_burst_seconds_left > 0 ? 1 : 0;
    const auto failed = count(requests, share);
    const auto overloaded = count(requests - failed, overload_share);
    const auto late = count(requests - failed - overloaded, overload_share / 10);
    alarm.record_failed(AlarmCause::ServerFailure, failed, kStart + at);
    alarm.record_failed(AlarmCause::Overload, overloaded, kStart + at);
    alarm.record_failed(AlarmCause::Late, late, kStart + at);
    alarm.record_good(requests - failed - overloaded - late, kStart + at);
  }

private:
  std::mt19937_64 m_random{ 20261204 };
  double m_burst_share;
  int m_burst_seconds_left = 0;

  std::uint64_t count(std::uint64_t requests, double share)
  {
    return std::binomial_distribution<std::uint64_t>(requests, share)(m_random);
  }
};

std::vector<AlarmEvent>
run_day(Traffic traffic)
{
  BurnRateAlarm alarm{ {} };
  std::vector<AlarmEvent> events;
  for (auto at = 0s; at < 24h; at += 1s) {
    traffic.run(alarm, at, 0);
    const auto more = alarm.update(kStart + at);
    events.insert(events.end(), more.begin(), more.end());
  }
  return events;
}

// Guards against false alarms, which operators learn to ignore.
TEST(BurnRateAlarm, NeverFiresDuringADayOfOrdinaryNoise)
{
  EXPECT_TRUE(run_day(Traffic(0.02)).empty());
}

// Shows that the check above can fail: bursts in which nearly every request fails raise an alarm.
TEST(BurnRateAlarm, NoiseCheckDetectsAnAlarm)
{
  EXPECT_FALSE(run_day(Traffic(0.9)).empty());
}

// Guards against a late alarm, a repeated alarm, and a second alarm for requests that are late as a
// consequence of the overload.
TEST(BurnRateAlarm, OverloadFiresOnceWithinFifteenSeconds)
{
  BurnRateAlarm alarm{ {} };
  Traffic traffic(0.02);
  std::vector<std::pair<std::chrono::seconds, AlarmEvent>> events;
  for (auto at = 0s; at < 2h; at += 1s) {
    const bool overload = at >= 30min && at < 40min;
    traffic.run(alarm, at, overload ? 1.0 / 3 : 0);
    for (const AlarmEvent& event : alarm.update(kStart + at)) {
      events.emplace_back(at, event);
    }
  }
  ASSERT_EQ(events.size(), 2U);
  EXPECT_TRUE(events[0].second.firing);
  EXPECT_EQ(events[0].second.cause, AlarmCause::Overload);
  EXPECT_LE(events[0].first, 30min + 15s);
  EXPECT_FALSE(events[1].second.firing);
  EXPECT_LE(events[1].first, 40min + 5min + 5s);
}

// Guards against an alarm that flaps around a threshold.
TEST(BurnRateAlarm, StaysFiringBetweenTheThresholds)
{
  BurnRateAlarm alarm{ {} };
  std::size_t events = 0;
  for (auto at = 0s; at < 1h; at += 1s) {
    const bool high = at / 1min % 2 == 0;
    alarm.record_failed(AlarmCause::ServerFailure, high ? 30 : 5, kStart + at);
    alarm.record_good(1000, kStart + at);
    events += alarm.update(kStart + at).size();
  }
  EXPECT_EQ(events, 1U);
}

// Guards against an alarm for a few failures of a service with little traffic.
TEST(BurnRateAlarm, FewFailuresOfASmallServiceAreNoAlarm)
{
  BurnRateAlarm alarm{ {} };
  alarm.record_good(10, kStart);
  alarm.record_failed(AlarmCause::ServerFailure, 5, kStart);
  EXPECT_TRUE(alarm.update(kStart).empty());
}

} // namespace
} // namespace lovagehold
