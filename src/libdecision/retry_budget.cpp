#include "lovagehold/retry_budget.h"

namespace lovagehold {

void
RetryBudget::expire(TimePoint now)
{
  for (std::deque<TimePoint>* times : { &m_requests, &m_extra_attempts }) {
    while (!times->empty() && now - times->front() >= m_options.window) {
      times->pop_front();
    }
  }
}

void
RetryBudget::count_request(TimePoint now)
{
  expire(now);
  m_requests.push_back(now);
}

double
RetryBudget::left(TimePoint now)
{
  expire(now);
  const double allowed = m_options.ratio * static_cast<double>(m_requests.size()) +
                         m_options.slack / static_cast<double>(m_hosts);
  return allowed * m_options.margin - static_cast<double>(m_extra_attempts.size());
}

bool
RetryBudget::take(TimePoint now)
{
  if (left(now) < 1) {
    return false;
  }
  m_extra_attempts.push_back(now);
  return true;
}

} // namespace lovagehold
