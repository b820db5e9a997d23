#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/event_log.h"

namespace lovagehold {

/// Builds the response to GET /events on an admin or metrics address: recent events as JSON, for
/// the timeline of lovagectl.
AdminResponse make_event_page(const std::vector<Event>& events);

} // namespace lovagehold
