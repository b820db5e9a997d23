#include "server_notice.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace lovagehold {

namespace {

// Longest value that fits into a Duration with room for additions; a day is beyond any use.
constexpr double kMaxRetryAfterSeconds = 86400;
// Requests per second. No server takes more, so that larger values are no limit.
constexpr double kMaxRequestLimit = 1e6;
// A day; ServerSelector limits the time further.
constexpr double kMaxWarmupMs = 86400e3;

std::string_view
trim(std::string_view text)
{
  const std::size_t start = text.find_first_not_of(" \t");
  const std::size_t end = text.find_last_not_of(" \t");
  return start == std::string_view::npos ? "" : text.substr(start, end - start + 1);
}

// Parses a decimal number. \return the number, at most \p max; nothing if it is negative, not
// finite or not a number
std::optional<double>
parse_number(std::string_view value, double max)
{
  const std::string_view text = trim(value);
  double number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  // A number that is too large for a double is as good as the maximum.
  if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == text.data() + text.size()) {
    number = text.front() == '-' ? -1 : max;
  } else if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  if (!std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return std::min(number, max);
}

std::string
describe_limit(std::optional<double> limit)
{
  return limit ? fmt::format("{:.3f}", *limit) : "none";
}

} // namespace

std::optional<Duration>
parse_retry_after(std::string_view value)
{
  const auto seconds = parse_number(value, kMaxRetryAfterSeconds);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
}

std::optional<double>
parse_limit(std::string_view value)
{
  return parse_number(value, kMaxRequestLimit);
}

std::optional<Duration>
read_warmup(const http::response_header<>& header, const GatewayHeaders& names)
{
  if (header.result() == http::status::misdirected_request) {
    return std::nullopt;
  }
  if (names.warmup_left.empty() || header.count(names.warmup_left) == 0) {
    const bool good = http::to_status_class(header.result()) == http::status_class::successful;
    return good ? std::optional(Duration::zero()) : std::nullopt;
  }
  const beast::string_view left = header[names.warmup_left];
  const auto ms = parse_number({ left.data(), left.size() }, kMaxWarmupMs);
  if (!ms) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(*ms));
}

ServerNotice
read_notice(const http::response_header<>& header, const GatewayHeaders& names)
{
  ServerNotice notice;
  // A misdirected request was answered by another server.
  if (header.result() == http::status::misdirected_request) {
    return notice;
  }
  const beast::string_view leaving = header[names.leaving];
  notice.leaving = trim({ leaving.data(), leaving.size() }) == "1";
  const bool turned_away = header.result() == http::status::service_unavailable;
  if (turned_away && header.count(http::field::retry_after) > 0) {
    const beast::string_view pause = header[http::field::retry_after];
    notice.pause = parse_retry_after({ pause.data(), pause.size() });
  }
  const beast::string_view limit = header[names.limit];
  notice.limit = parse_limit({ limit.data(), limit.size() });
  notice.states_limit = notice.limit || header.count(names.limit) == 0;
  return notice;
}

void
apply_notice(GatewayContext& context,
             const ServerNotice& notice,
             const ServerInfo& server,
             TimePoint now)
{
  ServerSelector& selector = context.selector(server.service);
  if (notice.leaving) {
    selector.mark_leaving(server.id, server.incarnation, now);
  }
  if (notice.pause) {
    selector.pause(server.id, server.incarnation, *notice.pause, now);
  }
  const std::optional<double> limit_before = selector.limit(server.id);
  if (notice.states_limit && selector.set_limit(server.id, server.incarnation, notice.limit, now)) {
    context.log.info("server_limit",
                     { { "service", server.service },
                       { "server", server.id },
                       { "incarnation", std::to_string(server.incarnation) },
                       { "limit", describe_limit(notice.limit) },
                       { "before", describe_limit(limit_before) } });
  }
}

} // namespace lovagehold
