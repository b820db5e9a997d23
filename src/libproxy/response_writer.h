#pragma once

#include "exchange.h"

namespace lovagehold {

/// Sends a response made by lovagehold.
awaitable<SessionOutcome> send_response(Exchange& exchange, StringResponse response);

/// How the delivery of a server's response ended.
struct Delivery
{
  /// The caller received the whole response.
  bool delivered = false;
  bool keep_connection = false;
};

/// Streams a server's response to the caller. If the server's response is cut short, the caller's
/// connection is closed before the end of the response.
/// \param relayed the response is that of another lovagehold host
awaitable<Delivery> deliver_response(Exchange& exchange, ServerAttempt& attempt, bool relayed);

/// Shuts the connection down and discards what the caller still sends for a short time. Closing at
/// once would reset the connection and could destroy a response in transit.
awaitable<void> close_gently(beast::tcp_stream& caller);

} // namespace lovagehold
