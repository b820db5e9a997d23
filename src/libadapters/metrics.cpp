#include "lovagehold/metrics.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <spdlog/fmt/fmt.h>
#include <unordered_map>

namespace lovagehold {

namespace {

namespace histogram = boost::histogram;

// Logarithmic buckets from 0.1 ms to 10 s, five per decade.
constexpr int kBucketCount = 25;
constexpr double kMinLatencySeconds = 0.0001;
constexpr double kMaxLatencySeconds = 10;
constexpr std::size_t kOutcomeCount = 5;
constexpr std::size_t kClassCount = 3;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Latency =
  decltype(histogram::make_histogram_with(std::vector<std::uint64_t>(), std::declval<Axis>()));

Latency
make_latency()
{
  return histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                        Axis(kBucketCount, kMinLatencySeconds, kMaxLatencySeconds));
}

struct Series
{
  Latency latency = make_latency();
  double seconds = 0;
  std::array<std::uint64_t, kOutcomeCount> outcomes{};
};

using ClassSeries = std::array<std::unique_ptr<Series>, kClassCount>;

const char*
to_string(RequestOutcome outcome)
{
  constexpr const char* kNames[] = { "served", "relayed", "refused", "unknown", "aborted" };
  return kNames[static_cast<std::size_t>(outcome)];
}

void
render_latency(MetricsText& text, const MetricsText::Labels& labels, const Series& series)
{
  std::uint64_t total = 0;
  const auto bucket = [&](const std::string& limit) {
    MetricsText::Labels with_limit = labels;
    with_limit.emplace_back("le", limit);
    text.sample(with_limit, static_cast<double>(total), "_bucket");
  };
  for (int i = -1; i < kBucketCount; ++i) {
    total += series.latency.at(i);
    if (i >= 0) {
      bucket(fmt::format("{:.6g}", series.latency.axis().bin(i).upper()));
    }
  }
  total += series.latency.at(kBucketCount);
  bucket("+Inf");
  text.sample(labels, series.seconds, "_sum");
  text.sample(labels, static_cast<double>(total), "_count");
}

} // namespace

struct Metrics::Shard
{
  mutable std::mutex mutex;
  std::unordered_map<ServiceName, ClassSeries> services;
};

Metrics::Metrics(std::size_t shard_count)
{
  for (std::size_t i = 0; i < std::max<std::size_t>(shard_count, 1); ++i) {
    m_shards.push_back(std::make_unique<Shard>());
  }
}

Metrics::~Metrics() = default;

Metrics::Shard&
Metrics::shard_of_thread() const
{
  static std::atomic<std::size_t> next{ 0 };
  thread_local const std::size_t kThreadNumber = next++;
  return *m_shards[kThreadNumber % m_shards.size()];
}

void
Metrics::record(const ServiceName& service,
                RequestClass request_class,
                RequestOutcome outcome,
                Duration latency)
{
  const double seconds = std::chrono::duration<double>(latency).count();
  Shard& shard = shard_of_thread();
  const std::lock_guard<std::mutex> lock(shard.mutex);
  auto& series = shard.services[service][static_cast<std::size_t>(request_class)];
  if (!series) {
    series = std::make_unique<Series>();
  }
  series->latency(seconds);
  series->seconds += seconds;
  ++series->outcomes[static_cast<std::size_t>(outcome)];
}

std::string
Metrics::render() const
{
  std::map<std::pair<ServiceName, std::size_t>, Series> merged;
  for (const auto& shard : m_shards) {
    const std::lock_guard<std::mutex> lock(shard->mutex);
    for (const auto& [service, classes] : shard->services) {
      for (std::size_t i = 0; i < kClassCount; ++i) {
        if (!classes[i]) {
          continue;
        }
        Series& sum = merged[{ service, i }];
        sum.latency += classes[i]->latency;
        sum.seconds += classes[i]->seconds;
        for (std::size_t k = 0; k < kOutcomeCount; ++k) {
          sum.outcomes[k] += classes[i]->outcomes[k];
        }
      }
    }
  }
  MetricsText text;
  text.begin("lovagehold_request_seconds",
             "histogram",
             "Time from the header of a request to the end of its answer.");
  for (const auto& [key, series] : merged) {
    const char* request_class = to_string(static_cast<RequestClass>(key.second));
    render_latency(text, { { "service", key.first }, { "class", request_class } }, series);
  }
  text.begin("lovagehold_requests_total", "counter", "Requests by outcome.");
  for (const auto& [key, series] : merged) {
    const char* request_class = to_string(static_cast<RequestClass>(key.second));
    for (std::size_t k = 0; k < kOutcomeCount; ++k) {
      text.sample({ { "service", key.first },
                    { "class", request_class },
                    { "outcome", to_string(static_cast<RequestOutcome>(k)) } },
                  static_cast<double>(series.outcomes[k]));
    }
  }
  return text.text();
}

double
seconds_or_infinity(Duration duration)
{
  return duration == Duration::max() ? std::numeric_limits<double>::infinity()
                                     : std::chrono::duration<double>(duration).count();
}

void
MetricsText::begin(std::string_view name, std::string_view type, std::string_view help)
{
  m_name = name;
  m_text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void
MetricsText::sample(const Labels& labels, double value, std::string_view suffix)
{
  m_text.append(m_name).append(suffix);
  char separator = '{';
  for (const auto& [label, text] : labels) {
    m_text += separator;
    m_text.append(label).append("=\"");
    for (const char c : text) {
      if (c == '\\' || c == '"') {
        m_text += '\\';
      }
      c == '\n' ? m_text.append("\\n") : m_text.append(1, c);
    }
    m_text += '"';
    separator = ',';
  }
  m_text.append(labels.empty() ? " " : "} ");
  m_text += std::isinf(value) ? "+Inf\n" : fmt::format("{:.15g}\n", value);
}

const std::string&
MetricsText::text() const
{
  return m_text;
}

} // namespace lovagehold
