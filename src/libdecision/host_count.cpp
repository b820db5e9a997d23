#include "lovagehold/host_count.h"

#include <algorithm>

namespace lovagehold {

void
HostCount::report(std::size_t hosts, TimePoint now)
{
  while (!m_reports.empty() && now - m_reports.front().second >= m_options.retention) {
    m_reports.pop_front();
  }
  if (m_reports.empty() || hosts > m_reports.front().first) {
    m_increased_at = now;
  }
  m_stable = m_stable || now - m_increased_at >= m_options.stable_after;
  while (!m_reports.empty() && m_reports.back().first <= hosts) {
    m_reports.pop_back();
  }
  m_reports.emplace_back(hosts, now);
}

std::size_t
HostCount::value(TimePoint now) const
{
  std::size_t hosts = m_stable ? 1 : m_options.assumed;
  for (const auto& [reported, time] : m_reports) {
    // The last report counts however old it is: a host without contact keeps it.
    if (now - time < m_options.retention || time == m_reports.back().second) {
      hosts = std::max(hosts, reported);
    }
  }
  return hosts;
}

} // namespace lovagehold
