#pragma once

#include "lovagehold/types.h"

#include <array>

namespace lovagehold {

/// Mean and quantiles of a service's service times over a sliding window of samples. The quantiles
/// are recomputed every quarter of a window, so that adding a sample takes amortized constant time.
class ServiceTimeWindow
{
public:
  void add(Duration sample);

  /// Whether there are enough samples for estimates.
  bool is_known() const { return m_count >= kMinSamples; }
  Duration mean() const;
  Duration median() const { return m_median; }
  Duration p95() const { return m_p95; }

private:
  static constexpr std::size_t kWindowSamples = 256;
  static constexpr std::size_t kMinSamples = 16;

  std::array<Duration, kWindowSamples> m_samples{};
  std::size_t m_count = 0;
  std::size_t m_next = 0;
  Duration m_sum{};
  Duration m_median{};
  Duration m_p95{};

  void update_quantiles();
};

} // namespace lovagehold
