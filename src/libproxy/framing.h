#pragma once

#include "http_types.h"
#include "libhttp/request_fault.h"

#include <optional>

namespace lovagehold {

/// Checks the request's header. Rejects framing, routing fields and limits that can be interpreted
/// in more than one way, which prevents request smuggling. \return nothing if the header is valid.
std::optional<RequestFault> check_request_header(const http::request_header<>& header);

/// \return whether the response is HTTP/1.1 with an unambiguous length that does not depend on the
/// closing of the connection. A response that ends with the connection can't be distinguished from
/// a truncated one. \param bodiless the response has no body because of its status or the request's
/// method
bool has_strict_framing(const http::response_header<>& header, bool bodiless);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1), including those named by Connection. Keeps
/// Content-Length and Idempotency-Key even if Connection names them.
void remove_hop_by_hop_fields(http::fields& fields);

/// Removes the outcome field, which only lovagehold may set, from a server's response.
void remove_outcome_fields(http::fields& fields);

/// \return the value of a field with a decimal number; nothing if the field is absent or is not a
/// number below 10^9 of at most nine digits.
std::optional<std::uint64_t> parse_number_field(const http::fields& fields, const char* name);

/// \return the request line and header fields as sent, with the empty line at the end.
std::string format_request_head(const http::request_header<>& header);

/// \return the status line and header fields as sent, with the empty line at the end.
std::string format_response_head(const http::response_header<>& header);

} // namespace lovagehold
