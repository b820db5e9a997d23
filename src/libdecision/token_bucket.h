#pragma once

#include "lovagehold/types.h"

namespace lovagehold {

/// A token bucket that is refilled by time, by explicit additions, or by both. Not thread-safe.
class TokenBucket
{
public:
  /// \param rate_per_second tokens added each second
  /// \param capacity level above which tokens are discarded
  /// \param initial level at \p start
  TokenBucket(double rate_per_second, double capacity, double initial, TimePoint start);

  /// Takes \p amount tokens if available. \return whether they were taken.
  bool try_take(double amount, TimePoint now);

  /// Adds tokens, up to the capacity.
  void add(double amount, TimePoint now);

  /// Takes tokens even if the level becomes negative; later takes fail until it has recovered.
  void charge(double amount, TimePoint now);

  double level(TimePoint now) const;

  /// \return the first time at which \p amount tokens can be taken; TimePoint::max() if
  /// never.
  TimePoint available_at(double amount) const;

private:
  double m_rate;
  double m_capacity;
  double m_level;
  TimePoint m_updated;

  void refill(TimePoint now);
};

} // namespace lovagehold
