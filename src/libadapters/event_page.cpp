#include "lovagehold/event_page.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

using nlohmann::json;

AdminResponse
make_event_page(const std::vector<Event>& events)
{
  json page = json::array();
  for (const Event& event : events) {
    json fields = json::object();
    for (const auto& [key, value] : event.fields) {
      fields[key] = value;
    }
    page.push_back({ { "time_ms", event.time.time_since_epoch().count() },
                     { "hlc", { event.hybrid_time.millis, event.hybrid_time.counter } },
                     { "host", event.host },
                     { "event", event.name },
                     { "fields", fields } });
  }
  // Fields may contain invalid UTF-8; it is replaced, so that the rest of the page is still
  // returned.
  return { .body = page.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace lovagehold
