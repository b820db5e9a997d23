#pragma once

#include "libproxy/http_types.h"
#include "standin_state.h"

namespace lovagehold {

/// Announces the server once a second; moves on to the next entry host when one does not accept it.
awaitable<void> announce(StandinState& state);

/// Deregisters the server at one of the entry hosts and waits until the running requests have
/// ended.
awaitable<void> drain(StandinState& state);

} // namespace lovagehold
