#include "timeline.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using nlohmann::json;

json
make_event(const char* host, const char* name, std::int64_t time_ms, const json& clock = nullptr)
{
  json event = {
    { "time_ms", time_ms }, { "host", host }, { "event", name }, { "fields", { { "n", "1" } } }
  };
  if (!clock.is_null()) {
    event["hlc"] = clock;
  }
  return event;
}

std::string
names(const std::vector<TimelineEvent>& events)
{
  std::string joined;
  for (const TimelineEvent& event : events) {
    joined += event.name + " ";
  }
  return joined;
}

// Guards against showing an effect before its cause when a wall clock is behind.
TEST(Timeline, HybridClockOrdersAcrossHosts)
{
  const json sender = { make_event("a", "sent", 900, { 1000, 2 }) };
  const json receiver = { make_event("b", "idle", 10, { 999, 7 }),
                          make_event("b", "received", 20, { 1000, 3 }) };
  EXPECT_EQ(names(merge_events({ receiver, sender })), "idle sent received ");
}

// Guards against reordering the events of one host when its wall clock is set back.
TEST(Timeline, EventsOfAHostKeepTheirOrder)
{
  const json page = { make_event("a", "first", 500), make_event("a", "second", 400) };
  EXPECT_EQ(names(merge_events({ page })), "first second ");
}

// Guards against output that tools can't read.
TEST(Timeline, FormatsAreExact)
{
  const auto events = merge_events({ json{ make_event("a", "x", 1500, { 1500, 4 }) } });
  EXPECT_EQ(format_text(events), "1970-01-01T00:00:01.500Z/4 a x n=1\n");
  const json trace = json::parse(format_chrome(events));
  EXPECT_EQ(trace["traceEvents"][0]["args"]["name"], "a");
  EXPECT_EQ(trace["traceEvents"][1]["ts"], 1500004);
  EXPECT_EQ(json::parse(format_json(events))[0]["hlc"], json({ 1500, 4 }));
}

} // namespace
} // namespace lovagehold
