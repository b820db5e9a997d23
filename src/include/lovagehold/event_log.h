#pragma once

#include "lovagehold/hybrid_clock.h"
#include "lovagehold/log_field.h"
#include "lovagehold/types.h"

#include <deque>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagehold {

/// An event of the timeline.
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
  /// Maximum number of lines per second for each event and level. A log_suppressed line tells how
  /// many were left out. 0 means no limit.
  std::size_t lines_per_second = 0;
  /// Writes to standard output through a bounded queue that never blocks the caller and drops the
  /// oldest lines when full. If false, lines are written to standard error synchronously.
  bool queued = false;
};

/// Writes one key=value line per event and keeps recent events for the timeline. Thread-safe.
class EventLog
{
public:
  explicit EventLog(EventLogOptions options);

  /// Flushes the queued lines.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records the event.
  void info(std::string_view event, std::initializer_list<LogField> fields = {});
  void info(std::string_view event, const std::vector<LogField>& fields);
  void warn(std::string_view event, std::initializer_list<LogField> fields = {});
  void warn(std::string_view event, const std::vector<LogField>& fields);

  /// \return a hybrid logical timestamp for a message to another process
  HybridTime stamp();

  /// Advances the hybrid clock beyond the timestamp of a message from another process.
  void observe(const HybridTime& remote);

  /// \return recent events, oldest first
  std::vector<Event> recent() const;

private:
  /// Lines of one event and level in the current second.
  struct LineCount
  {
    std::chrono::seconds second{ 0 };
    std::size_t lines = 0;
    std::size_t suppressed = 0;
  };

  void record(int level, std::string_view event, const LogField* fields, std::size_t count);
  void write(int level, const std::string& line) const;
  bool allow_line(int level, std::string_view event, WallTime now);

  EventLogOptions m_options;
  mutable std::mutex m_mutex;
  HybridClock m_clock;
  std::deque<Event> m_events;
  std::map<std::pair<int, std::string>, LineCount> m_line_counts;
};

} // namespace lovagehold
