#pragma once

#include "entry_context.h"

namespace lovagehold {

/// Sends GET /health to the server and reports the result to the dispatcher of the service. A probe
/// that has no complete response with status 200 within a second has failed.
awaitable<void> probe_server(std::shared_ptr<EntryContext> context,
                             ServiceName service,
                             SendProbe probe);

} // namespace lovagehold
