#pragma once

#include "lovagehold/declaration.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagehold {

/// How a request ended, as the caller saw it.
enum class RequestOutcome
{
  Served,  ///< answered by a server of a service that this host owns
  Relayed, ///< answered by the owner of the service
  Refused, ///< rejected by lovagehold; it did not run
  Unknown, ///< may have run
  Aborted, ///< the caller disconnected or the response was cut off
};

/// Latency histograms and outcome counts of requests. Thread-safe; the counts are sharded by
/// thread, so that the lock that record() takes is rarely contended.
class Metrics
{
public:
  explicit Metrics(std::size_t shard_count = 16);
  ~Metrics();

  /// Records a request. The service must be a declared one, so that callers can't create series.
  void record(const ServiceName& service,
              RequestClass request_class,
              RequestOutcome outcome,
              Duration latency);

  /// \return all series in the Prometheus text format, sorted by name and labels
  std::string render() const;

private:
  struct Shard;
  Shard& shard_of_thread() const;

  std::vector<std::unique_ptr<Shard>> m_shards;
};

/// \return the duration in seconds; infinity for Duration::max()
double seconds_or_infinity(Duration duration);

/// Builds a page in the Prometheus text format (version 0.0.4).
class MetricsText
{
public:
  using Labels = std::vector<std::pair<std::string_view, std::string_view>>;

  /// Starts a metric. \param type "counter", "gauge" or "histogram"
  void begin(std::string_view name, std::string_view type, std::string_view help);

  /// Adds a sample to the metric begun last. \param suffix of the metric name, such as "_bucket"
  void sample(const Labels& labels, double value, std::string_view suffix = "");

  const std::string& text() const;

private:
  std::string m_name;
  std::string m_text;
};

} // namespace lovagehold
