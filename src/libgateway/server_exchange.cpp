#include "server_exchange.h"

#include "libproxy/framing.h"
#include "libproxy/link_wait.h"
#include "lovagehold/address.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace lovagehold {

namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10;
// Bodies up to this size are sent together with the header. Larger ones are sent while the response
// is awaited, because a server may respond early.
constexpr std::size_t kMaxDirectBodyBytes = std::size_t{ 16 } << 10;
// A connection is closed after this many responses to other requests, or if one of them has a body
// of more than this size: it may have no end.
constexpr int kMaxMismatchedResponses = 4;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1 } << 20;
// The body of a refusal comes with its header or shortly after it, or not at all.
constexpr std::chrono::milliseconds kRefusalBodyTimeout{ 50 };
// A host refuses a connection within a round trip; one that is down does not answer at all.
constexpr std::chrono::milliseconds kCrashCheckTimeout{ 50 };
// Fraction of the server's advertised idle timeout for which a connection is kept in the pool.
constexpr double kIdleTimeoutShare = 0.7;

std::optional<Duration>
idle_limit(const http::fields& fields)
{
  for (const auto& parameter : http::param_list(fields[http::field::keep_alive])) {
    if (beast::iequals(parameter.first, "timeout")) {
      const int seconds = std::atoi(std::string(parameter.second).c_str());
      return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kIdleTimeoutShare * std::max(0, seconds)));
    }
  }
  return std::nullopt;
}

} // namespace

