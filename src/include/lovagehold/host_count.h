#pragma once

#include "lovagehold/types.h"

#include <deque>
#include <utility>

namespace lovagehold {

struct HostCountOptions
{
  /// Number of hosts assumed until the reports are stable. A host that assumes too few takes too
  /// large a part of what the hosts share.
  std::size_t assumed = 256;
  /// Reports are stable once they have not increased for this time. Hosts that start together are
  /// counted within some reports of 500 ms each.
  std::chrono::milliseconds stable_after{ 1500 };
  /// A decrease takes effect after this time. Hosts that lose contact with control are not counted
  /// but still serve, for 10 s and more.
  std::chrono::milliseconds retention{ 15000 };
};

/// A number of hosts that errs towards too many, from reports that may be too small: right after a
/// start, while hosts have no contact, and after control hosts have restarted. Not thread-safe.
class HostCount
{
public:
  explicit HostCount(HostCountOptions options = {})
    : m_options(options)
  {
  }

  /// Applies the number of hosts that a control host has counted.
  void report(std::size_t hosts, TimePoint now);

  /// \return the number of hosts to divide a shared rate by, at least 1
  std::size_t value(TimePoint now) const;

private:
  HostCountOptions m_options;
  /// Reports with the time until which each was repeated, in descending order of the number and
  /// ascending order of the time.
  std::deque<std::pair<std::size_t, TimePoint>> m_reports;
  /// When a report first exceeded all earlier ones that are kept.
  TimePoint m_increased_at;
  bool m_stable = false;
};

} // namespace lovagehold
