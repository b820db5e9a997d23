#include "server_notice.h"

#include <charconv>
#include <cmath>

namespace lovagehold {

namespace {

// Longest value that fits into a Duration with room for additions; a day is beyond any use.
constexpr double kMaxRetryAfterSeconds = 86400;

std::string_view
trim(std::string_view text)
{
  const std::size_t start = text.find_first_not_of(" \t");
  const std::size_t end = text.find_last_not_of(" \t");
  return start == std::string_view::npos ? "" : text.substr(start, end - start + 1);
}

} // namespace

std::optional<Duration>
parse_retry_after(std::string_view value)
{
  const std::string_view text = trim(value);
  double seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  // A number that is too large for a double is as good as the longest pause.
  if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == text.data() + text.size()) {
    seconds = text.front() == '-' ? -1 : kMaxRetryAfterSeconds;
  } else if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  if (!std::isfinite(seconds) || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxRetryAfterSeconds)));
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
  return notice;
}

void
apply_notice(const ServerNotice& notice,
             const ServerInfo& server,
             ServerSelector& selector,
             TimePoint now)
{
  if (notice.leaving) {
    selector.mark_leaving(server.id, server.incarnation, now);
  }
  if (notice.pause) {
    selector.pause(server.id, server.incarnation, *notice.pause, now);
  }
}

} // namespace lovagehold
