#pragma once

#include "gateway_context.h"

namespace lovagehold {

/// Serves the requests of one caller's connection, one after the other, until either side closes
/// it.
awaitable<void> serve_caller(std::shared_ptr<GatewayContext> context, tcp::socket socket);

} // namespace lovagehold
