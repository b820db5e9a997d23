#pragma once

#include "entry_context.h"
#include "http_types.h"

namespace lovagehold {

/// Serves the requests of one caller's connection, one after the other, until the connection is
/// closed.
awaitable<void> run_caller_session(std::shared_ptr<EntryContext> context,
                                   EntryWorker& worker,
                                   tcp::socket socket);

/// Responds with 503 because the host has too many connections, and closes the connection.
awaitable<void> reject_caller(tcp::socket socket);

} // namespace lovagehold
