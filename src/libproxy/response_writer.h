#pragma once

#include "exchange.h"

namespace lovagehold {

/// Sends a response made by this host.
awaitable<SessionOutcome> send_response(Exchange& exchange, StringResponse response);

/// How the delivery of a server's response ended.
struct Delivery
{
  /// The whole response was written to the caller.
  bool delivered = false;
  bool keep_connection = false;
};

/// Streams a server's response to the caller. If the server's response is truncated, the caller's
/// connection is closed before the end of the response, so that the caller notices.
/// \param relayed the response comes from another lovagehold host; its outcome field is kept
awaitable<Delivery> deliver_response(Exchange& exchange, ServerAttempt& attempt, bool relayed);

/// Shuts down sending and discards what the caller still sends for a short time before closing.
/// Closing at once would reset the connection, and the caller could lose a response in transit.
awaitable<void> lingering_close(beast::tcp_stream& caller);

} // namespace lovagehold
