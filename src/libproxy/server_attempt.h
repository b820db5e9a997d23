#pragma once

#include "connection_pool.h"
#include "lovagehold/dispatcher.h"
#include "upload_source.h"

#include <functional>
#include <optional>

namespace lovagehold {

/// What an attempt needs apart from the request.
struct AttemptOptions
{
  AttemptId id = 0;
  std::string address;
  /// For the response's header; with a streamed upload, counted from the end of the upload.
  TimePoint deadline;
  std::chrono::milliseconds response_time{ 1000 };
  ServerLimits limits;
  /// Never use a pooled connection: if it fails, it is not known whether a byte was read.
  bool fresh_connection = false;
  /// A 503 of the server means that the request was shed and did not run. Not for relays and not
  /// for non-idempotent requests, whose 503 is passed to the caller.
  bool shed_on_503 = false;
  /// Responses to HEAD have no body.
  bool head = false;
  /// Read bodies of unknown length up to this size before the response counts as received.
  std::size_t assemble_bytes = kStreamBufferBytes;
  bool assemble_chunked = false;
  /// Called when a streamed upload has been sent whole.
  std::function<void()> on_uploaded;
};

/// One try of a request at one address. Belongs to one thread.
class ServerAttempt : public std::enable_shared_from_this<ServerAttempt>
{
public:
  ServerAttempt(AttemptOptions options, ConnectionPool& pool);

  /// Sends the request and reads the response's header; small bodies are read as well.
  /// \param head request line and fields as bytes \param body whole body if \p upload is null
  /// \param upload source of a streamed body; sent as chunks if \p chunked
  awaitable<void> run(std::string head, std::string body, UploadSource* upload, bool chunked);

  /// Reads the next piece of the response's body. Empty at the end and on errors; valid until the
  /// next call.
  awaitable<std::string_view> read_body();

  /// Closes the connection.
  void cancel();

  /// Ends the attempt after the response: the connection returns to the pool if it is clean and is
  /// closed otherwise.
  void release();

  /// A response header was accepted.
  bool has_response() const { return m_has_response; }
  /// The response has been read to its end.
  bool is_complete() const { return m_has_response && m_parser->is_done(); }

  ResponseParser::value_type& response() { return m_parser->get(); }
  std::optional<std::uint64_t> content_length() const;
  /// Part of the body read by run().
  const std::string& assembled() const { return m_assembled; }

  const AttemptOptions& options() const { return m_options; }
  AttemptResult result() const { return { .status = m_status, .service_time = m_service_time }; }
  AttemptStatus status() const { return m_status; }
  bool cancelled() const { return m_cancelled; }

  /// A byte of the request may have reached the server.
  bool started() const { return m_started; }

  /// Ends the attempt before any byte is sent.
  void end_unstarted() { m_status = AttemptStatus::FailedUnstarted; }

private:
  awaitable<bool> connect(bool allow_pooled);
  awaitable<void> exchange(const std::string& head, const std::string& body);
  awaitable<void> exchange_upload(std::string head, UploadSource& upload, bool chunked);
  awaitable<void> send_upload(std::string head, UploadSource& upload, bool chunked);
  awaitable<boost::system::error_code> send_kept(UploadSource& upload, bool chunked);
  awaitable<boost::system::error_code> send_piece(std::string_view piece, bool chunked);
  awaitable<void> read_header();
  awaitable<void> assemble();
  awaitable<std::string_view> read_piece(TimePoint deadline);
  bool retry_on_fresh_connection() const;
  void fail();

  AttemptOptions m_options;
  ConnectionPool& m_pool;
  std::shared_ptr<ServerConnection> m_connection;
  std::optional<ResponseParser> m_parser;
  std::vector<char> m_chunk;
  std::string m_assembled;
  AttemptStatus m_status = AttemptStatus::Failed;
  TimePoint m_sent;
  /// The response's header and a small body have to arrive by then.
  TimePoint m_response_deadline;
  Duration m_service_time{};
  bool m_started = false;
  bool m_cancelled = false;
  bool m_has_response = false;
  bool m_response_begun = false;
  bool m_request_sent = false;
  bool m_stop_sending = false;
  boost::system::error_code m_error;
};

} // namespace lovagehold
