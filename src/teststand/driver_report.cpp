#include "driver_report.h"

#include <cstdio>

namespace lovagehold {

namespace {

constexpr unsigned kHistogramBins = 2000;
constexpr double kLowestLatencyMs = 0.01;
constexpr double kHighestLatencyMs = 100000;

} // namespace

const char*
to_string(CallOutcome outcome)
{
  switch (outcome) {
    case CallOutcome::Ok:
      return "ok";
    case CallOutcome::Stored:
      return "stored";
    case CallOutcome::InProgress:
      return "in-progress";
    case CallOutcome::NotRun:
      return "not-run";
    case CallOutcome::Refused:
      return "refused";
    case CallOutcome::Unknown:
      return "unknown";
    case CallOutcome::Error:
      return "error";
    case CallOutcome::Mismatch:
      return "mismatch";
    case CallOutcome::Cut:
      return "cut";
    case CallOutcome::NoResponse:
      return "no-response";
    case CallOutcome::NoConnection:
      return "no-connection";
    case CallOutcome::Timeout:
      return "timeout";
    case CallOutcome::Dropped:
      return "dropped";
  }
  return "?";
}

StreamReport::StreamReport(const StreamOptions& options)
  : m_options(options)
  , m_latency_ms(
      boost::histogram::make_histogram(Axis(kHistogramBins, kLowestLatencyMs, kHighestLatencyMs)))
{
}

void
StreamReport::add(const CallRecord& record, bool good)
{
  ++m_count;
  ++m_outcomes[record.outcome];
  m_failures += good ? 0 : 1;
  m_retried += record.attempts > 1 ? 1 : 0;
  m_latency_ms(std::chrono::duration<double, std::milli>(record.elapsed).count());
}

double
StreamReport::quantile(double share) const
{
  const double target_count = share * m_count;
  double cumulative_count = 0;
  for (const auto& bin : boost::histogram::indexed(m_latency_ms, boost::histogram::coverage::all)) {
    cumulative_count += *bin;
    if (cumulative_count >= target_count && cumulative_count > 0) {
      return bin.bin().upper();
    }
  }
  return 0;
}

nlohmann::json
StreamReport::json() const
{
  nlohmann::json outcomes = nlohmann::json::object();
  for (const auto& [outcome, count] : m_outcomes) {
    outcomes[to_string(outcome)] = count;
  }
  return { { "service", m_options.service }, { "method", m_options.method },
           { "target", m_options.target },   { "count", m_count },
           { "failures", m_failures },       { "retried", m_retried },
           { "outcomes", outcomes },         { "p50_ms", quantile(0.5) },
           { "p90_ms", quantile(0.9) },      { "p99_ms", quantile(0.99) },
           { "p999_ms", quantile(0.999) } };
}

std::string
StreamReport::line() const
{
  char text[256];
  std::snprintf(text,
                sizeof text,
                "service=%s method=%s target=%s count=%u failures=%u median_ms=%.2f p99_ms=%.2f",
                m_options.service.c_str(),
                m_options.method.c_str(),
                m_options.target.c_str(),
                m_count,
                m_failures,
                quantile(0.5),
                quantile(0.99));
  return text;
}

} // namespace lovagehold
