#pragma once

#include "lovagehold/entry_service.h"

#include <string>

namespace lovagehold {

/// Figures of the process that the metrics page shows beside those of the entry service.
struct ProcessFigures
{
  std::uint64_t revision = 0;
  std::uint64_t view = 0;
  std::uint64_t stable_view = 0;
  /// No valid lease: what this host knows may be outdated.
  bool stale = true;
  bool leading = false;
  std::size_t sessions = 0;
  std::size_t owned_services = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// \param entry the entry service, or null on hosts without one
/// \return the page in the Prometheus text format.
std::string render_metrics(const ProcessFigures& figures, const EntryService* entry, TimePoint now);

} // namespace lovagehold
