#include "cold_server_log.h"

namespace lovagehold {

void
log_cold_changes(GatewayContext& context, ServerSelector& selector, TimePoint now)
{
  for (const ColdChange& change : selector.take_cold_changes(now)) {
    if (!context.cold_log_budget.try_take(1, now)) {
      ++context.counters.unlogged_cold_changes;
      continue;
    }
    const bool cold = change.remaining.count() > 0;
    context.log.info(cold ? "server_cold" : "server_warm",
                     { { "service", change.server.service },
                       { "server", change.server.id },
                       { "incarnation", std::to_string(change.server.incarnation) },
                       { "ms", std::to_string(change.remaining.count()) },
                       { "unlogged", std::to_string(context.counters.unlogged_cold_changes) } });
  }
}

void
render_cold_metrics(const GatewayContext& context, MetricsText& text, TimePoint now)
{
  text.begin("lovagehold_cold_servers", "gauge", "Servers that are cold, by service.");
  for (const auto& [service, selector] : context.selectors) {
    text.sample({ { "service", service } }, static_cast<double>(selector.cold_count(now)));
  }
  text.begin("lovagehold_cold_requests_total", "counter", "Requests sent to cold servers.");
  text.sample({}, static_cast<double>(context.counters.cold_requests));
  text.begin("lovagehold_cold_waits_total",
             "counter",
             "Requests that waited for a cold server because its share was used up.");
  text.sample({}, static_cast<double>(context.counters.cold_waits));
}

} // namespace lovagehold