const char*
to_string(ExchangeStatus status)
{
  switch (status) {
    case ExchangeStatus::Responded:
      return "responded";
    case ExchangeStatus::NotExecuted:
      return "not_executed";
    case ExchangeStatus::Replaced:
      return "replaced";
    case ExchangeStatus::Unreached:
      return "unreached";
    case ExchangeStatus::Broken:
      return "broken";
    case ExchangeStatus::Crashed:
      return "crashed";
    case ExchangeStatus::Lost:
      return "lost";
    case ExchangeStatus::TimedOut:
      return "timed_out";
    case ExchangeStatus::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

awaitable<bool>
ServerExchange::connect(TimePoint deadline, bool may_reuse)
{
  const TimePoint now = Clock::now();
  if (may_reuse) {
    m_connection = m_context.pool.take(m_server.address, now);
  }
  if (m_connection) {
    co_return true;
  }
  const auto endpoint = parse_endpoint(m_server.address);
  if (!endpoint) {
    co_return false;
  }
  m_connection = std::make_shared<ServerConnection>(co_await asio::this_coro::executor);
  const auto connection = m_connection;
  connection->set_deadline(std::min(deadline, now + m_context.options.connect_timeout));
  boost::system::error_code error;
  co_await connection->socket.async_connect(*endpoint, capture(error));
  connection->clear_deadline();
  // The server's failure domain may have been evacuated since the server was chosen.
  if (error || m_cancelled || m_context.is_evacuated(m_server)) {
    co_return false;
  }
  ++m_context.counters.server_connections;
  connection->socket.set_option(tcp::no_delay(true), error);
  co_return true;
}

void
ServerExchange::fail()
{
  if (m_cancelled) {
    m_status = ExchangeStatus::Cancelled;
  } else if (m_lost) {
    m_status = ExchangeStatus::Lost;
  } else {
    m_status = m_connection->timed_out() ? ExchangeStatus::TimedOut : ExchangeStatus::Broken;
  }
  m_connection->close();
}

awaitable<void>
ServerExchange::run(const OutgoingRequest& request, TimePoint deadline)
{
  // Without an id, only a new connection tells which request a response belongs to.
  const bool connected = co_await connect(deadline, !request.id.empty());
  if (!connected) {
    m_status = m_cancelled ? ExchangeStatus::Cancelled : ExchangeStatus::Unreached;
    co_return;
  }
  m_connection->set_deadline(deadline);
  m_send_ended.expires_at(deadline);
  m_status = ExchangeStatus::Broken;
  const bool direct =
    request.upload == nullptr && !request.arriving && request.body->size() <= kMaxDirectBodyBytes;
  if (direct) {
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(request.head),
                                                     asio::buffer(*request.body) };
    m_context.count_bytes(m_server.service, request.body->size());
    co_await asio::async_write(m_connection->socket, buffers, capture(m_error));
    m_request_sent = !m_error;
  } else {
    start_sending(request);
  }
  bool accepted = false;
  if (!m_error) {
    accepted = co_await read_response(request);
  }
  if (!accepted || m_cancelled) {
    fail();
  } else {
    classify();
    if (m_status != ExchangeStatus::Responded) {
      // The body of a refusal is read only to keep the connection, so the caller doesn't wait for
      // it.
      m_connection->set_deadline(std::min(deadline, Clock::now() + kRefusalBodyTimeout));
    }
    co_await read_small_body();
  }
  if (m_status == ExchangeStatus::Broken) {
    co_await detect_crash();
  }
}

// Tells a server whose process has ended from one that closed the connection: nothing listens on
// its address any more.
awaitable<void>
ServerExchange::detect_crash()
{
  const auto endpoint = parse_endpoint(m_server.address);
  const auto connection = std::make_shared<ServerConnection>(co_await asio::this_coro::executor);
  connection->set_deadline(Clock::now() + kCrashCheckTimeout);
  boost::system::error_code error;
  co_await connection->socket.async_connect(*endpoint, capture(error));
  connection->clear_deadline();
  if (error == asio::error::connection_refused) {
    m_status = ExchangeStatus::Crashed;
  } else if (!error) {
    ++m_context.counters.server_connections;
    connection->socket.set_option(tcp::no_delay(true), error);
    m_context.pool.put(m_server.address, connection, Clock::now());
  }
}

void
ServerExchange::start_sending(const OutgoingRequest& request)
{
  m_sending = true;
  asio::co_spawn(
    m_context.io,
    [self = shared_from_this(), request, connection = m_connection]() -> awaitable<void> {
      co_await self->send(request, connection);
      self->m_sending = false;
      self->m_send_ended.cancel();
    },
    m_context.report_exceptions("send_request"));
}

awaitable<void>
ServerExchange::send(const OutgoingRequest& request, ServerConnectionPtr connection)
{
  boost::system::error_code error;
  co_await asio::async_write(connection->socket, asio::buffer(request.head), capture(error));
  if (error) {
    co_return;
  }
  if (request.arriving) {
    co_await send_arriving(request, connection);
  } else {
    co_await send_body(request, connection);
  }
}

awaitable<void>
ServerExchange::write_piece(ServerConnectionPtr connection,
                            std::string_view piece,
                            bool chunked,
                            boost::system::error_code& error)
{
  if (!connection->socket.is_open()) {
    // The exchange has ended; the rest of the body must not take bandwidth of a slow link.
    error = asio::error::operation_aborted;
    co_return;
  }
  m_context.count_bytes(m_server.service, piece.size());
  // Leaves bandwidth of a slow link for the messages of other requests.
  co_await await_link(m_context.send_pacer, piece.size());
  if (chunked) {
    const auto data = http::make_chunk(asio::const_buffer(piece.data(), piece.size()));
    co_await asio::async_write(connection->socket, data, capture(error));
  } else {
    co_await asio::async_write(
      connection->socket, asio::buffer(piece.data(), piece.size()), capture(error));
  }
}

awaitable<void>
ServerExchange::send_arriving(const OutgoingRequest& request, ServerConnectionPtr connection)
{
  ArrivingBody& body = *request.arriving;
  boost::system::error_code error;
  std::size_t sent = 0;
  while (!error && sent < body.size() && connection->socket.is_open()) {
    const std::string_view piece = body.from(sent).substr(0, LinkPacer::kPieceBytes);
    if (!piece.empty()) {
      co_await write_piece(connection, piece, request.chunked, error);
      sent += piece.size();
    } else if (body.failed()) {
      // A request with a part of its body must not look complete to the server.
      connection->close();
      co_return;
    } else {
      co_await body.wait();
    }
  }
  m_request_sent = !error && sent == body.size();
}

awaitable<void>
ServerExchange::send_body(const OutgoingRequest& request, ServerConnectionPtr connection)
{
  boost::system::error_code error;
  const auto write_all = [&](std::string_view bytes) -> awaitable<void> {
    const std::size_t max_piece =
      m_context.send_pacer.active() ? LinkPacer::kPieceBytes : bytes.size();
    while (!error && !bytes.empty()) {
      co_await write_piece(connection, bytes.substr(0, max_piece), request.chunked, error);
      bytes.remove_prefix(std::min(max_piece, bytes.size()));
    }
  };
  if (request.upload == nullptr) {
    co_await write_all(*request.body);
    m_request_sent = !error;
    co_return;
  }
  if (!request.upload->kept().empty()) {
    co_await write_all(request.upload->kept());
  }
  while (!error && !request.upload->done() && connection->socket.is_open()) {
    const std::string_view piece = co_await request.upload->read();
    if (request.upload->error()) {
      connection->close();
      co_return;
    }
    if (!piece.empty()) {
      co_await write_all(piece);
    }
  }
  if (!error && request.chunked) {
    const std::string_view last_chunk = "0\r\n\r\n";
    co_await asio::async_write(connection->socket, asio::buffer(last_chunk), capture(error));
  }
  m_request_sent = !error && request.upload->done();
}

awaitable<bool>
ServerExchange::read_header(const OutgoingRequest& request)
{
  const auto connection = m_connection;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    m_parser.emplace();
    m_parser->header_limit(kMaxResponseHeaderBytes);
    m_parser->body_limit(kMaxResponseBytes);
    m_parser->skip(request.head_method);
    co_await http::async_read_header(
      connection->socket, connection->buffer, *m_parser, capture(m_error));
    if (m_error) {
      co_return false;
    }
    if (m_parser->get().result_int() / 100 != 1) {
      const ServerNotice notice = read_notice(m_parser->get(), m_context.options.headers);
      m_notice = { .leaving = m_notice.leaving || notice.leaving,
                   .pause = notice.pause,
                   .limit = notice.limit,
                   .states_limit = notice.states_limit };
      co_return true;
    }
  }
  co_return false;
}

