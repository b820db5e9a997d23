#pragma once

#include "libproxy/http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>

namespace lovagehold {

/// Body of a caller's request that is sent to a server while it arrives. All bytes are kept, so
/// that it can be sent again. One reader appends to it; any number of senders read it. Not
/// thread-safe.
class ArrivingBody
{
public:
  /// \param size length of the whole body
  ArrivingBody(asio::io_context& io, std::size_t size)
    : m_size(size)
    , m_progress(io, TimePoint::max())
  {
    // Senders hold views of the bytes, which must not move.
    m_bytes.reserve(size);
  }

  std::size_t size() const { return m_size; }

  /// \return the bytes received from \p offset on. Valid for the lifetime of this object.
  std::string_view from(std::size_t offset) const
  {
    return std::string_view(m_bytes).substr(offset);
  }

  /// \return whether no more bytes will arrive
  bool ended() const { return m_ended; }
  /// \return whether it ended before the whole body had arrived
  bool failed() const { return m_ended && m_bytes.size() < m_size; }

  void append(std::string_view piece)
  {
    m_bytes.append(piece.substr(0, m_size - m_bytes.size()));
    m_progress.cancel();
  }

  void end()
  {
    m_ended = true;
    m_progress.cancel();
  }

  /// Waits until more bytes have arrived or the body has ended.
  awaitable<void> wait()
  {
    boost::system::error_code ignored;
    co_await m_progress.async_wait(capture(ignored));
  }

private:
  std::size_t m_size;
  std::string m_bytes;
  bool m_ended = false;
  /// Never expires; cancelled to wake the waiting senders.
  asio::steady_timer m_progress;
};

} // namespace lovagehold
