#pragma once

#include "lovagehold/hybrid_clock.h"
#include "lovagehold/types.h"

#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagehold {

/// A key and its value in a log line or an event.
using LogField = std::pair<std::string_view, std::string>;

/// An entry of the time line.
struct Event
{
  WallTime time{};
  /// Orders the events of all processes causally.
  HybridTime hybrid_time;
  HostId host;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

struct EventLogOptions
{
  HostId host;
  std::string level = "info";
  /// Events kept in memory.
  std::size_t capacity = 4096;
};

/// Writes one key=value line per event to standard error and keeps recent events for the time line.
/// Thread-safe.
class EventLog
{
public:
  explicit EventLog(EventLogOptions options);

  /// Records the event.
  void info(std::string_view event, std::initializer_list<LogField> fields = {});
  void warn(std::string_view event, std::initializer_list<LogField> fields = {});

  /// \return a hybrid logical time stamp for a message to another process.
  HybridTime stamp();

  /// Takes up the time stamp of a message from another process.
  void observe(const HybridTime& remote);

  /// \return recent events, oldest first.
  std::vector<Event> recent() const;

private:
  void record(int level, std::string_view event, std::initializer_list<LogField> fields);

  EventLogOptions m_options;
  mutable std::mutex m_mutex;
  HybridClock m_clock;
  std::deque<Event> m_events;
};

} // namespace lovagehold
