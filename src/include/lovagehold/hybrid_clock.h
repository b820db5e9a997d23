#pragma once

#include "lovagehold/types.h"

#include <algorithm>

namespace lovagehold {

/// A time stamp of a hybrid logical clock. Orders causally related events of all processes, also
/// when their calendars differ.
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

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014). Pure: the calendar time
/// is an argument. Not thread-safe.
class HybridClock
{
public:
  /// \return a stamp above all stamps given or seen before, for an event or a message.
  HybridTime stamp(WallTime wall) { return advance(wall, {}); }

  /// Takes up the stamp of a received message.
  /// \return a stamp above it and above all stamps given or seen before.
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
