#include "lovagehold/link_pacer.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Links from this rate on are not paced: 4 KB take 1 ms.
constexpr double kFastLinkMbps = 32;
constexpr double kBytesPerMegabit = 1e6 / 8;

} // namespace

bool
LinkPacer::active() const
{
  return m_options.link_mbps > 0 && m_options.link_mbps < kFastLinkMbps;
}

TimePoint
LinkPacer::reserve(std::size_t bytes, TimePoint now)
{
  if (!active()) {
    return now;
  }
  const double bytes_per_second = m_options.link_mbps * kBytesPerMegabit * m_options.share;
  const std::chrono::duration<double> taken(static_cast<double>(bytes) / bytes_per_second);
  const TimePoint start = std::max(m_free_at, now);
  m_free_at = start + std::chrono::duration_cast<Duration>(taken);
  return start;
}

} // namespace lovagehold
