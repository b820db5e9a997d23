#include "control_metrics.h"

#include "lovagehold/metrics.h"

namespace lovagehold {

std::string
render_control_metrics(const ControlFigures& figures)
{
  const ReplicaStatus& status = figures.replica;
  MetricsText text;
  const auto gauge = [&text](const char* name, const char* help, double value) {
    text.begin(name, "gauge", help);
    text.sample({}, value);
  };
  gauge("lovagehold_leads", "1 if this host leads the control group.", figures.leads ? 1 : 0);
  gauge("lovagehold_in_contact", "1 if this host hears of a leader.", status.in_contact ? 1 : 0);
  gauge("lovagehold_term", "Election term.", static_cast<double>(status.term));
  gauge("lovagehold_commit_index", "Last committed entry.", static_cast<double>(status.commit));
  gauge("lovagehold_applied_index", "Last applied entry.", static_cast<double>(status.applied));
  gauge("lovagehold_state_lag_seconds",
        "Time since which committed entries may be missing.",
        seconds_or_infinity(status.lag));
  render_group_metrics(text, figures.group);
  gauge("lovagehold_routing_version",
        "Version of the routing configuration held.",
        static_cast<double>(figures.routing_version));
  gauge(
    "lovagehold_servers", "Servers that requests may go to.", static_cast<double>(figures.servers));
  gauge("lovagehold_entry_hosts",
        "Entry hosts that are ready.",
        static_cast<double>(figures.entry_hosts));
  gauge("lovagehold_evacuated_domains",
        "Failure domains that are evacuated.",
        static_cast<double>(figures.evacuated_domains));
  gauge("lovagehold_quarantined_fingerprints",
        "Different requests that are quarantined.",
        static_cast<double>(figures.quarantined_fingerprints));
  gauge("lovagehold_limited_servers",
        "Servers whose requests this host limits.",
        static_cast<double>(figures.limited_servers));
  const auto counter = [&text](const char* name, const char* help, std::uint64_t value) {
    text.begin(name, "counter", help);
    text.sample({}, static_cast<double>(value));
  };
  counter("lovagehold_permits_granted_total",
          "Requests to limited servers that this host permitted.",
          figures.permits_granted);
  counter("lovagehold_permits_denied_total",
          "Requests to limited servers that this host denied.",
          figures.permits_denied);
  counter("lovagehold_routing_conflicts_total",
          "Routing changes made again because another version was accepted in the meantime.",
          figures.routing_conflicts);
  counter("lovagehold_dropped_messages_total",
          "Messages to other hosts that were dropped.",
          figures.dropped_messages);
  return text.text();
}

} // namespace lovagehold
