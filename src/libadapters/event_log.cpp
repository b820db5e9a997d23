#include "lovagehold/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lovagehold {

namespace {

// Quotes values that would break the key=value form.
std::string
quote(const std::string& value)
{
  if (!value.empty() && value.find_first_of(" =\"\n\t") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + '"';
}

WallTime
wall_now()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::shared_ptr<spdlog::logger>
make_logger(const EventLogOptions& options)
{
  auto logger = spdlog::stderr_logger_mt("lovagehold-" + options.host);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(options.level));
  return logger;
}

} // namespace

EventLog::EventLog(EventLogOptions options)
  : m_options(std::move(options))
{
  spdlog::drop("lovagehold-" + m_options.host);
  make_logger(m_options);
}

void
EventLog::info(std::string_view event, std::initializer_list<LogField> fields)
{
  record(spdlog::level::info, event, fields);
}

void
EventLog::warn(std::string_view event, std::initializer_list<LogField> fields)
{
  record(spdlog::level::warn, event, fields);
}

HybridTime
EventLog::stamp()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_clock.stamp(wall_now());
}

void
EventLog::observe(const HybridTime& remote)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_clock.observe(remote, wall_now());
}

std::vector<Event>
EventLog::recent() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return { m_events.begin(), m_events.end() };
}

void
EventLog::record(int level, std::string_view event, std::initializer_list<LogField> fields)
{
  Event entry;
  entry.time = wall_now();
  entry.host = m_options.host;
  entry.name = event;
  std::string line = "host=" + quote(m_options.host) + " event=" + std::string(event);
  for (const LogField& field : fields) {
    line += " " + std::string(field.first) + "=" + quote(field.second);
    entry.fields.emplace_back(field.first, field.second);
  }
  if (const auto logger = spdlog::get("lovagehold-" + m_options.host)) {
    logger->log(static_cast<spdlog::level::level_enum>(level), line);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  entry.hybrid_time = m_clock.stamp(entry.time);
  m_events.push_back(std::move(entry));
  if (m_events.size() > m_options.capacity) {
    m_events.pop_front();
  }
}

} // namespace lovagehold
