#pragma once

#include "lovagehold/types.h"

#include <map>
#include <string>
#include <utility>

namespace lovagehold {

/// Estimates how long ago a caller started a request that it may have repeated: callers with the
/// same account on the same route are taken to start with the same time, the largest that was seen
/// lately, and to say with each attempt what is left of it. Not thread-safe.
class RequestAge
{
public:
  /// \param remaining time that the caller says it is willing to wait
  /// \return the time since the caller's first attempt; 0 for the largest remaining time
  Duration estimate(const std::string& route,
                    const std::string& account,
                    Duration remaining,
                    TimePoint now);

private:
  /// Largest remaining times of the present and the previous period.
  struct Largest
  {
    std::uint64_t period = 0;
    Duration present{ 0 };
    Duration previous{ 0 };
  };

  void remove_old(std::uint64_t period);

  std::map<std::pair<std::string, std::string>, Largest> m_largest;
};

} // namespace lovagehold
