#pragma once

#include "http_types.h"

#include <optional>

namespace lovagehold {

/// Why a request is rejected before it is routed.
struct RequestFault
{
  http::status status = http::status::bad_request;
  std::string error;
  std::string remedy;
};

/// Rejects requests whose framing, routing fields or limits can be read in more than one way.
/// \return nothing if the header is valid.
std::optional<RequestFault> check_request_header(const http::request_header<>& header);

/// \return the response to a request that could not be parsed.
RequestFault describe_parse_error(const boost::system::error_code& error);

/// \return whether the end of the response can be determined without relying on the end of the
/// connection. A response delimited by the end of the connection cannot be told from one cut short.
/// \param bodiless the response has no body by its status or the request's method
bool has_strict_framing(const http::response_header<>& header, bool bodiless);

/// Removes the fields that apply to one connection only, including those named by Connection.
void remove_hop_by_hop_fields(http::fields& fields);

/// Removes the fields that only lovagehold sets in responses, so that a server cannot state an
/// outcome.
void remove_outcome_fields(http::fields& fields);

/// \return the value of a decimal field; nothing if it is absent or not a number below 10^9.
std::optional<std::uint64_t> parse_number_field(const http::fields& fields, const char* name);

/// \return the request line and fields as bytes, with the end of the header.
std::string format_request_head(const http::request_header<>& header);

/// \return the status line and fields as bytes, with the end of the header.
std::string format_response_head(const http::response_header<>& header);

} // namespace lovagehold
