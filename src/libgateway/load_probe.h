#pragma once

#include "gateway_context.h"

namespace lovagehold {

/// Probes the health check of the given servers and passes their load reports to the server
/// selector. Responses that arrive after \p wait_until still update the selector.
/// \param targets servers to probe
/// \param path path of the health check
/// \param wait_until time at which the call returns even if probes are pending
awaitable<void> probe_loads(GatewayContext& context,
                            const ServiceName& service,
                            const std::vector<ServerInfo>& targets,
                            const std::string& path,
                            TimePoint wait_until);

} // namespace lovagehold