// Checks the request id of the response, because a duplicate response to an earlier request may
// arrive on the connection.
bool
ServerExchange::matches(const OutgoingRequest& request) const
{
  const auto& header = m_parser->get();
  const beast::string_view id = header[m_context.options.headers.request_id];
  if (!id.empty()) {
    return id == beast::string_view(request.id.data(), request.id.size());
  }
  // Only refusals may have no id; a successful response always has one. On a connection that has
  // served another request or a health check, it could be a late copy of the response to that.
  return m_clean && !m_connection->reused && header.result_int() >= 300;
}

awaitable<bool>
ServerExchange::discard_body()
{
  m_clean = false;
  std::size_t discarded = 0;
  while (!m_error && !m_parser->is_done() && discarded <= kMaxDiscardedBytes) {
    const std::string_view piece = co_await read_piece();
    discarded += piece.size();
  }
  co_return !m_error && m_parser->is_done();
}

awaitable<bool>
ServerExchange::read_response(const OutgoingRequest& request)
{
  for (int mismatched = 0; mismatched < kMaxMismatchedResponses; ++mismatched) {
    const bool read = co_await read_header(request);
    if (!read) {
      co_return false;
    }
    if (matches(request)) {
      co_return true;
    }
    // A late copy of an earlier response does not tell what the server wants now.
    m_notice.states_limit = false;
    const bool discarded = co_await discard_body();
    if (!discarded) {
      co_return false;
    }
  }
  co_return false;
}

