#include "standin_state.h"

#include <cmath>

namespace lovagehold {

namespace {

constexpr unsigned kSlowFactor = 20;
constexpr unsigned kColdFactor = 3;
constexpr std::size_t kRecordLimit = 1'000'000;
// Bounds the log-normal distribution, so that no single request outlasts a test.
constexpr double kMaxServiceTimeFactor = 100;

} // namespace

std::optional<StandinMode>
parse_mode(const std::string& name)
{
  static const std::map<std::string, StandinMode> kNames = {
    { "normal", StandinMode::Normal },
    { "slow", StandinMode::Slow },
    { "stall", StandinMode::Stall },
    { "stall-upload", StandinMode::StallUpload },
    { "stall-response", StandinMode::StallResponse },
    { "cut", StandinMode::Cut },
    { "fail-fast", StandinMode::FailFast },
    { "silent", StandinMode::Silent },
    { "shed", StandinMode::Shed },
    { "mislead", StandinMode::Mislead },
  };
  const auto found = kNames.find(name);
  return found == kNames.end() ? std::nullopt : std::optional<StandinMode>(found->second);
}

StandinState::StandinState(StandinOptions options)
  : m_options(std::move(options))
  , m_random(m_options.seed)
  , m_started(Clock::now())
{
  if (!m_options.journal.empty()) {
    m_journal.open(m_options.journal, std::ios::app);
  }
}

std::optional<std::size_t>
StandinState::begin_run(const std::string& id,
                        const std::string& key,
                        const std::string& request_id)
{
  if (m_running >= m_options.slots || m_records.size() >= kRecordLimit) {
    return std::nullopt;
  }
  ++m_running;
  m_most_running = std::max(m_most_running, m_running);
  if (!key.empty()) {
    ++m_runs_by_key[key];
  }
  m_records.push_back({ .id = id, .key = key });
  if (m_journal.is_open()) {
    const nlohmann::json line = { { "event", "start" },
                                  { "run", m_records.size() - 1 },
                                  { "id", id },
                                  { "key", key },
                                  { "request_id", request_id } };
    m_journal << line.dump() << std::endl;
  }
  return m_records.size() - 1;
}

void
StandinState::journal_body(std::size_t index)
{
  const RunRecord& record = m_records[index];
  if (m_journal.is_open()) {
    const nlohmann::json line = { { "event", "body" },       { "run", index },
                                  { "id", record.id },       { "digest", record.digest },
                                  { "bytes", record.bytes }, { "whole", record.whole } };
    m_journal << line.dump() << std::endl;
  }
}

std::chrono::microseconds
StandinState::draw_service_time()
{
  double factor = 1;
  if (m_options.service_time_sigma > 0) {
    // The mean of a log-normal variable is exp(mu + sigma^2 / 2); this mu gives a mean of 1.
    std::lognormal_distribution<double> times(-m_options.service_time_sigma *
                                                m_options.service_time_sigma / 2,
                                              m_options.service_time_sigma);
    factor = std::min(times(m_random), kMaxServiceTimeFactor);
  }
  if (m_mode == StandinMode::Slow) {
    factor *= kSlowFactor;
  }
  if (Clock::now() - m_started < m_options.cold_start) {
    factor *= kColdFactor;
  }
  return std::chrono::microseconds(
    std::llround(factor * static_cast<double>(m_options.service_time.count())));
}

void
StandinState::sample_load(TimePoint now)
{
  m_samples.emplace_back(now, m_running);
  while (m_samples.size() > 1 && now - m_samples[1].first >= m_options.load_report_lag) {
    m_samples.pop_front();
  }
}

nlohmann::json
StandinState::report() const
{
  unsigned doubled = 0;
  for (const auto& [key, runs] : m_runs_by_key) {
    doubled += runs > 1 ? 1 : 0;
  }
  unsigned cancelled = 0;
  for (const RunRecord& record : m_records) {
    cancelled += record.cancelled ? 1 : 0;
  }
  return { { "ran", m_records.size() },
           { "running", m_running },
           { "most_running", m_most_running },
           { "keys", m_runs_by_key.size() },
           { "doubled", doubled },
           { "cancelled", cancelled },
           { "shed", shed },
           { "connections", connections },
           { "connections_accepted", connections_accepted },
           { "health_checks", health_checks } };
}

nlohmann::json
StandinState::records() const
{
  nlohmann::json all = nlohmann::json::array();
  for (const RunRecord& record : m_records) {
    all.push_back({ { "id", record.id },
                    { "key", record.key },
                    { "digest", record.digest },
                    { "bytes", record.bytes },
                    { "whole", record.whole },
                    { "responded", record.responded },
                    { "cancelled", record.cancelled } });
  }
  return all;
}

nlohmann::json
StandinState::load_page(TimePoint now)
{
  const bool mislead = m_mode == StandinMode::Mislead;
  const unsigned running = m_samples.empty() || mislead ? 0 : m_samples.front().second;
  const auto age = m_samples.empty() ? Duration{} : now - m_samples.front().first;
  return { { "running", running },
           { "slots", m_options.slots },
           { "draining", leaving },
           { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count() } };
}

} // namespace lovagehold
