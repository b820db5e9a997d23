#pragma once

#include "http_types.h"
#include "lovagehold/link_pacer.h"

namespace lovagehold {

/// Reserves the link for a piece of a body and waits until it may pass.
awaitable<void> await_link(LinkPacer& pacer, std::size_t bytes);

} // namespace lovagehold
