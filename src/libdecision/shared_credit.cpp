#include "lovagehold/shared_credit.h"

#include <algorithm>

namespace lovagehold {

SharedCredit::SharedCredit(double rate, double limit, double initial, TimePoint start)
  : m_rate(std::max(rate, 0.0))
  , m_limit(std::max(limit, 0.0))
  , m_credit(std::clamp(initial, 0.0, m_limit))
  , m_updated(start)
{
}

void
SharedCredit::configure(double rate, double limit, TimePoint now)
{
  refill(now);
  m_rate = std::max(rate, 0.0);
  m_limit = std::max(limit, 0.0);
  m_credit = std::min(m_credit, m_limit);
}

bool
SharedCredit::take(TimePoint now, std::mt19937_64& random)
{
  refill(now);
  const double probability = std::min(m_credit, 1.0);
  m_credit -= probability;
  return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

double
SharedCredit::credit(TimePoint now) const
{
  const Duration elapsed = std::max(now - m_updated, Duration::zero());
  return std::min(m_limit, m_credit + m_rate * std::chrono::duration<double>(elapsed).count());
}

void
SharedCredit::refill(TimePoint now)
{
  m_credit = credit(now);
  m_updated = std::max(m_updated, now);
}

} // namespace lovagehold
