#pragma once

#include "libproxy/http_types.h"
#include "standin_state.h"

namespace lovagehold {

/// Accepts connections and serves requests according to the mode.
awaitable<void> accept_requests(StandinState& state, tcp::endpoint endpoint);

/// Serves the pages /standin/mode?name=MODE, /standin/report and /standin/records.
awaitable<void> accept_control(StandinState& state, tcp::endpoint endpoint);

} // namespace lovagehold
