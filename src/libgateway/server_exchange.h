#pragma once

#include "gateway_context.h"
#include "libproxy/upload_source.h"

namespace lovagehold {

/// How an exchange with a server ended.
enum class ExchangeStatus
{
  Responded,   ///< a response header was accepted
  NotExecuted, ///< the server said that it did not run the request
  Replaced,    ///< another server has the address; the request did not run
  Unreached,   ///< no byte of the request left this host
  Broken,      ///< the connection failed or carried no valid response; the request may have run
  TimedOut,    ///< no response in time; the request may have run
  Cancelled,   ///< given up by this host
};

/// \return a stable lower-case name, used in logs.
const char* to_string(ExchangeStatus status);

/// The request as it goes to a server.
struct OutgoingRequest
{
  /// Request line and headers without the end of the header.
  std::string head;
  std::string id;
  std::shared_ptr<const std::string> body;
  /// Source of a body that is streamed; null if \p body is whole.
  UploadSource* upload = nullptr;
  bool chunked = false;
  /// Responses to HEAD have no body.
  bool head_method = false;
};

/// One request and response at a server. Belongs to one thread.
class ServerExchange : public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(GatewayContext& context, ServerInfo server)
    : m_context(context)
    , m_server(std::move(server))
  {
  }

  /// Sends the request and reads the response's header, and its body up to kStreamBufferBytes.
  awaitable<void> run(const OutgoingRequest& request, TimePoint deadline);

  /// Reads the next piece of a body that run() did not read whole; empty at the end and on errors.
  awaitable<std::string_view> read_body(TimePoint deadline);

  /// Closes the connection.
  void cancel();

  /// Returns the connection to the pool if it is clean, and closes it otherwise.
  void release();

  ExchangeStatus status() const { return m_status; }
  const ServerInfo& server() const { return m_server; }
  bool is_complete() const { return m_parser && m_parser->is_done(); }
  const ResponseParser::value_type& response() const { return m_parser->get(); }
  std::optional<std::uint64_t> content_length() const;
  const std::string& assembled() const { return m_assembled; }
  /// Load that the response told.
  const std::optional<LoadReport>& load() const { return m_load; }
  bool reused_connection() const { return m_reused; }

private:
  awaitable<bool> connect(TimePoint deadline);
  void start_sending(const OutgoingRequest& request);
  awaitable<void> send(const OutgoingRequest& request);
  awaitable<void> send_body(const OutgoingRequest& request);
  awaitable<bool> read_response(const OutgoingRequest& request);
  awaitable<bool> read_header(const OutgoingRequest& request);
  awaitable<bool> skip_body();
  awaitable<void> assemble();
  awaitable<std::string_view> read_piece();
  bool belongs_to(const OutgoingRequest& request) const;
  void classify();
  void fail();

  GatewayContext& m_context;
  ServerInfo m_server;
  std::shared_ptr<ServerConnection> m_connection;
  std::optional<ResponseParser> m_parser;
  std::vector<char> m_chunk;
  std::string m_assembled;
  std::optional<LoadReport> m_load;
  boost::system::error_code m_error;
  ExchangeStatus m_status = ExchangeStatus::Unreached;
  bool m_reused = false;
  bool m_sent_whole = false;
  bool m_clean = true;
  bool m_cancelled = false;
};

} // namespace lovagehold
