#pragma once

#include "lovagehold/types.h"

#include <deque>

namespace lovagehold {

struct RetryBudgetOptions
{
  std::chrono::milliseconds window{ 10000 };
  /// Attempts beyond the first, that is, retries and hedges, per request.
  double ratio = 0.2;
  /// Such attempts that all hosts together may make beyond the ratio within a window.
  double slack = 10;
  /// Share of the budget that is used; the rest covers what other hosts count concurrently.
  double margin = 0.8;

  bool operator==(const RetryBudgetOptions&) const = default;
};

/// This host's part of a service's retry budget, which limits the attempts beyond the first of each
/// request in a sliding window. Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions options)
    : m_options(options)
  {
  }

  /// Sets the number of hosts that receive callers; they share the slack equally.
  void set_hosts(std::size_t hosts) { m_hosts = hosts == 0 ? 1 : hosts; }

  /// Counts a caller's request to the service.
  void count_request(TimePoint now);

  /// Takes one attempt from the budget. \return false if none is left
  bool take(TimePoint now);

  /// \return number of attempts left; may be fractional or negative
  double left(TimePoint now);

private:
  void expire(TimePoint now);

  RetryBudgetOptions m_options;
  std::size_t m_hosts = 1;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_extra_attempts;
};

} // namespace lovagehold
