#include "framing.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>
#include <vector>

namespace lovagehold {

namespace {

// Any number of 18 digits fits into 64 bits.
constexpr std::size_t kMaxContentLengthDigits = 18;
constexpr std::size_t kMaxNumberDigits = 9;

bool
is_digits(beast::string_view text, std::size_t max_digits)
{
  return !text.empty() && text.size() <= max_digits &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Both Content-Length and Transfer-Encoding, repeated fields and unusual values are interpreted
// differently by different implementations, which makes request smuggling possible.
bool
is_body_framing_valid(const http::fields& fields)
{
  const std::size_t lengths = fields.count(http::field::content_length);
  const std::size_t codings = fields.count(http::field::transfer_encoding);
  if (lengths + codings > 1) {
    return false;
  }
  if (lengths == 1) {
    return is_digits(fields[http::field::content_length], kMaxContentLengthDigits);
  }
  return codings == 0 || beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

bool
has_space_or_control_character(beast::string_view text)
{
  return std::any_of(
    text.begin(), text.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

std::optional<RequestFault>
check_repeated_fields(const http::request_header<>& header)
{
  for (const char* name : { kServiceHeader, kKeyHeader, kDeadlineHeader, kRetriesHeader, "Host" }) {
    if (header.count(name) > 1) {
      return RequestFault{ .error = std::string(name) + " occurs more than once",
                           .remedy = "send the header once" };
    }
  }
  return std::nullopt;
}

std::optional<RequestFault>
check_number_fields(const http::request_header<>& header)
{
  for (const char* name : { kDeadlineHeader, kRetriesHeader }) {
    if (header.count(name) > 0 && !parse_number_field(header, name)) {
      return RequestFault{ .error = std::string(name) + " is not a decimal number",
                           .remedy = "send a number of at most nine digits" };
    }
  }
  return std::nullopt;
}

void
append_fields(const http::fields& fields, std::string& text)
{
  for (const auto& field : fields) {
    text.append(field.name_string().data(), field.name_string().size());
    text.append(": ");
    text.append(field.value().data(), field.value().size());
    text.append("\r\n");
  }
  text.append("\r\n");
}

} // namespace

std::optional<RequestFault>
check_request_header(const http::request_header<>& header)
{
  if (header.version() != 11) {
    return RequestFault{ .status = http::status::http_version_not_supported,
                         .error = "only HTTP/1.1 is served",
                         .remedy = "send the request as HTTP/1.1" };
  }
  if (!is_body_framing_valid(header)) {
    return RequestFault{ .error = "the length of the body is ambiguous",
                         .remedy = "send one Content-Length or one Transfer-Encoding: chunked" };
  }
  if (header.method() == http::verb::connect || header.method() == http::verb::trace) {
    return RequestFault{ .status = http::status::method_not_allowed,
                         .error = "the method is not served",
                         .remedy = "use another method" };
  }
  if (header.target().empty() || header.target().front() != '/' ||
      has_space_or_control_character(header.target())) {
    return RequestFault{ .error = "the target is not an absolute path",
                         .remedy = "send a target that starts with /" };
  }
  if (header.count(http::field::host) == 0) {
    return RequestFault{ .error = "the Host header is missing", .remedy = "send one Host header" };
  }
  if (header.count(http::field::expect) > 0 &&
      !beast::iequals(header[http::field::expect], "100-continue")) {
    return RequestFault{ .status = http::status::expectation_failed,
                         .error = "the expectation is not supported",
                         .remedy = "send Expect: 100-continue or no Expect header" };
  }
  if (auto fault = check_repeated_fields(header)) {
    return fault;
  }
  return check_number_fields(header);
}

bool
has_strict_framing(const http::response_header<>& header, bool bodiless)
{
  if (header.version() != 11 || !is_body_framing_valid(header)) {
    return false;
  }
  return bodiless || header.count(http::field::content_length) > 0 ||
         header.count(http::field::transfer_encoding) > 0;
}

void
remove_hop_by_hop_fields(http::fields& fields)
{
  std::vector<std::string> named;
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const auto& token : http::token_list(field->value())) {
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named) {
    // A sender must not be able to remove the fields that delimit the message or identify the
    // request by naming them in Connection.
    if (!beast::iequals(name, "content-length") && !beast::iequals(name, kKeyHeader)) {
      fields.erase(name);
    }
  }
  for (const char* name : { "Connection",
                            "Keep-Alive",
                            "Proxy-Connection",
                            "TE",
                            "Trailer",
                            "Transfer-Encoding",
                            "Upgrade",
                            "Expect" }) {
    fields.erase(name);
  }
}

void
remove_outcome_fields(http::fields& fields)
{
  fields.erase(kOutcomeHeader);
}

std::optional<std::uint64_t>
parse_number_field(const http::fields& fields, const char* name)
{
  const beast::string_view value = fields[name];
  if (!is_digits(value, kMaxNumberDigits)) {
    return std::nullopt;
  }
  return std::stoull(std::string(value));
}

std::string
format_request_head(const http::request_header<>& header)
{
  std::string text(header.method_string());
  text.append(" ").append(header.target().data(), header.target().size());
  text.append(" HTTP/1.1\r\n");
  append_fields(header, text);
  return text;
}

std::string
format_response_head(const http::response_header<>& header)
{
  std::string text = "HTTP/1.1 " + std::to_string(header.result_int()) + " ";
  const beast::string_view reason =
    header.reason().empty() ? http::obsolete_reason(header.result()) : header.reason();
  text.append(reason.data(), reason.size());
  text.append("\r\n");
  append_fields(header, text);
  return text;
}

} // namespace lovagehold
