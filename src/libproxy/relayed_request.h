#pragma once

#include "exchange.h"

namespace lovagehold {

/// Relays the request to the owner of its service, and the owner's response to the caller.
awaitable<SessionOutcome> relay_request(Exchange& exchange);

} // namespace lovagehold
