#pragma once

#include "lovagehold/types.h"

#include <array>

namespace lovagehold {

/// Mean and quantiles of the latest service times of one service. The quantiles are recomputed
/// once in a quarter of the window, so that adding a sample costs constant time on average.
class ServiceTimeWindow
{
public:
  void add(Duration sample);

  /// Whether enough samples exist for estimates.
  bool is_known() const { return m_count >= kMinimum; }
  Duration mean() const;
  Duration median() const { return m_median; }
  Duration p95() const { return m_p95; }

private:
  static constexpr std::size_t kSize = 256;
  static constexpr std::size_t kMinimum = 16;

  std::array<Duration, kSize> m_samples{};
  std::size_t m_count = 0;
  std::size_t m_next = 0;
  Duration m_sum{};
  Duration m_median{};
  Duration m_p95{};

  void update_quantiles();
};

} // namespace lovagehold
