#include "server_attempt.h"

#include "framing.h"
#include "lovagehold/address.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace lovagehold {

namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10;
// Time to read a response that the server sent before it closed the connection during the upload.
constexpr std::chrono::milliseconds kEarlyResponseTimeout{ 200 };
// Limits how much the kernel buffers for a server that has stopped reading, so that the stall is
// detected while the upload can still be resent to another server.
constexpr int kUploadSendBufferBytes = 128 << 10;

} // namespace

ServerAttempt::ServerAttempt(AttemptOptions options, ConnectionPool& pool)
  : m_options(std::move(options))
  , m_pool(pool)
  , m_response_deadline(m_options.deadline)
{
}

awaitable<bool>
ServerAttempt::connect(bool allow_pooled)
{
  m_connection = allow_pooled ? m_pool.take(m_options.address, Clock::now()) : nullptr;
  if (m_connection) {
    co_return true;
  }
  m_status = AttemptStatus::FailedUnstarted;
  const auto endpoint = parse_endpoint(m_options.address);
  if (!endpoint) {
    co_return false;
  }
  const auto executor = co_await asio::this_coro::executor;
  m_connection = std::make_shared<ServerConnection>(executor);
  const auto connection = m_connection;
  connection->set_deadline(std::min(Clock::now() + m_options.limits.connect, m_options.deadline));
  boost::system::error_code error;
  co_await connection->socket.async_connect(*endpoint, capture(error));
  connection->clear_deadline();
  if (error || m_cancelled) {
    const bool refused = error == asio::error::connection_refused;
    m_status = refused ? AttemptStatus::Refused : AttemptStatus::FailedUnstarted;
    co_return false;
  }
  connection->socket.set_option(tcp::no_delay(true), error);
  co_return true;
}

bool
ServerAttempt::retry_on_fresh_connection() const
{
  // The server may close a pooled connection at the moment the request is sent. The retry is safe,
  // because only requests that may run twice use pooled connections.
  return m_connection->reused && !m_response_begun && !m_cancelled && !m_connection->timed_out();
}

void
ServerAttempt::fail()
{
  if (m_cancelled) {
    m_status = AttemptStatus::Cancelled;
  } else {
    m_status = m_connection->timed_out() ? AttemptStatus::TimedOut : AttemptStatus::Failed;
  }
  m_has_response = false;
  m_connection->close();
}

awaitable<void>
ServerAttempt::run(std::string head, std::string body, UploadSource* upload, bool chunked)
{
  bool connected = co_await connect(!m_options.fresh_connection && upload == nullptr);
  if (!connected) {
    co_return;
  }
  m_sent_at = Clock::now();
  m_started = true;
  if (upload != nullptr) {
    co_await exchange_streamed(std::move(head), *upload, chunked);
  } else {
    co_await exchange_buffered(head, body);
    if (m_error && retry_on_fresh_connection()) {
      m_connection->close();
      connected = co_await connect(false);
      if (!connected) {
        co_return;
      }
      m_error = {};
      co_await exchange_buffered(head, body);
    }
  }
  if (m_error || m_cancelled) {
    fail();
    co_return;
  }
  m_service_time = Clock::now() - m_sent_at;
  m_has_response = true;
  if (m_options.shed_on_503 && response().result() == http::status::service_unavailable) {
    m_has_response = false;
    m_status = AttemptStatus::Refused;
    m_connection->close();
    co_return;
  }
  co_await buffer_small_body();
}

awaitable<void>
ServerAttempt::exchange_buffered(const std::string& head, const std::string& body)
{
  const auto connection = m_connection;
  connection->set_deadline(m_options.deadline);
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head), asio::buffer(body) };
  co_await asio::async_write(connection->socket, buffers, capture(m_error));
  if (m_error) {
    co_return;
  }
  m_request_sent = true;
  co_await read_header();
}

// Reads the response while the upload is being sent, because a server may respond early.
awaitable<void>
ServerAttempt::exchange_streamed(std::string head, UploadSource& upload, bool chunked)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto upload_ended = std::make_shared<asio::steady_timer>(executor, TimePoint::max());
  boost::system::error_code ignored;
  m_connection->socket.set_option(asio::socket_base::send_buffer_size(kUploadSendBufferBytes),
                                  ignored);
  bool sending = true;
  const auto on_sent = [upload_ended, &sending](const std::exception_ptr&) {
    sending = false;
    upload_ended->cancel();
  };
  asio::co_spawn(executor, send_upload(std::move(head), upload, chunked), on_sent);
  co_await read_header();
  m_stop_sending = true;
  while (sending) {
    // The upload is aborted if the response arrives first.
    upload.interrupt();
    m_connection->socket.cancel(ignored);
    co_await upload_ended->async_wait(capture(ignored));
  }
}

