#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lovagehold {

/// An event of a host with its place in the causal order.
struct TimelineEvent
{
  /// Hybrid logical clock: milliseconds and counter.
  std::int64_t millis = 0;
  std::uint64_t counter = 0;
  std::string host;
  std::string name;
  nlohmann::json fields;
};

/// Merges the event pages of hosts. Events with a hybrid logical clock ("hlc") are ordered by it,
/// others by their wall time; the events of one host always keep their order.
std::vector<TimelineEvent> merge_events(const std::vector<nlohmann::json>& pages);

/// \return one line per event.
std::string format_text(const std::vector<TimelineEvent>& events);

/// \return a JSON array with one object per event.
std::string format_json(const std::vector<TimelineEvent>& events);

/// \return the events in Chrome's trace event format, one process per host.
std::string format_chrome(const std::vector<TimelineEvent>& events);

} // namespace lovagehold
