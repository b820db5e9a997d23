#pragma once

#include "libproxy/http_types.h"
#include "lovagehold/gateway.h"
#include "lovagehold/types.h"

#include <optional>

namespace lovagehold {

/// What a server says in a response about requests to come, whatever the response itself is.
struct ServerNotice
{
  /// The server is leaving and wants no further requests.
  bool leaving = false;
  /// The server turned the request away and wants no requests from this host for this time.
  std::optional<Duration> pause;
};

/// Parses the value of Retry-After in seconds, which may have a fraction.
/// \return nothing if the value is negative, not finite or not a number of seconds; the response is
/// then treated as one without the header
std::optional<Duration> parse_retry_after(std::string_view value);

/// \return the notice in the header of a server's response
ServerNotice read_notice(const http::response_header<>& header, const GatewayHeaders& names);

/// Applies the notice of \p server to the selector of its service.
void apply_notice(const ServerNotice& notice,
                  const ServerInfo& server,
                  ServerSelector& selector,
                  TimePoint now);

} // namespace lovagehold
