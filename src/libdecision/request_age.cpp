#include "lovagehold/request_age.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Callers that start with less time than before count as old for two periods at most.
constexpr std::chrono::seconds kPeriod{ 10 };
// Pairs of route and account. Further ones are not remembered and count as new.
constexpr std::size_t kMaxPairs = 4096;

} // namespace

Duration
RequestAge::estimate(const std::string& route,
                     const std::string& account,
                     Duration remaining,
                     TimePoint now)
{
  const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / kPeriod);
  if (m_largest.size() >= kMaxPairs) {
    remove_old(period);
  }
  if (m_largest.size() >= kMaxPairs && m_largest.count({ route, account }) == 0) {
    return Duration{ 0 };
  }
  Largest& largest = m_largest[{ route, account }];
  if (largest.period != period) {
    largest.previous = largest.period + 1 == period ? largest.present : Duration{ 0 };
    largest.present = Duration{ 0 };
    largest.period = period;
  }
  largest.present = std::max(largest.present, remaining);
  return std::max(largest.present, largest.previous) - remaining;
}

void
RequestAge::remove_old(std::uint64_t period)
{
  for (auto entry = m_largest.begin(); entry != m_largest.end();) {
    entry = entry->second.period + 1 < period ? m_largest.erase(entry) : std::next(entry);
  }
}

} // namespace lovagehold
