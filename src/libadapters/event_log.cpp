#include "lovagehold/event_log.h"

#include <algorithm>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lovagehold {

namespace {

// Quotes a value that is empty or contains a separator of the key=value format.
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

// In lines. A slot takes about 400 bytes, which stay allocated as long as the process runs.
constexpr std::size_t kQueueCapacity = 512;

std::shared_ptr<spdlog::logger>
make_logger(const EventLogOptions& options)
{
  const std::string name = "lovagehold-" + options.host;
  std::shared_ptr<spdlog::logger> logger;
  if (options.queued) {
    if (!spdlog::thread_pool()) {
      spdlog::init_thread_pool(kQueueCapacity, 1);
    }
    logger =
      std::make_shared<spdlog::async_logger>(name,
                                             std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                             spdlog::thread_pool(),
                                             spdlog::async_overflow_policy::overrun_oldest);
    spdlog::register_logger(logger);
  } else {
    logger = spdlog::stderr_logger_mt(name);
  }
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

EventLog::~EventLog()
{
  const std::string name = "lovagehold-" + m_options.host;
  if (const auto logger = spdlog::get(name)) {
    logger->flush();
  }
  spdlog::drop(name);
}

void
EventLog::info(std::string_view event, std::initializer_list<LogField> fields)
{
  record(spdlog::level::info, event, fields.begin(), fields.size());
}

void
EventLog::info(std::string_view event, const std::vector<LogField>& fields)
{
  record(spdlog::level::info, event, fields.data(), fields.size());
}

void
EventLog::warn(std::string_view event, std::initializer_list<LogField> fields)
{
  record(spdlog::level::warn, event, fields.begin(), fields.size());
}

void
EventLog::warn(std::string_view event, const std::vector<LogField>& fields)
{
  record(spdlog::level::warn, event, fields.data(), fields.size());
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
EventLog::write(int level, const std::string& line) const
{
  if (const auto logger = spdlog::get("lovagehold-" + m_options.host)) {
    logger->log(static_cast<spdlog::level::level_enum>(level), line);
  }
}

bool
EventLog::allow_line(int level, std::string_view event, WallTime now)
{
  if (m_options.lines_per_second == 0) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  LineCount& count = m_line_counts[{ level, std::string(event) }];
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  if (second != count.second) {
    if (count.suppressed > 0) {
      write(spdlog::level::warn,
            "host=" + quote(m_options.host) + " event=log_suppressed name=" + std::string(event) +
              " lines=" + std::to_string(count.suppressed));
    }
    count = { .second = second };
  }
  const bool allowed = count.lines < m_options.lines_per_second;
  ++(allowed ? count.lines : count.suppressed);
  return allowed;
}

void
EventLog::record(int level, std::string_view event, const LogField* fields, std::size_t count)
{
  Event entry;
  entry.time = wall_now();
  entry.host = m_options.host;
  entry.name = event;
  std::string line = "host=" + quote(m_options.host) + " event=" + std::string(event);
  std::for_each(fields, fields + count, [&](const LogField& field) {
    line += " " + std::string(field.first) + "=" + quote(field.second);
    entry.fields.emplace_back(field.first, field.second);
  });
  if (allow_line(level, event, entry.time)) {
    write(level, line);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  entry.hybrid_time = m_clock.stamp(entry.time);
  m_events.push_back(std::move(entry));
  if (m_events.size() > m_options.capacity) {
    m_events.pop_front();
  }
}

} // namespace lovagehold
