#pragma once

#include "libproxy/http_types.h"
#include "standin_state.h"

namespace lovagehold {

/// Accepts connections and serves their requests as the current StandinMode specifies.
awaitable<void> accept_requests(StandinState& state, tcp::endpoint endpoint);

/// Serves the control pages /standin/mode?name=MODE, /standin/report and /standin/records.
awaitable<void> accept_control(StandinState& state, tcp::endpoint endpoint);

} // namespace lovagehold
