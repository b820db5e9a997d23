#include "commands.h"
#include "timeline.h"

#include <iostream>

namespace lovagehold {

int
timeline_command(const Invocation& invocation)
{
  const auto hosts = fetch_from_hosts(invocation.admin, "/events");
  if (hosts.has_error()) {
    return report(hosts.error());
  }
  std::vector<nlohmann::json> pages;
  for (const HostPage& host : hosts.value()) {
    if (host.responded) {
      pages.push_back(host.page);
    } else {
      std::cerr << "lovagectl: " << host.id << ": not heard from; its events are missing\n";
    }
  }
  const std::vector<TimelineEvent> events = merge_events(pages);
  if (invocation.format == "json") {
    std::cout << format_json(events);
  } else if (invocation.format == "chrome") {
    std::cout << format_chrome(events);
  } else {
    std::cout << format_text(events);
  }
  return kExitSuccess;
}

} // namespace lovagehold