awaitable<void>
ServerAttempt::send_upload(std::string head, UploadSource& upload, bool chunked)
{
  const auto self = shared_from_this();
  const auto connection = m_connection;
  connection->set_deadline(Clock::now() + m_options.limits.stall);
  boost::system::error_code error;
  co_await asio::async_write(connection->socket, asio::buffer(head), capture(error));
  if (!error) {
    error = co_await send_kept(upload, chunked);
  }
  while (!error && !upload.done() && !m_stop_sending) {
    connection->clear_deadline();
    const std::string_view piece = co_await upload.read();
    if (m_stop_sending) {
      co_return;
    }
    if (upload.error()) {
      connection->close();
      co_return;
    }
    connection->set_deadline(Clock::now() + m_options.limits.stall);
    if (!piece.empty()) {
      error = co_await send_piece(piece, chunked);
    }
  }
  if (m_stop_sending) {
    co_return;
  }
  if (!error && chunked) {
    const std::string_view last = "0\r\n\r\n";
    co_await asio::async_write(connection->socket, asio::buffer(last), capture(error));
  }
  if (error) {
    // The server may have sent a response before it closed the connection.
    connection->set_deadline(Clock::now() + kEarlyResponseTimeout);
    co_return;
  }
  m_request_sent = true;
  if (m_options.on_uploaded) {
    m_options.on_uploaded();
  }
  if (!m_response_begun) {
    m_response_deadline = std::max(m_options.deadline, Clock::now() + m_options.response_time);
    connection->set_deadline(m_response_deadline);
  }
}

awaitable<boost::system::error_code>
ServerAttempt::send_kept(UploadSource& upload, bool chunked)
{
  boost::system::error_code error;
  if (!upload.kept().empty()) {
    const std::string& kept = upload.kept();
    error = co_await send_piece(kept, chunked);
  }
  co_return error;
}

awaitable<boost::system::error_code>
ServerAttempt::send_piece(std::string_view piece, bool chunked)
{
  const auto connection = m_connection;
  boost::system::error_code error;
  if (chunked) {
    const auto data = http::make_chunk(asio::const_buffer(piece.data(), piece.size()));
    co_await asio::async_write(connection->socket, data, capture(error));
  } else {
    co_await asio::async_write(
      connection->socket, asio::buffer(piece.data(), piece.size()), capture(error));
  }
  co_return error;
}

awaitable<void>
ServerAttempt::read_header()
{
  const auto connection = m_connection;
  int interim = 0;
  do {
    if (interim > kMaxInterimResponses) {
      m_error = http::error::bad_status;
      co_return;
    }
    ++interim;
    m_parser.emplace();
    m_parser->header_limit(kMaxResponseHeaderBytes);
    m_parser->body_limit(kMaxResponseBytes);
    m_parser->skip(m_options.head_request);
    co_await http::async_read_header(
      connection->socket, connection->buffer, *m_parser, capture(m_error));
    m_response_begun = m_response_begun || m_parser->got_some();
    if (m_error) {
      co_return;
    }
  } while (m_parser->get().result_int() / 100 == 1 &&
           m_parser->get().result() != http::status::switching_protocols);
  const bool bodiless = m_options.head_request ||
                        m_parser->get().result() == http::status::no_content ||
                        m_parser->get().result() == http::status::not_modified;
  if (m_parser->get().result() == http::status::switching_protocols ||
      !has_strict_framing(m_parser->get(), bodiless)) {
    m_error = http::error::bad_transfer_encoding;
  }
  const beast::string_view id = m_parser->get()[kRequestIdHeader];
  if (!m_options.request_id.empty() && !id.empty() && id != m_options.request_id) {
    m_error = http::error::bad_field;
  }
}

std::optional<std::uint64_t>
ServerAttempt::content_length() const
{
  const auto length = m_parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

// A small response is read completely before it counts as received, so that a truncated one can
// still be replaced by the response of another attempt.
awaitable<void>
ServerAttempt::buffer_small_body()
{
  const auto length = content_length();
  const bool small =
    length ? *length <= m_options.max_buffered_body_bytes : m_options.buffer_chunked_body;
  while (small && !m_parser->is_done() &&
         m_buffered_body.size() <= m_options.max_buffered_body_bytes) {
    const std::string_view piece = co_await read_piece(m_response_deadline);
    if (m_error) {
      co_return;
    }
    m_buffered_body.append(piece);
  }
  m_status = AttemptStatus::Succeeded;
}

awaitable<std::string_view>
ServerAttempt::read_body()
{
  const std::string_view piece = co_await read_piece(TimePoint::max());
  co_return piece;
}

awaitable<std::string_view>
ServerAttempt::read_piece(TimePoint deadline)
{
  const auto connection = m_connection;
  m_read_buffer.resize(kStreamBufferBytes);
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
    connection->set_deadline(std::min(deadline, Clock::now() + m_options.limits.stall));
    co_await http::async_read_some(
      connection->socket, connection->buffer, *m_parser, capture(m_error));
    if (m_error == http::error::need_buffer) {
      m_error = {};
    }
    size = m_read_buffer.size() - m_parser->get().body().size;
  }
  if (m_error) {
    fail();
    co_return std::string_view();
  }
  co_return std::string_view(m_read_buffer.data(), size);
}

void
ServerAttempt::cancel()
{
  m_cancelled = true;
  m_status = AttemptStatus::Cancelled;
  if (m_connection) {
    m_connection->close();
  }
}

void
ServerAttempt::release()
{
  if (!m_connection) {
    return;
  }
  // Also pools connections of attempts that required a fresh one; a later request may reuse them.
  if (is_complete() && m_request_sent && !m_cancelled && m_parser->keep_alive()) {
    m_pool.put(m_options.address, std::move(m_connection), Clock::now());
  } else {
    m_connection->close();
  }
  m_connection.reset();
}

} // namespace lovagehold
