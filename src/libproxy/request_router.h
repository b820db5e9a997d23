#pragma once

#include "exchange.h"

namespace lovagehold {

/// Serves one request whose header has been read and checked: local resources, requests of services
/// that this host owns, and relays to other owners.
awaitable<SessionOutcome> route_request(Exchange& exchange);

} // namespace lovagehold
