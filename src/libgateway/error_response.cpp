#include "error_response.h"

#include <fmt/format.h>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kShutdownRetryAfter{ 10 };
// RFC 9110 requires a challenge in each response with status 401.
constexpr char kChallenge[] = "ApiKey";
constexpr unsigned kUnauthorized = 401;

} // namespace

const char*
to_string(RefusalCause cause)
{
  switch (cause) {
    case RefusalCause::MissingKey:
      return "missing_key";
    case RefusalCause::UnknownKey:
      return "unknown_key";
    case RefusalCause::ShuttingDown:
      return "shutting_down";
    case RefusalCause::NoServer:
      return "no_server";
    case RefusalCause::ServersCold:
      return "servers_cold";
    case RefusalCause::LimitsUsedUp:
      return "limits_used_up";
    case RefusalCause::ServersFull:
      return "servers_full";
    case RefusalCause::OutOfTime:
      return "out_of_time";
    case RefusalCause::OverAllowance:
      return "over_allowance";
    case RefusalCause::AllowanceUnknown:
      return "allowance_unknown";
  }
  return "unknown";
}

GatewayErrorResponse
make_shutdown_refusal()
{
  return { .status = 503,
           .reason = "this host is shutting down; use another host",
           .retry_after = kShutdownRetryAfter,
           .cause = RefusalCause::ShuttingDown };
}

std::string
error_body(const GatewayErrorResponse& error_response)
{
  return error_response.reason + "\n";
}

http::response_header<>
make_error_header(const GatewayErrorResponse& error_response, std::size_t body_bytes)
{
  http::response_header<> header;
  header.version(11);
  header.result(error_response.status);
  header.set(http::field::content_type, "text/plain");
  header.set(http::field::content_length, std::to_string(body_bytes));
  if (error_response.status == kUnauthorized) {
    header.set(http::field::www_authenticate, kChallenge);
  }
  if (error_response.retry_after) {
    const std::chrono::duration<double> seconds = *error_response.retry_after;
    header.set(http::field::retry_after, fmt::format("{:.3f}", seconds.count()));
  }
  return header;
}

} // namespace lovagehold
