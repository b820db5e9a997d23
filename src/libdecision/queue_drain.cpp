#include "lovagehold/queue_drain.h"

#include <algorithm>
#include <cmath>

namespace lovagehold {

namespace {

// Long enough for some requests at the rates of one entry host, short enough to follow an overload.
constexpr double kMemorySeconds = 1;
// Less time with waiting requests says nothing: servers of the platform need 100 ms and more.
constexpr double kMinBusySeconds = 0.2;
constexpr double kMinServed = 2;
// Requests are refused only if the queue would have to move at more than this multiple of its rate.
constexpr double kHighestRateFactor = 2;
// A later return is beyond what callers accept, so no return is booked behind it.
constexpr std::chrono::seconds kHorizon{ 1 };

Duration
to_duration(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void
QueueDrain::advance(bool waiting, TimePoint now)
{
  const double elapsed = m_updated ? std::chrono::duration<double>(now - *m_updated).count() : 0;
  m_updated = now;
  const double kept = std::exp(-elapsed / kMemorySeconds);
  m_served *= kept;
  m_busy = m_busy * kept + (waiting ? kMemorySeconds * (1 - kept) : 0);
}

std::optional<QueueSpeed>
QueueDrain::speed() const
{
  if (m_busy < kMinBusySeconds) {
    return std::nullopt;
  }
  // One request more than were served, because the next one may be about to leave.
  return QueueSpeed{ .rate = m_served < kMinServed ? 0 : m_served / m_busy,
                     .highest_rate = kHighestRateFactor * (m_served + 1) / m_busy };
}

Duration
ReturnSchedule::book(std::size_t waiting, double rate, TimePoint now)
{
  const Duration interval = to_duration(std::min(1 / rate, 1.0));
  const double drained = std::min(static_cast<double>(waiting) / rate, 1.0);
  const TimePoint start = std::max(now + to_duration(drained), m_next);
  m_next = std::min(start + interval, now + kHorizon);
  return start + interval - now;
}

} // namespace lovagehold
