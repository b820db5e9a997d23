#pragma once

#include "exchange.h"

namespace lovagehold {

/// Serves one request whose header has been read and checked: answers paths under /.lovagehold/,
/// dispatches requests of services that this host owns, and relays all others to the owner.
awaitable<SessionOutcome> route_request(Exchange& exchange);

} // namespace lovagehold