void
ServerExchange::classify()
{
  const auto& header = m_parser->get();
  const GatewayHeaders& names = m_context.options.headers;
  if (header.count(names.load) > 0) {
    const beast::string_view load = header[names.load];
    m_load = names.parse_load(std::string_view(load.data(), load.size()));
  }
  if (header.result_int() == 421) {
    m_status = ExchangeStatus::Replaced;
  } else if (header.count(names.not_executed) > 0) {
    m_status = ExchangeStatus::NotExecuted;
  } else {
    m_status = ExchangeStatus::Responded;
  }
}

std::optional<std::uint64_t>
ServerExchange::content_length() const
{
  const auto length = m_parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

// Reads a small response completely before it counts as received, so that a truncated one can still
// be replaced by the response of another server.
awaitable<void>
ServerExchange::read_small_body()
{
  const auto length = content_length();
  if (length && *length > kStreamBufferBytes) {
    co_return;
  }
  while (!m_error && !m_parser->is_done() && m_buffered_body.size() < kStreamBufferBytes) {
    const std::string_view piece = co_await read_piece();
    m_buffered_body.append(piece);
  }
  // A refusal stays valid if its body is truncated.
  if (m_status == ExchangeStatus::Responded) {
    co_await verify_end();
    if (m_error) {
      fail();
    }
  }
  if (m_error) {
    m_connection->close();
  }
}

// A connection reports a reset once, and to a pending write first; reads then see an ordinary end
// of the stream. So a body that ends with the connection is complete only if the whole request has
// been sent.
awaitable<void>
ServerExchange::verify_end()
{
  if (m_error || !m_parser->is_done() || !m_parser->need_eof()) {
    co_return;
  }
  if (m_sending) {
    boost::system::error_code ignored;
    co_await m_send_ended.async_wait(capture(ignored));
  }
  if (!m_request_sent) {
    m_error = http::error::partial_message;
  }
}

awaitable<std::string_view>
ServerExchange::read_body(TimePoint deadline)
{
  m_connection->set_deadline(deadline);
  m_send_ended.expires_at(deadline);
  const std::string_view piece = co_await read_piece();
  co_await verify_end();
  if (m_error) {
    fail();
  }
  co_return piece;
}

awaitable<std::string_view>
ServerExchange::read_piece()
{
  const auto connection = m_connection;
  const std::uint64_t length = content_length().value_or(kStreamBufferBytes);
  m_read_buffer.resize(std::min<std::uint64_t>(kStreamBufferBytes, length + 1));
  std::size_t size = 0;
  while (!m_error && size == 0 && !m_parser->is_done()) {
    // The deadline and cancel() close the socket. A read that finds bytes in the buffer does not
    // notice that.
    if (!connection->socket.is_open()) {
      m_error = asio::error::operation_aborted;
      break;
    }
    m_parser->get().body().data = m_read_buffer.data();
    m_parser->get().body().size = m_read_buffer.size();
    co_await http::async_read_some(
      connection->socket, connection->buffer, *m_parser, capture(m_error));
    if (m_error == http::error::need_buffer) {
      m_error = {};
    }
    size = m_read_buffer.size() - m_parser->get().body().size;
  }
  m_context.count_bytes(m_server.service, size);
  co_return m_error ? std::string_view() : std::string_view(m_read_buffer.data(), size);
}

void
ServerExchange::cancel()
{
  m_cancelled = true;
  m_send_ended.cancel();
  if (m_connection) {
    m_connection->close();
  }
}

void
ServerExchange::end_as_lost()
{
  m_lost = true;
  m_connection->close();
}

void
ServerExchange::release()
{
  if (!m_connection) {
    return;
  }
  const bool reusable = m_request_sent && m_clean && !m_cancelled && is_complete() &&
                        m_parser->keep_alive() && !m_parser->need_eof();
  if (reusable) {
    m_connection->idle_limit = idle_limit(m_parser->get());
    m_context.pool.put(m_server.address, std::move(m_connection), Clock::now());
  } else {
    m_connection->close();
  }
  m_connection.reset();
}

} // namespace lovagehold
