#pragma once

#include "lovagehold/types.h"

#include <string>
#include <vector>

namespace lovagehold {

/// One stream of requests to one service.
struct StreamOptions
{
  std::string service;
  std::string method = "GET";
  std::string target = "/";
  unsigned count = 100;
  /// Open-loop arrivals per second.
  double rate = 100;
  /// Send each idempotency key this many times; 0 sends none.
  unsigned key_repeats = 0;
  /// Size of the request body.
  std::uint64_t upload_bytes = 0;
  /// Send the body as chunks.
  bool chunked = false;
  /// Send the body no faster than this; 0 does not limit it.
  std::uint64_t upload_bytes_per_second = 0;
};

struct DriverOptions
{
  /// Entry hosts that are asked for addresses, in order.
  std::vector<std::string> entries;
  /// Send to this address instead of asking for one.
  std::string direct;
  std::vector<StreamOptions> streams;
  /// Further attempts of a request at the next addresses.
  unsigned retries = 2;
  /// Pause before a further attempt.
  std::chrono::milliseconds retry_delay{ 0 };
  std::uint64_t seed = 1;
  std::chrono::seconds time_limit{ 120 };
  std::chrono::milliseconds request_timeout{ 30000 };
  /// Requests in flight at most; arrivals beyond it are counted as dropped.
  unsigned in_flight_limit = 2000;
  std::string report_file;
  std::string records_file;
  /// Failures that do not make the run fail.
  unsigned allowed_failures = 0;
};

/// Parses "service=S,method=GET,target=/x,count=N,rate=R,repeats=K,upload=BYTES,chunked=1,pace=B".
/// Throws std::invalid_argument naming the unknown field.
StreamOptions parse_stream(const std::string& text);

} // namespace lovagehold
