#include "metrics_page.h"

#include <fstream>
#include <unistd.h>

namespace lovagehold {

namespace {

using ServiceStats = std::vector<std::pair<ServiceName, Dispatcher::Stats>>;

double
resident_bytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

void
add_metric(MetricsText& text, const char* name, const char* type, const char* help, double value)
{
  text.begin(name, type, help);
  text.sample({}, value);
}

template<class Field>
void
add_service_metrics(MetricsText& text,
                    const ServiceStats& services,
                    const char* name,
                    const char* type,
                    const char* help,
                    Field Dispatcher::Stats::*field)
{
  text.begin(name, type, help);
  for (const auto& [service, stats] : services) {
    text.sample({ { "service", service } }, static_cast<double>(stats.*field));
  }
}

void
add_queue_metrics(MetricsText& text, const ServiceStats& services)
{
  text.begin("lovagehold_queue_length", "gauge", "Requests that wait for a slot.");
  for (const auto& [service, stats] : services) {
    text.sample({ { "service", service }, { "class", "urgent" } },
                static_cast<double>(stats.queued_urgent));
    text.sample({ { "service", service }, { "class", "patient" } },
                static_cast<double>(stats.queued_patient));
  }
}

void
add_entry_metrics(MetricsText& text, const EntryService& entry, TimePoint now)
{
  using Stats = Dispatcher::Stats;
  const ServiceStats services = entry.services().stats(now);
  add_queue_metrics(text, services);
  add_service_metrics(text,
                      services,
                      "lovagehold_slots_in_use",
                      "gauge",
                      "Attempts in flight at servers.",
                      &Stats::in_flight);
  add_service_metrics(text,
                      services,
                      "lovagehold_servers_eligible",
                      "gauge",
                      "Servers that may get requests.",
                      &Stats::eligible_servers);
  add_service_metrics(text,
                      services,
                      "lovagehold_probes_total",
                      "counter",
                      "Probes sent to servers.",
                      &Stats::probes_sent);
  add_service_metrics(text,
                      services,
                      "lovagehold_retries_total",
                      "counter",
                      "Attempts after the first of a request.",
                      &Stats::retries);
  add_service_metrics(text,
                      services,
                      "lovagehold_hedges_total",
                      "counter",
                      "Additional attempts beside a slow one.",
                      &Stats::hedges);
  add_service_metrics(text,
                      services,
                      "lovagehold_rejected_total",
                      "counter",
                      "Requests rejected by the dispatcher.",
                      &Stats::rejected);
}

} // namespace

std::string
render_metrics(const ProcessMetrics& metrics, const EntryService* entry, TimePoint now)
{
  MetricsText text;
  const auto number = [](auto value) { return static_cast<double>(value); };
  add_metric(text,
             "lovagehold_revision",
             "gauge",
             "Revision of the configuration in force.",
             number(metrics.revision));
  add_metric(text, "lovagehold_view", "gauge", "Membership view applied.", number(metrics.view));
  add_metric(text,
             "lovagehold_stable_view",
             "gauge",
             "Highest view known to be acknowledged by all sessions.",
             number(metrics.stable_view));
  add_metric(text, "lovagehold_stale", "gauge", "1 without a valid lease.", metrics.stale ? 1 : 0);
  add_metric(
    text, "lovagehold_leading", "gauge", "1 on the control leader.", metrics.leading ? 1 : 0);
  add_metric(text,
             "lovagehold_sessions",
             "gauge",
             "Host sessions at the control leader.",
             number(metrics.sessions));
  add_metric(text,
             "lovagehold_services_owned",
             "gauge",
             "Services that this host owns.",
             number(metrics.owned_services));
  text.begin("lovagehold_cluster_bytes_total", "counter", "Bytes between processes.");
  text.sample({ { "direction", "sent" } }, number(metrics.bytes_sent));
  text.sample({ { "direction", "received" } }, number(metrics.bytes_received));
  add_metric(text,
             "process_resident_memory_bytes",
             "gauge",
             "Resident memory of the process.",
             resident_bytes());
  if (entry == nullptr) {
    return text.text();
  }
  add_entry_metrics(text, *entry, now);
  return text.text() + entry->metrics().render();
}

} // namespace lovagehold
