#pragma once

#include "lovagehold/types.h"

#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovagehold {

struct StandinOptions
{
  std::string service;
  std::string id;
  std::string address;
  std::vector<std::string> entries;
  std::chrono::microseconds service_time{ 2000 };
  /// Standard deviation of the logarithm of the service times; 0 gives constant service times.
  double service_time_sigma = 0;
  std::uint64_t seed = 1;
  unsigned slots = 3;
  /// Maximum number of open connections; further ones are closed at once.
  unsigned connections = 500;
  /// Delay before a new connection is served.
  std::chrono::microseconds accept_time{ 1000 };
  /// Time after the start of the process during which requests take kColdFactor times as long.
  std::chrono::milliseconds cold_start{ 0 };
  /// File to which one JSON line is appended when a request starts and one when its body has been
  /// read. Each line is flushed at once, so that it is kept when the process is killed.
  std::string journal;
  /// Age of the load that the health and load pages report.
  std::chrono::milliseconds load_report_lag{ 500 };
};

/// Behaviour of the server; can be changed at run time.
enum class StandinMode
{
  Normal,
  Slow,          ///< requests take kSlowFactor times as long
  Stall,         ///< runs requests but never responds
  StallUpload,   ///< stops reading within the body of a request
  StallResponse, ///< stops sending within the body of a response
  Cut,           ///< closes the connection within the body of a response
  FailFast,      ///< responds 500 at once
  Silent,        ///< accepts connections and reads nothing
  Shed,          ///< responds 503 at once
  Mislead,       ///< serves normally, reports no load and fails every second health check
};

/// \return the mode with this name, or nothing if there is none.
std::optional<StandinMode> parse_mode(const std::string& name);

/// One request that took a slot.
struct RunRecord
{
  std::string id;
  std::string key;
  std::string digest;
  std::uint64_t bytes = 0;
  /// The complete request body was received.
  bool whole = false;
  /// The complete response was sent.
  bool responded = false;
  /// The peer closed the connection before the response was sent.
  bool cancelled = false;
};

/// State of the stand-in server. Not thread-safe.
class StandinState
{
public:
  explicit StandinState(StandinOptions options);

  const StandinOptions& options() const { return m_options; }
  StandinMode mode() const { return m_mode; }
  void set_mode(StandinMode mode) { m_mode = mode; }

  /// Takes a slot and writes the start of the request to the journal.
  /// \param id id that the caller gave the request
  /// \param request_id id that the entry host gave the request
  /// \return index of the record, or nothing if no slot is free
  std::optional<std::size_t> begin_run(const std::string& id,
                                       const std::string& key,
                                       const std::string& request_id);
  void end_run() { --m_running; }
  /// Writes the size and digest of a request's body to the journal.
  void journal_body(std::size_t index);
  RunRecord& record(std::size_t index) { return m_records[index]; }

  /// \return a service time for the next request.
  std::chrono::microseconds draw_service_time();

  /// Samples the load for the health and load pages. Must be called periodically.
  void sample_load(TimePoint now);

  unsigned running() const { return m_running; }
  nlohmann::json report() const;
  nlohmann::json records() const;
  nlohmann::json load_page(TimePoint now);

  unsigned connections = 0;
  std::uint64_t connections_accepted = 0;
  std::uint64_t shed = 0;
  std::uint64_t health_checks = 0;
  bool leaving = false;

private:
  StandinOptions m_options;
  StandinMode m_mode = StandinMode::Normal;
  std::vector<RunRecord> m_records;
  std::ofstream m_journal;
  std::map<std::string, unsigned> m_runs_by_key;
  std::deque<std::pair<TimePoint, unsigned>> m_samples;
  std::mt19937_64 m_random;
  TimePoint m_started;
  unsigned m_running = 0;
  unsigned m_most_running = 0;
};

} // namespace lovagehold
