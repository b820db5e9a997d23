#include "upload_source.h"

#include "link_wait.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace lovagehold {

UploadSource::UploadSource(beast::tcp_stream& caller,
                           ReadTimer& read_timer,
                           ReadBuffer& buffer,
                           RequestParser& parser,
                           const CallerLimits& limits,
                           bool expects_continue,
                           LinkPacer* pacer)
  : m_caller(caller)
  , m_read_timer(read_timer)
  , m_buffer(buffer)
  , m_parser(parser)
  , m_limits(limits)
  , m_expects_continue(expects_continue)
  , m_buffer_limit(buffer.max_size())
  , m_pacer(pacer != nullptr && pacer->active() ? pacer : nullptr)
{
  if (m_pacer != nullptr) {
    // Without this limit, one read would take all bytes that have arrived, whatever the pacer
    // allows.
    m_buffer.max_size(std::max(m_buffer.size(), LinkPacer::kPieceBytes));
  }
}

UploadSource::~UploadSource()
{
  close();
}

awaitable<void>
UploadSource::send_continue()
{
  m_expects_continue = false;
  // A caller that has already sent a part of the body does not wait for 100 Continue.
  if (m_buffer.size() > 0) {
    co_return;
  }
  const std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
  m_caller.expires_after(m_limits.body_idle);
  co_await asio::async_write(m_caller, asio::buffer(line), capture(m_error));
}

// Limits both the length of a pause and the average rate, so that a caller that sends very slowly
// can't occupy a server's slot.
TimePoint
UploadSource::read_deadline() const
{
  const auto transfer_time =
    std::chrono::milliseconds(m_received * 1000 / m_limits.body_bytes_per_second);
  return std::min(Clock::now() + m_limits.body_idle,
                  *m_started + m_limits.body_idle + transfer_time);
}

std::size_t
UploadSource::max_piece_bytes() const
{
  return m_pacer != nullptr ? LinkPacer::kPieceBytes : kStreamBufferBytes;
}

awaitable<std::string_view>
UploadSource::read()
{
  if (m_closed) {
    m_error = asio::error::operation_aborted;
    co_return std::string_view();
  }
  if (m_error == asio::error::operation_aborted) {
    m_error = {};
  }
  if (m_expects_continue && !done()) {
    co_await send_continue();
  }
  if (!m_started) {
    m_started = Clock::now();
  }
  m_read_buffer.resize(max_piece_bytes());
  std::size_t size = 0;
  if (m_pacer != nullptr) {
    co_await await_link(*m_pacer, 0);
  }
  while (!m_error && !m_closed && size == 0 && !m_parser.is_done()) {
    m_parser.get().body().data = m_read_buffer.data();
    m_parser.get().body().size = m_read_buffer.size();
    m_read_timer.arm(read_deadline());
    m_reading = true;
    co_await http::async_read_some(m_caller, m_buffer, m_parser, capture(m_error));
    m_reading = false;
    m_read_timer.disarm(m_error);
    if (m_error == http::error::need_buffer) {
      m_error = {};
    }
    size = m_read_buffer.size() - m_parser.get().body().size;
  }
  if (m_closed) {
    m_error = asio::error::operation_aborted;
  }
  if (m_pacer != nullptr) {
    m_pacer->reserve(size, Clock::now());
  }
  m_received += size;
  if (m_keeps && m_received <= kBufferedBodyBytes) {
    m_kept.append(m_read_buffer.data(), size);
  } else {
    m_kept.clear();
  }
  co_return std::string_view(m_read_buffer.data(), size);
}

awaitable<bool>
UploadSource::read_all()
{
  // Stops when a further piece might exceed kBufferedBodyBytes: read() would then discard all kept
  // bytes.
  while (!done() && !m_error && m_received + max_piece_bytes() <= kBufferedBodyBytes) {
    co_await read();
  }
  co_return done() && !m_error;
}

bool
UploadSource::caller_left() const
{
  return m_error == asio::error::eof || m_error == asio::error::connection_reset ||
         m_error == asio::error::broken_pipe || m_error == http::error::partial_message ||
         m_error == http::error::end_of_stream;
}

void
UploadSource::keep_nothing()
{
  m_keeps = false;
  m_kept.clear();
}

void
UploadSource::interrupt()
{
  m_caller.cancel();
}

void
UploadSource::close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_buffer.max_size(std::max(m_buffer.size(), m_buffer_limit));
  if (m_reading) {
    m_caller.cancel();
  }
}

} // namespace lovagehold
