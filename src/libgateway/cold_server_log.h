#pragma once

#include "gateway_context.h"

namespace lovagehold {

/// Logs the servers that have turned cold or warm since the last call. Of many at once, only some
/// are logged one by one.
void log_cold_changes(GatewayContext& context, ServerSelector& selector, TimePoint now);

/// Adds the metrics of cold servers.
void render_cold_metrics(const GatewayContext& context, MetricsText& text, TimePoint now);

} // namespace lovagehold
