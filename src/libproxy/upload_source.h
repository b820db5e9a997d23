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

/// The body of a caller's request as it arrives. On a slow link it is read in pieces at a limited
/// rate: the caller then sends no faster, as the receive window is full. Keeps the first
/// kBufferedBodyBytes, so that the request can move to another server until more has been read.
/// Belongs to one thread.
class UploadSource
{
public:
  UploadSource(beast::tcp_stream& caller,
               ReadTimer& limit,
               beast::flat_buffer& buffer,
               RequestParser& parser,
               const CallerLimits& limits,
               bool expects_continue,
               LinkPacer* pacer = nullptr);

  ~UploadSource();
  UploadSource(const UploadSource&) = delete;
  UploadSource& operator=(const UploadSource&) = delete;

  /// Reads the next piece; answers Expect: 100-continue first. The piece is empty on errors and at
  /// the end; it is valid until the next call.
  awaitable<std::string_view> read();

  /// Reads up to the end. \return false on errors and if the body does not fit into
  /// kBufferedBodyBytes; what was read is in kept() then.
  awaitable<bool> read_all();

  /// Ends a read in progress; no byte is lost.
  void interrupt();

  /// The whole body has been read.
  bool done() const { return m_parser.is_done(); }

  /// All bytes read so far are in kept().
  bool replayable() const { return m_received == m_kept.size(); }

  const std::string& kept() const { return m_kept; }
  std::string take_kept() { return std::move(m_kept); }

  /// Set if the caller closed the connection, broke the framing or was too slow, or after
  /// interrupt().
  const boost::system::error_code& error() const { return m_error; }
  /// The body can't be read to its end.
  bool failed() const { return m_error && m_error != asio::error::operation_aborted; }
  /// failed() because the connection ended.
  bool caller_left() const;

private:
  awaitable<void> send_continue();
  std::size_t piece_bytes() const;
  TimePoint read_deadline() const;

  beast::tcp_stream& m_caller;
  ReadTimer& m_read_timer;
  beast::flat_buffer& m_buffer;
  RequestParser& m_parser;
  const CallerLimits& m_limits;
  bool m_expects_continue;
  /// Bodies that callers send to this host share it; null if their rate is not limited.
  LinkPacer* m_pacer;
  std::vector<char> m_chunk;
  std::string m_kept;
  std::uint64_t m_received = 0;
  std::optional<TimePoint> m_started;
  boost::system::error_code m_error;
};

} // namespace lovagehold
