#pragma once

#include "group_status.h"

#include <string>

namespace lovagehold {

/// What the metrics of a control host show.
struct ControlFigures
{
  ReplicaStatus replica;
  GroupStatus group;
  bool leads = false;
  std::uint64_t routing_version = 0;
  std::size_t servers = 0;
  /// Entry hosts that are ready.
  std::size_t entry_hosts = 0;
  std::size_t evacuated_domains = 0;
  /// Different requests that are quarantined.
  std::size_t quarantined_fingerprints = 0;
  /// Servers whose requests this host limits.
  std::size_t limited_servers = 0;
  // Counted since the start.
  std::uint64_t permits_granted = 0;
  std::uint64_t permits_denied = 0;
  std::uint64_t routing_conflicts = 0;
  std::uint64_t dropped_messages = 0;
};

/// \return the metrics in the Prometheus text format
std::string render_control_metrics(const ControlFigures& figures);

} // namespace lovagehold
