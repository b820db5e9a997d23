#pragma once

#include "libproxy/http_types.h"
#include "standin_state.h"

namespace lovagehold {

/// Announces the server every second, at the next entry host when one does not answer.
awaitable<void> announce(StandinState& state);

/// Leaves at one of the entry hosts and waits until the running requests have ended.
awaitable<void> drain(StandinState& state);

} // namespace lovagehold
