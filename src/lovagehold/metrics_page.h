#pragma once

#include "lovagehold/entry_service.h"

#include <string>

namespace lovagehold {

/// Metrics of the process, shown in addition to those of the entry service.
struct ProcessMetrics
{
  std::uint64_t revision = 0;
  std::uint64_t view = 0;
  std::uint64_t stable_view = 0;
  /// The host has no valid lease, so its state may be outdated.
  bool stale = true;
  bool leading = false;
  std::size_t sessions = 0;
  std::size_t owned_services = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// \param entry the entry service, or null on hosts without one
/// \return the page in the Prometheus text format
std::string render_metrics(const ProcessMetrics& metrics, const EntryService* entry, TimePoint now);

} // namespace lovagehold
