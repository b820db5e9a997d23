#pragma once

#include "lovagehold/types.h"

#include <string>
#include <vector>

namespace lovagehold {

/// A stream of requests to one service.
struct StreamOptions
{
  std::string service;
  std::string method = "GET";
  std::string target = "/";
  unsigned count = 100;
  /// Mean arrivals per second; arrivals do not wait for responses (open loop).
  double rate = 100;
  /// Number of requests sent with each idempotency key; 0 sends requests without a key.
  unsigned key_repeats = 0;
  /// Size of each request body.
  std::uint64_t upload_bytes = 0;
  /// Send request bodies with chunked transfer encoding.
  bool chunked = false;
  /// Maximum rate at which a request body is sent; 0 means no limit.
  std::uint64_t upload_bytes_per_second = 0;
};

struct DriverOptions
{
  /// Entry hosts that are queried for the addresses of a service, in this order.
  std::vector<std::string> entries;
  /// Send all requests to this address instead of querying the entry hosts.
  std::string direct;
  std::vector<StreamOptions> streams;
  /// Maximum number of retries of a request, each at the next address.
  unsigned retries = 2;
  /// Delay before each retry.
  std::chrono::milliseconds retry_delay{ 0 };
  std::uint64_t seed = 1;
  std::chrono::seconds time_limit{ 120 };
  std::chrono::milliseconds request_timeout{ 30000 };
  /// Maximum number of requests in flight; arrivals beyond it are counted as dropped.
  unsigned in_flight_limit = 2000;
  std::string report_file;
  std::string records_file;
  /// Number of failed requests up to which the run succeeds.
  unsigned allowed_failures = 0;
};

/// Parses "service=S,method=GET,target=/x,count=N,rate=R,repeats=K,upload=BYTES,chunked=1,pace=B".
/// Throws std::invalid_argument naming the unknown field.
StreamOptions parse_stream(const std::string& text);

} // namespace lovagehold
