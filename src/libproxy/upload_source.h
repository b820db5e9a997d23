#pragma once

#include "http_types.h"
#include "lovagehold/link_pacer.h"
#include "lovagehold/settings.h"
#include "lovagehold/types.h"
#include "read_timer.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lovagehold {

/// Streamed body of a caller's request. On a slow link it is read in small pieces at a limited
/// rate; TCP flow control then limits the caller to the same rate. Keeps up to the first
/// kBufferedBodyBytes, so that the request can be resent to another server until more than that has
/// been read. Used on one thread only.
class UploadSource
{
public:
  UploadSource(beast::tcp_stream& caller,
               ReadTimer& read_timer,
               ReadBuffer& buffer,
               RequestParser& parser,
               const CallerLimits& limits,
               bool expects_continue,
               LinkPacer* pacer = nullptr);

  /// Calls close().
  ~UploadSource();
  UploadSource(const UploadSource&) = delete;
  UploadSource& operator=(const UploadSource&) = delete;

  /// Reads the next piece; responds to Expect: 100-continue first. The piece is empty on errors and
  /// at the end; it is valid until the next call.
  awaitable<std::string_view> read();

  /// Reads the whole body into kept(). \return false on errors and if the body does not fit into
  /// kBufferedBodyBytes; kept() then has the bytes read so far.
  awaitable<bool> read_all();

  /// Cancels a read in progress; reading can be continued without loss.
  void interrupt();

  /// Ends the reading for good: a read in progress is cancelled, and later ones fail with
  /// operation_aborted and do not touch the caller's connection any more. Called when the caller's
  /// request ends, because what sends the body to a server may go on for some time.
  void close();

  /// \return whether the whole body has been read.
  bool done() const { return m_parser.is_done(); }

  /// \return whether all bytes read so far are in kept(), so that they can be resent.
  bool replayable() const { return m_received == m_kept.size(); }

  /// From now on, read() keeps no bytes; those kept so far are dropped.
  void keep_nothing();

  /// First bytes of the body; empty once more than kBufferedBodyBytes have been read.
  const std::string& kept() const { return m_kept; }
  std::string take_kept() { return std::move(m_kept); }

  /// Set if the caller closed the connection, sent invalid framing or was too slow, and after
  /// interrupt() or close().
  const boost::system::error_code& error() const { return m_error; }
  /// \return whether the body can't be read to its end.
  bool failed() const { return m_error && (m_closed || m_error != asio::error::operation_aborted); }
  /// \return whether the body can't be read because the caller closed the connection.
  bool caller_left() const;

private:
  awaitable<void> send_continue();
  std::size_t max_piece_bytes() const;
  TimePoint read_deadline() const;

  beast::tcp_stream& m_caller;
  ReadTimer& m_read_timer;
  ReadBuffer& m_buffer;
  RequestParser& m_parser;
  CallerLimits m_limits;
  bool m_expects_continue;
  /// Limit of the buffer before this object lowered it; restored on destruction.
  std::size_t m_buffer_limit;
  /// Shared by all uploads to this host; null if their rate is not limited.
  LinkPacer* m_pacer;
  std::vector<char> m_read_buffer;
  std::string m_kept;
  bool m_keeps = true;
  std::uint64_t m_received = 0;
  std::optional<TimePoint> m_started;
  boost::system::error_code m_error;
  /// A read from the caller's connection is in progress.
  bool m_reading = false;
  bool m_closed = false;
};

} // namespace lovagehold
