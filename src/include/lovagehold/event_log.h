#pragma once

#include "lovagehold/hybrid_clock.h"
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
  /// Lines of one event and level written in a second at most; what is left out is counted in a
  /// line log_suppressed. 0: no limit.
  std::size_t lines_per_second = 0;
  /// Lines go to standard output through a bounded queue that never blocks the caller; the oldest
  /// ones are lost when it is full. Otherwise to standard error at once.
  bool queued = false;
};

/// Writes one key=value line per event and keeps recent events for the time line. Thread-safe.
class EventLog
{
public:
  explicit EventLog(EventLogOptions options);

  /// Writes what is still in the queue.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

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
  /// Lines of one event in the present second.
  struct Volume
  {
    std::chrono::seconds second{ 0 };
    std::size_t lines = 0;
    std::size_t suppressed = 0;
  };

  void record(int level, std::string_view event, std::initializer_list<LogField> fields);
  void write(int level, const std::string& line) const;
  bool take_line(int level, std::string_view event, WallTime now);

  EventLogOptions m_options;
  mutable std::mutex m_mutex;
  HybridClock m_clock;
  std::deque<Event> m_events;
  std::map<std::pair<int, std::string>, Volume> m_volumes;
};

} // namespace lovagehold
