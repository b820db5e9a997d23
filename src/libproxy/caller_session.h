#pragma once

#include "entry_context.h"
#include "http_types.h"

namespace lovagehold {

/// Serves the requests of one caller's connection, one after the other, until it closes.
awaitable<void> run_caller_session(std::shared_ptr<EntryContext> context,
                                   EntryWorker& worker,
                                   tcp::socket socket);

/// Tells a caller that the host has too many connections, and closes the connection.
awaitable<void> reject_caller(tcp::socket socket);

} // namespace lovagehold
