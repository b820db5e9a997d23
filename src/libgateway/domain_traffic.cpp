#include "domain_traffic.h"

namespace lovagehold {

std::map<ServiceName, DomainServiceLoad>
take_domain_loads(GatewayContext& context, TimePoint now)
{
  std::map<ServiceName, DomainServiceLoad> loads;
  for (auto& [service, selector] : context.selectors) {
    DomainServiceLoad load = selector.take_domain_load(now);
    load.demand += static_cast<double>(context.queues[service].size());
    if (load.requests > 0 || load.demand > 0) {
      loads.emplace(service, std::move(load));
    }
  }
  return loads;
}

void
set_domain_shares(GatewayContext& context,
                  const std::vector<ServiceShares>& shares,
                  TimePoint as_of)
{
  for (const ServiceShares& service : shares) {
    const auto found = context.selectors.find(service.service);
    if (found != context.selectors.end()) {
      found->second.set_domain_shares(service, as_of);
    }
  }
}

void
add_domain_metrics(const GatewayContext& context, MetricsText& text)
{
  if (!context.options.domain_overflow) {
    return;
  }
  text.begin("lovagehold_domain_attempts_total",
             "counter",
             "Attempts by service and failure domain of the server.");
  for (const auto& [service, selector] : context.selectors) {
    for (const auto& [domain, attempts] : selector.domain_attempts()) {
      text.sample({ { "service", service }, { "domain", domain } }, static_cast<double>(attempts));
    }
  }
}

} // namespace lovagehold
