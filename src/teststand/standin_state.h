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
  /// Standard deviation of the logarithm of service times; 0 gives constant times.
  double tail = 0;
  std::uint64_t seed = 1;
  unsigned slots = 3;
  unsigned connections = 500;
  std::chrono::microseconds accept_time{ 1000 };
  /// Time after the start in which requests take kColdFactor times as long.
  std::chrono::milliseconds cold_start{ 0 };
  /// File that gets one JSON line when a request starts and one when its body has arrived; it
  /// survives the end of the process.
  std::string journal;
  /// Age of what the health and load pages say.
  std::chrono::milliseconds page_lag{ 500 };
};

/// How the server behaves; switched at run time.
enum class StandinMode
{
  Normal,
  Slow,          ///< service times are kSlowFactor times as long
  Stall,         ///< runs requests and never responds
  StallUpload,   ///< stops reading within the body
  StallResponse, ///< stops sending within the body
  Cut,           ///< closes the connection within the body of the response
  FailFast,      ///< responds 500 at once
  Silent,        ///< accepts connections and reads nothing
  Shed,          ///< responds 503 at once
  Mislead,       ///< works normally; health and load pages say idle and failed in turn
};

/// \return the mode of this name.
std::optional<StandinMode> parse_mode(const std::string& name);

/// What the server ran: one entry per request that took a slot.
struct RunRecord
{
  std::string id;
  std::string key;
  std::string digest;
  std::uint64_t bytes = 0;
  /// The body arrived whole.
  bool whole = false;
  /// The response was sent whole.
  bool responded = false;
  /// The connection closed before the response.
  bool cancelled = false;
};

/// State of the stand-in server; single-threaded.
class StandinState
{
public:
  explicit StandinState(StandinOptions options);

  const StandinOptions& options() const { return m_options; }
  StandinMode mode() const { return m_mode; }
  void set_mode(StandinMode mode) { m_mode = mode; }

  /// Takes a slot. \return index of the record; nothing if no slot is free.
  /// \param request_id id that the entry host gave the request
  std::optional<std::size_t> begin_run(const std::string& id,
                                       const std::string& key,
                                       const std::string& request_id);
  void end_run() { --m_running; }
  /// Notes that the body of a request arrived.
  void note_body(std::size_t index);
  RunRecord& record(std::size_t index) { return m_records[index]; }

  /// \return the time that the next request takes.
  std::chrono::microseconds draw_service_time();

  /// Notes the load for the lagging pages; to be called regularly.
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
