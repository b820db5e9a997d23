#pragma once

#include "lovagehold/types.h"

#include <optional>

namespace lovagehold {

/// How fast a queue moves.
struct QueueSpeed
{
  /// Requests per second that left it for a server.
  double rate = 0;
  /// A rate that is not expected to be exceeded soon.
  double highest_rate = 0;
};

/// Measures how fast a queue moves, only while requests wait in it: an empty queue says nothing
/// about the capacity. Times must not decrease. Not thread-safe.
class QueueDrain
{
public:
  /// To be called before the number of waiting requests changes.
  /// \param waiting whether any request waited since the previous call
  void advance(bool waiting, TimePoint now);

  /// A request was sent to a server.
  void count_served() { m_served += 1; }

  /// \return the speed as of the last call of advance(); nothing if requests have waited for too
  /// short a time to tell
  std::optional<QueueSpeed> speed() const;

private:
  std::optional<TimePoint> m_updated;
  /// Requests served and seconds with waiting requests, both decaying.
  double m_served = 0;
  double m_busy = 0;
};

/// Spreads the return of refused requests over the time in which capacity opens: each gets a time
/// of its own behind the requests that wait and those refused before. Not thread-safe.
class ReturnSchedule
{
public:
  /// \param waiting requests in the queue
  /// \param rate requests per second that leave the queue; above 0
  /// \return time until a refused request should come back
  Duration book(std::size_t waiting, double rate, TimePoint now);

private:
  TimePoint m_next;
};

} // namespace lovagehold
