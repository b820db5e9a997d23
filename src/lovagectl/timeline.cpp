#include "timeline.h"

#include <algorithm>
#include <ctime>
#include <map>
#include <tuple>

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosPerMilli = 1000;

std::string
format_time(std::int64_t millis)
{
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string fraction = std::to_string(1000 + millis % 1000).substr(1);
  return std::string(text, length) + "." + fraction + "Z";
}

std::string
to_text(const json& value)
{
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<TimelineEvent>
read_page(const json& page)
{
  std::vector<TimelineEvent> events;
  for (const json& entry : page) {
    TimelineEvent event{ .millis = entry.value("time_ms", std::int64_t{ 0 }),
                         .host = entry.value("host", ""),
                         .name = entry.value("event", ""),
                         .fields = entry.value("fields", json::object()) };
    const auto clock = entry.find("hlc");
    if (clock != entry.end() && clock->is_array() && clock->size() == 2) {
      event.millis = clock->at(0).get<std::int64_t>();
      event.counter = clock->at(1).get<std::uint64_t>();
    }
    // A wall clock that was set back must not reorder the events of its host.
    if (!events.empty() && std::tie(event.millis, event.counter) <
                             std::tie(events.back().millis, events.back().counter)) {
      event.millis = events.back().millis;
      event.counter = events.back().counter;
    }
    events.push_back(std::move(event));
  }
  return events;
}

} // namespace

std::vector<TimelineEvent>
merge_events(const std::vector<json>& pages)
{
  std::vector<TimelineEvent> all;
  for (const json& page : pages) {
    std::vector<TimelineEvent> events = read_page(page);
    std::move(events.begin(), events.end(), std::back_inserter(all));
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return std::tie(a.millis, a.counter, a.host) < std::tie(b.millis, b.counter, b.host);
  });
  return all;
}

std::string
format_text(const std::vector<TimelineEvent>& events)
{
  std::string text;
  for (const TimelineEvent& event : events) {
    text += format_time(event.millis) + "/" + std::to_string(event.counter) + " " + event.host +
            " " + event.name;
    for (const auto& [key, value] : event.fields.items()) {
      text += " " + key + "=" + to_text(value);
    }
    text += "\n";
  }
  return text;
}

std::string
format_json(const std::vector<TimelineEvent>& events)
{
  json list = json::array();
  for (const TimelineEvent& event : events) {
    list.push_back({ { "hlc", { event.millis, event.counter } },
                     { "host", event.host },
                     { "event", event.name },
                     { "fields", event.fields } });
  }
  return list.dump(2) + "\n";
}

std::string
format_chrome(const std::vector<TimelineEvent>& events)
{
  json list = json::array();
  std::map<std::string, std::size_t> processes;
  for (const TimelineEvent& event : events) {
    const auto [process, inserted] = processes.emplace(event.host, processes.size() + 1);
    if (inserted) {
      list.push_back({ { "name", "process_name" },
                       { "ph", "M" },
                       { "pid", process->second },
                       { "args", { { "name", event.host } } } });
    }
    // The counter orders events of the same millisecond.
    const auto micros =
      static_cast<std::int64_t>(std::min<std::uint64_t>(event.counter, kMicrosPerMilli - 1));
    list.push_back({ { "name", event.name },
                     { "ph", "i" },
                     { "s", "p" },
                     { "ts", event.millis * kMicrosPerMilli + micros },
                     { "pid", process->second },
                     { "tid", 1 },
                     { "args", event.fields } });
  }
  return json{ { "traceEvents", list } }.dump() + "\n";
}

} // namespace lovagehold
