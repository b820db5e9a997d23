#pragma once

#include "driver_options.h"

#include <boost/histogram.hpp>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace lovagehold {

/// Outcome of a request as its caller sees it.
enum class CallOutcome
{
  Ok,         ///< complete response with the expected content
  Stored,     ///< stored response to an earlier request with the same key
  InProgress, ///< a request with the same key is still running
  NotRun,     ///< the entry host reported that the request did not run
  Refused,    ///< the entry host refused to serve the request
  Unknown,    ///< the entry host reported that the request may have run
  Error,      ///< a status of 300 or above without one of the outcomes above
  Mismatch,   ///< complete response whose content does not match the request
  Cut,        ///< the connection failed within the response body
  NoResponse, ///< the connection failed before the end of the response header
  NoConnection,
  Timeout,
  Dropped, ///< not sent because too many requests were in flight
};

const char* to_string(CallOutcome outcome);

/// Result of one request as its caller saw it.
struct CallRecord
{
  std::string id;
  std::string key;
  std::string digest;
  /// Request id from the response header; entry hosts set it in responses that they generate.
  std::string request_id;
  CallOutcome outcome = CallOutcome::NoResponse;
  unsigned status = 0;
  unsigned attempts = 0;
  /// Measured from the scheduled arrival time, so that it includes queueing in the driver.
  Duration elapsed{};
};

/// Counts and latencies of one stream. The bins of the latency histogram have a relative width of
/// 0.8%.
class StreamReport
{
public:
  explicit StreamReport(const StreamOptions& options);

  /// \param good whether the outcome is one of those expected of the stream
  void add(const CallRecord& record, bool good);

  /// \return the latency in milliseconds that \p share (0 to 1) of the requests do not exceed.
  double quantile(double share) const;

  unsigned failures() const { return m_failures; }
  nlohmann::json json() const;
  /// \return a one-line summary of key=value fields.
  std::string line() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  StreamOptions m_options;
  Histogram m_latency_ms;
  std::map<CallOutcome, unsigned> m_outcomes;
  unsigned m_count = 0;
  unsigned m_failures = 0;
  unsigned m_retried = 0;
};

} // namespace lovagehold
