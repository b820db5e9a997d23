#pragma once

#include "connection_pool.h"
#include "lovagehold/dispatcher.h"
#include "upload_source.h"

#include <functional>
#include <optional>

namespace lovagehold {

/// Parameters of an attempt apart from the request itself.
struct AttemptOptions
{
  std::string address;
  /// Value of the request id field that is sent. A response with another value is an additional
  /// response to an earlier request on the connection and is not accepted. Empty to accept any.
  std::string request_id;
  /// Time by which the header and a small body of the response must arrive; may be extended by
  /// response_time.
  TimePoint deadline;
  /// After a streamed upload has been sent, the response may take at least this long.
  std::chrono::milliseconds response_time{ 1000 };
  ServerLimits limits;
  /// Do not use a pooled connection: when one fails, it is not known whether the server has read
  /// the request.
  bool fresh_connection = false;
  /// Treat a 503 of the server as load shedding: the request did not run. Unset for relays and for
  /// non-idempotent requests, where a 503 is passed to the caller.
  bool shed_on_503 = false;
  /// The request's method is HEAD, so that the response has no body.
  bool head_request = false;
  /// Response bodies up to this size are read into memory before the response counts as received.
  std::size_t max_buffered_body_bytes = kStreamBufferBytes;
  /// Also read bodies of unknown length, until they exceed max_buffered_body_bytes.
  bool buffer_chunked_body = false;
  /// Called when a streamed upload has been sent completely.
  std::function<void()> on_uploaded;
};

/// One attempt to send a request to one address. Used on one thread only.
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
  ServerAttempt(AttemptOptions options, ConnectionPool& pool);

  /// Sends the request and reads the response's header and a small body.
  /// \param head request line and header fields as sent
  /// \param body whole body if \p upload is null
  /// \param upload source of a streamed body
  /// \param chunked send the streamed body with chunked transfer coding
  awaitable<void> run(std::string head, std::string body, UploadSource* upload, bool chunked);

  /// Reads the next piece of the response's body. Empty at the end and on errors; valid until the
  /// next call.
  awaitable<std::string_view> read_body();

  /// Cancels the attempt and closes its connection.
  void cancel();

  /// Ends the attempt after the response: returns the connection to the pool if it can be reused,
  /// closes it otherwise.
  void release();

  /// \return whether a valid response header has been received and the response has not failed.
  bool has_response() const { return m_has_response; }
  /// \return whether the response has been read to its end.
  bool is_complete() const { return m_has_response && m_parser->is_done(); }

  ResponseParser::value_type& response() { return m_parser->get(); }
  std::optional<std::uint64_t> content_length() const;
  /// Part of the body read by run().
  const std::string& buffered_body() const { return m_buffered_body; }

  const AttemptOptions& options() const { return m_options; }
  AttemptResult result() const { return { .status = m_status, .service_time = m_service_time }; }
  AttemptStatus status() const { return m_status; }
  bool cancelled() const { return m_cancelled; }

  /// \return whether any byte of the request may have reached the server.
  bool started() const { return m_started; }

  /// Sets the status of an attempt that is given up before run() was called.
  void mark_unstarted() { m_status = AttemptStatus::FailedUnstarted; }

private:
  awaitable<bool> connect(bool allow_pooled);
  // Sends a request whose body is in memory and reads the response's header.
  awaitable<void> exchange_buffered(const std::string& head, const std::string& body);
  awaitable<void> exchange_streamed(std::string head, UploadSource& upload, bool chunked);
  awaitable<void> send_upload(std::string head, UploadSource& upload, bool chunked);
  // Sends the part of the body that has already been read, before run() or by an earlier attempt.
  awaitable<boost::system::error_code> send_kept(UploadSource& upload, bool chunked);
  awaitable<boost::system::error_code> send_piece(std::string_view piece, bool chunked);
  awaitable<void> read_header();
  awaitable<void> buffer_small_body();
  awaitable<std::string_view> read_piece(TimePoint deadline);
  bool retry_on_fresh_connection() const;
  // Sets the status of a failed attempt and closes its connection.
  void fail();

  AttemptOptions m_options;
  ConnectionPool& m_pool;
  std::shared_ptr<ServerConnection> m_connection;
  std::optional<ResponseParser> m_parser;
  std::vector<char> m_read_buffer;
  std::string m_buffered_body;
  AttemptStatus m_status = AttemptStatus::Failed;
  TimePoint m_sent_at;
  /// Time by which the header and a small body of the response must arrive.
  TimePoint m_response_deadline;
  Duration m_service_time{};
  bool m_started = false;
  bool m_cancelled = false;
  bool m_has_response = false;
  bool m_response_begun = false;
  /// The whole request has been sent, so that the connection can be reused.
  bool m_request_sent = false;
  /// The response's header arrived or reading it failed: the rest of the upload is not sent.
  bool m_stop_sending = false;
  boost::system::error_code m_error;
};

} // namespace lovagehold
