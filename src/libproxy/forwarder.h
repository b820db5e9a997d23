#pragma once

#include "http_types.h"
#include "lovagehold/dispatcher.h"

#include <optional>

namespace lovagehold {

/// How a forwarded request ended.
struct ForwardResult
{
  AttemptStatus status = AttemptStatus::Failed;
  Duration service_time{};
  /// The answer's header went out to the caller, so that no other answer may follow.
  bool answered = false;
  /// The caller's connection can serve a further request.
  bool caller_usable = false;
  /// The answer, up to kStoredBodyBytes of its body.
  unsigned status_code = 0;
  std::string content_type;
  std::string body;
  bool body_truncated = false;
};

/// Sends the request to an address over a connection of its own and streams the answer to the
/// caller. \param caller connection of the caller \param request whole request; its body may be
/// empty if \p upload is given \param upload parser from which the rest of the body is streamed;
/// null if the body is in \p request \param address "IP:port" \param deadline for the answer's
/// header
awaitable<ForwardResult> forward_request(beast::tcp_stream& caller,
                                         beast::flat_buffer& caller_buffer,
                                         const StringRequest& request,
                                         http::request_parser<http::buffer_body>* upload,
                                         std::string address,
                                         TimePoint deadline);

} // namespace lovagehold
