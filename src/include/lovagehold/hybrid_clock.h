#pragma once

#include "lovagehold/types.h"

#include <algorithm>

namespace lovagehold {

/// Timestamp of a hybrid logical clock. Orders causally related events across processes even if
/// their system clocks differ.
struct HybridTime
{
  std::int64_t millis = 0;
  std::uint32_t counter = 0;
};

inline bool
operator<(const HybridTime& a, const HybridTime& b)
{
  return a.millis != b.millis ? a.millis < b.millis : a.counter < b.counter;
}

inline bool
operator==(const HybridTime& a, const HybridTime& b)
{
  return a.millis == b.millis && a.counter == b.counter;
}

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014). Does not read the
/// system clock: the wall time is an argument of each call. Not thread-safe.
class HybridClock
{
public:
  /// \return a timestamp for a local event or an outgoing message, greater than all timestamps
  /// issued or observed before
  HybridTime stamp(WallTime wall) { return advance(wall, {}); }

  /// Advances the clock past the timestamp of a received message.
  /// \return a timestamp greater than it and than all timestamps issued or observed before
  HybridTime observe(const HybridTime& remote, WallTime wall) { return advance(wall, remote); }

private:
  HybridTime advance(WallTime wall, const HybridTime& remote)
  {
    const HybridTime physical{ wall.time_since_epoch().count(), 0 };
    const HybridTime highest = std::max(m_last, remote);
    m_last = highest < physical ? physical : HybridTime{ highest.millis, highest.counter + 1 };
    return m_last;
  }

  HybridTime m_last;
};

} // namespace lovagehold
