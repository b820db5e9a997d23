#pragma once

#include "gateway_context.h"

namespace lovagehold {

/// Asks servers of the service for their load and tells the selector. Answers that come after the
/// wait are still taken up.
/// \param targets servers to ask
/// \param path health check path
/// \param wait_until when the call returns at the latest
awaitable<void> probe_loads(GatewayContext& context,
                            const ServiceName& service,
                            const std::vector<ServerInfo>& targets,
                            const std::string& path,
                            TimePoint wait_until);

} // namespace lovagehold
