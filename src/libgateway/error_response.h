#pragma once

#include "libproxy/http_types.h"

#include <chrono>
#include <optional>
#include <string>

namespace lovagehold {

/// Why the gateway refused a request that has not run. Label of a metric, so the set is fixed.
enum class RefusalCause
{
  MissingKey,
  UnknownKey,
  ShuttingDown,
  NoServer,
  ServersCold,
  LimitsUsedUp,
  ServersFull,
  OutOfTime,
  OverAllowance,
  AllowanceUnknown,
};

inline constexpr std::size_t kRefusalCauses = 10;

const char* to_string(RefusalCause cause);

/// Response that the gateway generates itself when it forwards no server's response.
struct GatewayErrorResponse
{
  unsigned status = 503;
  std::string reason;
  /// State that led to the error; logged only, not sent.
  std::string detail;
  /// Value of the Retry-After header. Set only if the request was not executed.
  std::optional<std::chrono::milliseconds> retry_after;
  /// Set if the request is counted as refused for its account.
  std::optional<RefusalCause> cause;
};

/// \return the response to a request that was not executed because this host shuts down
GatewayErrorResponse make_shutdown_refusal();

/// \return the text that is sent as the body of the response
std::string error_body(const GatewayErrorResponse& error_response);

/// \return the header of the response, without a Connection field
/// \param body_bytes size of the body
http::response_header<> make_error_header(const GatewayErrorResponse& error_response,
                                          std::size_t body_bytes);

} // namespace lovagehold
