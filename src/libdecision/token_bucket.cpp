#include "token_bucket.h"

#include <algorithm>
#include <cmath>

namespace lovagehold {

namespace {

// Absorbs rounding errors, so that try_take() succeeds at available_at(); 1e-9 of a 6 ms probe is
// 6 ps.
constexpr double kTolerance = 1e-9;

double
seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

TokenBucket::TokenBucket(double rate_per_second, double capacity, double initial, TimePoint start)
  : m_rate(rate_per_second)
  , m_capacity(capacity)
  , m_level(initial)
  , m_updated(start)
{
}

double
TokenBucket::level(TimePoint now) const
{
  const double added = now > m_updated ? seconds(now - m_updated) * m_rate : 0;
  return std::min(m_capacity, m_level + added);
}

void
TokenBucket::refill(TimePoint now)
{
  m_level = level(now);
  m_updated = std::max(m_updated, now);
}

bool
TokenBucket::try_take(double amount, TimePoint now)
{
  refill(now);
  if (m_level + kTolerance < amount) {
    return false;
  }
  m_level -= amount;
  return true;
}

void
TokenBucket::add(double amount, TimePoint now)
{
  refill(now);
  m_level = std::min(m_capacity, m_level + amount);
}

void
TokenBucket::charge(double amount, TimePoint now)
{
  refill(now);
  m_level -= amount;
}

TimePoint
TokenBucket::available_at(double amount) const
{
  if (m_level + kTolerance >= amount) {
    return m_updated;
  }
  if (m_rate <= 0 || amount > m_capacity) {
    return TimePoint::max();
  }
  const double wait_ns = std::ceil((amount - m_level) / m_rate * 1e9);
  // Limited to 9e17 ns (28 years), so that the time point does not overflow.
  return m_updated + std::chrono::nanoseconds(static_cast<std::int64_t>(std::min(wait_ns, 9e17)));
}

} // namespace lovagehold
