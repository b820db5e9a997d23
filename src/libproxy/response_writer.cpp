#include "response_writer.h"

#include "framing.h"

#include <boost/asio/write.hpp>

namespace lovagehold {

namespace {

constexpr std::chrono::seconds kLingerTimeout{ 1 };

// The connection can be kept alive only if the request has been read to its end.
bool
may_keep_alive(const Exchange& exchange)
{
  return exchange.request.keep_alive() && exchange.upload.done() && !exchange.context.draining;
}

// Writes to the caller; frames the piece as an HTTP chunk if chunked is set.
awaitable<bool>
write_piece(Exchange& exchange, std::string_view head, std::string_view piece, bool chunked)
{
  boost::system::error_code error;
  exchange.caller.expires_after(exchange.context.options.limits.body_idle);
  const asio::const_buffer head_buffer(head.data(), head.size());
  const asio::const_buffer data(piece.data(), piece.size());
  if (chunked && !piece.empty()) {
    const auto chunk = beast::buffers_cat(head_buffer, http::make_chunk(data));
    co_await asio::async_write(exchange.caller, chunk, capture(error));
  } else {
    const std::array<asio::const_buffer, 2> buffers{ head_buffer, data };
    co_await asio::async_write(exchange.caller, buffers, capture(error));
  }
  co_return !error;
}

std::string
make_response_head(ServerAttempt& attempt, bool relayed, bool keep, bool& chunked)
{
  http::response_header<>& header = attempt.response().base();
  const bool bodiless = attempt.options().head_request ||
                        header.result() == http::status::no_content ||
                        header.result() == http::status::not_modified;
  remove_hop_by_hop_fields(header);
  if (!relayed) {
    remove_outcome_fields(header);
  }
  if (header.result() == http::status::no_content) {
    header.erase(http::field::content_length);
  }
  chunked = !bodiless && header.count(http::field::content_length) == 0;
  if (chunked) {
    header.set(http::field::transfer_encoding, "chunked");
  }
  if (!keep) {
    header.set(http::field::connection, "close");
  }
  return format_response_head(header);
}

RequestOutcome
outcome_of(const StringResponse& response)
{
  const auto outcome = response[kOutcomeHeader];
  if (outcome == "done") {
    return RequestOutcome::Served;
  }
  return outcome == "unknown" ? RequestOutcome::Unknown : RequestOutcome::Refused;
}

} // namespace

awaitable<SessionOutcome>
send_response(Exchange& exchange, StringResponse response)
{
  exchange.outcome = outcome_of(response);
  const bool keep = may_keep_alive(exchange) && response.keep_alive();
  response.keep_alive(keep);
  response.set(kRequestIdHeader, exchange.id);
  const std::string head = format_response_head(response.base());
  const std::string body =
    exchange.request.method() == http::verb::head ? std::string() : response.body();
  const bool written = co_await write_piece(exchange, head, body, false);
  co_return SessionOutcome{ .keep_connection = written && keep };
}

awaitable<Delivery>
deliver_response(Exchange& exchange, ServerAttempt& attempt, bool relayed)
{
  const bool keep = may_keep_alive(exchange);
  bool chunked = false;
  const std::string head = make_response_head(attempt, relayed, keep, chunked);
  Delivery delivery;
  bool written = co_await write_piece(exchange, head, attempt.buffered_body(), chunked);
  while (written && !attempt.is_complete()) {
    const std::string_view piece = co_await attempt.read_body();
    if (!attempt.has_response()) {
      co_return delivery;
    }
    if (!piece.empty()) {
      written = co_await write_piece(exchange, "", piece, chunked);
    }
  }
  if (written && chunked) {
    written = co_await write_piece(exchange, "0\r\n\r\n", "", false);
  }
  delivery.delivered = written;
  delivery.keep_connection = written && keep;
  co_return delivery;
}

awaitable<void>
lingering_close(beast::tcp_stream& caller)
{
  boost::system::error_code error;
  caller.socket().shutdown(tcp::socket::shutdown_send, error);
  std::vector<char> discarded(kStreamBufferBytes);
  // The stream's timeout ends only a read that has to wait, which those of a fast sender don't.
  const TimePoint end = Clock::now() + kLingerTimeout;
  caller.expires_at(end);
  while (!error && Clock::now() < end) {
    co_await caller.async_read_some(asio::buffer(discarded), capture(error));
  }
  caller.close();
}

} // namespace lovagehold
