#pragma once

#include "http_types.h"
#include "lovagehold/link_pacer.h"

namespace lovagehold {

/// Reserves the link for a piece of a body and waits until the pacer allows it to be sent or read.
awaitable<void> await_link(LinkPacer& pacer, std::size_t bytes);

} // namespace lovagehold
