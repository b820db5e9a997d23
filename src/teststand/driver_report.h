#pragma once

#include "driver_options.h"

#include <boost/histogram.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace lovagehold {

/// How a request ended for its caller.
enum class CallOutcome
{
  Ok,         ///< complete response with the right digest
  Stored,     ///< stored response of an earlier request with the same key
  InProgress, ///< the key is in progress
  NotRun,     ///< told that it did not run
  Refused,    ///< told that it was not served
  Unknown,    ///< told that it may have run
  Error,      ///< another error status
  Mismatch,   ///< complete response whose content is not that of the request
  Cut,        ///< the connection ended within the response
  NoResponse, ///< the connection ended before the response
  NoConnection,
  Timeout,
  Dropped, ///< too many requests in flight
};

const char* to_string(CallOutcome outcome);

/// One request as its caller saw it.
struct CallRecord
{
  std::string id;
  std::string key;
  std::string digest;
  /// Id that the entry host states in responses of its own.
  std::string request_id;
  CallOutcome outcome = CallOutcome::NoResponse;
  unsigned status = 0;
  unsigned attempts = 0;
  /// From the arrival time that the schedule states, so that queueing in the driver counts.
  Duration elapsed{};
};

/// Counts and latencies of one stream. Relative width of a histogram bin: 0.8%.
class StreamReport
{
public:
  explicit StreamReport(const StreamOptions& options);

  /// \param good the outcome is the one wanted
  void add(const CallRecord& record, bool good);

  /// \return latency in milliseconds below which the share of the requests lies.
  double quantile(double share) const;

  unsigned failures() const { return m_failures; }
  nlohmann::json json() const;
  /// One line for people and scripts.
  std::string line() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  StreamOptions m_options;
  Histogram m_millis;
  std::map<CallOutcome, unsigned> m_outcomes;
  unsigned m_count = 0;
  unsigned m_failures = 0;
  unsigned m_retried = 0;
};

} // namespace lovagehold
