#pragma once

#include "arriving_body.h"
#include "gateway_context.h"
#include "libproxy/upload_source.h"
#include "server_notice.h"

namespace lovagehold {

/// How an exchange with a server ended.
enum class ExchangeStatus
{
  Responded,   ///< a response header was accepted
  NotExecuted, ///< the server reported that it did not execute the request
  Replaced,    ///< another server uses the address now; the request was not executed
  Unreached,   ///< no byte of the request left this host
  Broken,      ///< connection failed or response invalid; the request may have been executed
  Crashed,     ///< like Broken, and the server's process has ended
  Lost,        ///< the server has no request any more; this one may have been executed
  TimedOut,    ///< no response in time; the request may have been executed
  Cancelled,   ///< cancelled by this host
};

/// \return a stable lower-case name, used in logs.
const char* to_string(ExchangeStatus status);

/// The request as it is sent to a server.
struct OutgoingRequest
{
  /// Request line and all headers, with the empty line that ends them.
  std::string head;
  std::string id;
  std::shared_ptr<const std::string> body;
  /// The body if it is still arriving; \p body is empty then.
  std::shared_ptr<ArrivingBody> arriving;
  /// Source of a streamed body; null if \p body or \p arriving has the body. Shared, because the
  /// sending of the body may outlive the caller's request.
  std::shared_ptr<UploadSource> upload;
  bool chunked = false;
  /// Responses to HEAD have no body.
  bool head_method = false;
};

/// One request to a server and its response. Not thread-safe.
class ServerExchange : public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(GatewayContext& context, ServerInfo server)
    : m_context(context)
    , m_server(std::move(server))
    , m_send_ended(context.io, TimePoint::max())
  {
  }

  /// Sends the request and reads the response header, and up to kStreamBufferBytes of the body. The
  /// result is in status().
  awaitable<void> run(const OutgoingRequest& request, TimePoint deadline);

  /// Reads the next piece of a body that run() did not read to its end. The piece is empty at the
  /// end and on errors.
  awaitable<std::string_view> read_body(TimePoint deadline);

  /// Closes the connection.
  void cancel();

  /// Closes the connection because the server reports that it has no request any more: it has
  /// dropped this one, or its response is lost.
  void end_as_lost();

  /// \return whether the whole request has been sent and no response header has been received
  bool awaits_response() const { return m_request_sent && m_status == ExchangeStatus::Broken; }

  /// Returns the connection to the pool if it can serve another request, and closes it otherwise.
  void release();

  ExchangeStatus status() const { return m_status; }
  const ServerInfo& server() const { return m_server; }
  /// \return whether the whole response has been read.
  bool is_complete() const { return m_parser && m_parser->is_done() && !m_error; }
  const ResponseParser::value_type& response() const { return m_parser->get(); }
  std::optional<std::uint64_t> content_length() const;
  const std::string& buffered_body() const { return m_buffered_body; }
  /// \return what the server's responses on this connection said about further requests, those to
  /// other requests included
  const ServerNotice& notice() const { return m_notice; }
  /// \return the load report in the response; nothing if there is none
  const std::optional<LoadReport>& load() const { return m_load; }

private:
  awaitable<bool> connect(TimePoint deadline, bool may_reuse);
  void start_sending(const OutgoingRequest& request);
  // The sending may outlive run(), and release() takes m_connection away then, so these get the
  // connection that they write to.
  awaitable<void> send(const OutgoingRequest& request, ServerConnectionPtr connection);
  awaitable<void> send_body(const OutgoingRequest& request, ServerConnectionPtr connection);
  awaitable<void> send_arriving(const OutgoingRequest& request, ServerConnectionPtr connection);
  awaitable<void> write_piece(ServerConnectionPtr connection,
                              std::string_view piece,
                              bool chunked,
                              boost::system::error_code& error);
  awaitable<bool> read_response(const OutgoingRequest& request);
  awaitable<bool> read_header(const OutgoingRequest& request);
  awaitable<bool> discard_body();
  awaitable<void> read_small_body();
  awaitable<std::string_view> read_piece();
  awaitable<void> verify_end();
  bool matches(const OutgoingRequest& request) const;
  void classify();
  void fail();
  awaitable<void> detect_crash();

  GatewayContext& m_context;
  ServerInfo m_server;
  ServerConnectionPtr m_connection;
  std::optional<ResponseParser> m_parser;
  std::vector<char> m_read_buffer;
  /// Beginning of the response body that run() read.
  std::string m_buffered_body;
  std::optional<LoadReport> m_load;
  ServerNotice m_notice;
  boost::system::error_code m_error;
  ExchangeStatus m_status = ExchangeStatus::Unreached;
  bool m_request_sent = false;
  /// The request is being sent while the response is read.
  bool m_sending = false;
  /// Expires at the deadline; cancelled when the sending ends.
  asio::steady_timer m_send_ended;
  /// False after a response to another request has been read from the connection.
  bool m_clean = true;
  bool m_cancelled = false;
  bool m_lost = false;
};

} // namespace lovagehold
