#include "lovagehold/server_selector.h"

#include <algorithm>
#include <utility>

namespace lovagehold {

void
ServerSelector::set_evacuated(std::set<std::string> domains, Duration warmup, TimePoint now)
{
  m_evacuated = std::move(domains);
  for (auto& [id, state] : m_servers) {
    const bool was_evacuated =
      std::exchange(state.evacuated, m_evacuated.contains(state.info.failure_domain));
    if (was_evacuated && !state.evacuated) {
      hold_cold(id, warmup, now);
      state.load = {};
      state.report_time.reset();
      state.started_since_report = 0;
    }
  }
  choose_subset();
}

// Only while an evacuation is in force: a host without local servers otherwise has no preferred
// subset.
bool
ServerSelector::prefers_other_domains() const
{
  return !m_evacuated.empty() &&
         std::none_of(m_servers.begin(), m_servers.end(), [this](const auto& entry) {
           return !entry.second.evacuated &&
                  entry.second.info.failure_domain == m_options.failure_domain;
         });
}

std::size_t
ServerSelector::evacuated_count() const
{
  return static_cast<std::size_t>(std::count_if(
    m_servers.begin(), m_servers.end(), [](const auto& entry) { return entry.second.evacuated; }));
}

} // namespace lovagehold
