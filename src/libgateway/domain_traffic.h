#pragma once

#include "gateway_context.h"

namespace lovagehold {

/// See Gateway::take_domain_loads().
std::map<ServiceName, DomainServiceLoad> take_domain_loads(GatewayContext& context, TimePoint now);

/// See Gateway::set_domain_shares().
void set_domain_shares(GatewayContext& context,
                       const std::vector<ServiceShares>& shares,
                       TimePoint as_of);

/// Adds the attempts by service and failure domain, if they are counted.
void add_domain_metrics(const GatewayContext& context, MetricsText& text);

} // namespace lovagehold
