#include "service_time_window.h"

#include <algorithm>

namespace lovagehold {

void
ServiceTimeWindow::add(Duration sample)
{
  m_sum += sample - m_samples[m_next];
  m_samples[m_next] = sample;
  m_next = (m_next + 1) % kWindowSamples;
  m_count = std::min(m_count + 1, kWindowSamples);
  if (m_next % (kWindowSamples / 4) == 0 ||
      (m_count < kWindowSamples / 4 && m_count % kMinSamples == 0)) {
    update_quantiles();
  }
}

Duration
ServiceTimeWindow::mean() const
{
  return m_count == 0 ? Duration::zero() : m_sum / static_cast<Duration::rep>(m_count);
}

void
ServiceTimeWindow::update_quantiles()
{
  std::array<Duration, kWindowSamples> sorted = m_samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
  const auto high = sorted.begin() + static_cast<std::ptrdiff_t>(m_count * 95 / 100);
  std::nth_element(sorted.begin(), high, end);
  m_p95 = *high;
  std::nth_element(sorted.begin(), middle, high + 1);
  m_median = *middle;
}

} // namespace lovagehold
