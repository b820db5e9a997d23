#pragma once

#include "lovagehold/types.h"

#include <deque>

namespace lovagehold {

struct RetryBudgetOptions
{
  std::chrono::milliseconds window{ 10000 };
  /// Attempts beyond the first for each request.
  double ratio = 0.2;
  /// Attempts beyond the ratio in a window, over all hosts.
  double slack = 10;
  /// Share of the budget that is used; the rest covers what other hosts count in between.
  double margin = 0.8;

  bool operator==(const RetryBudgetOptions&) const = default;
};

/// This host's part of a service's retry budget: attempts beyond the first in a sliding window.
/// Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions options)
    : m_options(options)
  {
  }

  /// The slack is divided by the hosts that receive callers.
  void set_hosts(std::size_t hosts) { m_hosts = hosts == 0 ? 1 : hosts; }

  /// A caller's request for the service.
  void count_request(TimePoint now);

  /// Takes one attempt from the budget. \return false if none is left
  bool take(TimePoint now);

  /// \return attempts that are left
  double left(TimePoint now);

private:
  void expire(TimePoint now);

  RetryBudgetOptions m_options;
  std::size_t m_hosts = 1;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_extra;
};

} // namespace lovagehold
