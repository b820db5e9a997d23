#pragma once

#include "gateway_context.h"

#include <optional>

namespace lovagehold {

/// What a server says in a response about requests to come, whatever the response itself is.
struct ServerNotice
{
  /// The server is leaving and wants no further requests.
  bool leaving = false;
  /// The server turned the request away and wants no requests from this host for this time.
  std::optional<Duration> pause;
  /// Requests per second that the server takes from all hosts together. If \p states_limit is set,
  /// nothing means that there is no limit, or none any more.
  std::optional<double> limit;
  /// False if there was no response of the server, or its limit could not be read.
  bool states_limit = false;
};

/// Parses the value of Retry-After in seconds, which may have a fraction.
/// \return nothing if the value is negative, not finite or not a number of seconds; the response is
/// then treated as one without the header
std::optional<Duration> parse_retry_after(std::string_view value);

/// Parses a request limit, a decimal number of requests per second.
/// \return the limit, 0 included; nothing if the value is negative, not finite or not a number
std::optional<double> parse_limit(std::string_view value);

/// \return time for which the server stays cold according to its response to a health check: 0 if
/// a successful response does not name it; nothing if the value is negative or not a number, or if
/// an unsuccessful response does not name it or another server answered
std::optional<Duration> read_warmup(const http::response_header<>& header,
                                    const GatewayHeaders& names);

/// \return the notice in the header of a server's response
ServerNotice read_notice(const http::response_header<>& header, const GatewayHeaders& names);

/// Applies the notice of \p server to the selector of its service and logs changes of its limit.
void apply_notice(GatewayContext& context,
                  const ServerNotice& notice,
                  const ServerInfo& server,
                  TimePoint now);

} // namespace lovagehold
