#pragma once

#include "entry_context.h"

namespace lovagehold {

/// Sends GET /health to the server and reports the result to the dispatcher of the service. The
/// probe fails unless a complete response with status 200 arrives within a second.
awaitable<void> probe_server(std::shared_ptr<EntryContext> context,
                             ServiceName service,
                             SendProbe probe);

} // namespace lovagehold
