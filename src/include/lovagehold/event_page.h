#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/event_log.h"

namespace lovagehold {

/// GET /events of an admin or metrics address: recent events for the time line, as JSON.
AdminResponse make_event_page(const std::vector<Event>& events);

} // namespace lovagehold
