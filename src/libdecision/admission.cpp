#include "lovagehold/admission.h"

#include <algorithm>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// Assumed before the first request of a service has been served.
constexpr milliseconds kDefaultMeanTime{ 200 };
// A slot of a busy server becomes free after half of a request's time on average.
constexpr double kTimeToFreeSlot = 0.5;
// Range of the random factor that spreads returns.
constexpr double kMinSpread = 0.5;
constexpr double kMaxSpread = 1.5;

// Range of the random factor for a return at a time of its own, which needs no further spread.
constexpr double kBookedSpread = 0.1;

milliseconds
scaled(Duration duration, double factor)
{
  return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(duration) * factor);
}

// \return when a request with \p ahead others before it is served, at \p rate requests per second
TimePoint
expected_start(std::size_t ahead, double rate, TimePoint now)
{
  constexpr double kFarSeconds = 3600;
  const double seconds = rate > 0 ? static_cast<double>(ahead + 1) / rate : kFarSeconds;
  return now + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(std::min(seconds, kFarSeconds)));
}

} // namespace

TimePoint
AdmissionPolicy::wait_end(const WaitState& state, TimePoint now)
{
  if (!state.speed) {
    return state.usual_end;
  }
  const TimePoint end = std::max(state.usual_end, state.in_time_end);
  if (expected_start(state.ahead, state.speed->rate, now) <= end) {
    return end;
  }
  const bool hopeless = expected_start(state.ahead, state.speed->highest_rate, now) > end;
  return hopeless && state.ahead > 0 ? now : state.usual_end;
}

TimePoint
AdmissionPolicy::latest_start(TimePoint since,
                              milliseconds target_latency,
                              TimePoint deadline) const
{
  return std::min<TimePoint>(since + scaled(target_latency, m_options.wait_share),
                             deadline - m_options.min_attempt_time);
}

bool
AdmissionPolicy::accepts(const ShutdownArrival& arrival,
                         const ShutdownPeriod& shutdown,
                         TimePoint now) const
{
  if (arrival.deadline <= shutdown.end) {
    return true;
  }
  const auto early = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(shutdown.end - shutdown.begin) * m_options.shutdown_early_share);
  return arrival.kind == RouteKind::Idempotent && now <= shutdown.begin + early &&
         now + m_options.shutdown_latency_factor * arrival.target_latency <= shutdown.end;
}

milliseconds
AdmissionPolicy::retry_after(const RefusalState& state,
                             TimePoint now,
                             std::mt19937_64& random) const
{
  const double spread = std::uniform_real_distribution<double>(kMinSpread, kMaxSpread)(random);
  const Duration mean = state.mean_request_time.value_or(kDefaultMeanTime);
  const double queue = 1 + static_cast<double>(state.waiting) /
                             static_cast<double>(std::max<std::size_t>(state.servers, 1));
  const milliseconds limit =
    std::max(scaled(state.caller_deadline - now, m_options.max_return_share), milliseconds(0));
  milliseconds time{ 0 };
  if (state.opens_after) {
    const double factor = 1 + 2 * kBookedSpread * (spread - 1);
    const milliseconds longest = std::min(m_options.max_return, limit);
    time = std::max(scaled(*state.opens_after, factor), m_options.min_return);
    // Those that would come too late are spread too, instead of returning together.
    time = time > longest ? scaled(longest, 0.5 + 0.5 * (spread - kMinSpread)) : time;
  } else {
    time = std::clamp(
      scaled(mean, kTimeToFreeSlot * queue * spread), m_options.min_return, m_options.max_return);
  }
  time = std::min(time, limit);
  // A return before the end of the pause would be refused again, whatever the caller's limit is.
  if (state.pause_end) {
    const Duration pause = *state.pause_end - now;
    const auto pause_ms = std::chrono::ceil<milliseconds>(pause);
    time = std::max(time, pause_ms + scaled(milliseconds(100), spread - kMinSpread));
  }
  return time;
}

} // namespace lovagehold
