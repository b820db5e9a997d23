#include "lovagehold/admin_server.h"

#include "libhttp/request_fault.h"
#include "lovagehold/connection_acceptor.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <optional>

namespace lovagehold {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20;
// Bodies of all connections together: eight of the largest size, as many as operators send at once.
constexpr std::size_t kMaxTotalBodyBytes = 8 * kMaxBodyBytes;
constexpr char kRetryAfterSeconds[] = "1";

int
hex_value(char digit)
{
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = static_cast<char>(digit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string
percent_decode(const std::string& text)
{
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() && hex_value(text[i + 1]) >= 0 &&
                        hex_value(text[i + 2]) >= 0;
    if (escape) {
      decoded += static_cast<char>(hex_value(text[i + 1]) * 16 + hex_value(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

class AdminSession;

// State of a server that its sessions share.
struct AdminState
{
  AdminServer::Handler handler;
  EventLog& log;
  AdminServerOptions options;
  std::size_t connections = 0;
  // Bytes reserved for bodies that are being read or handled.
  std::size_t body_bytes = 0;
  // Sessions that wait for a request or read one, longest waiting first.
  std::map<std::uint64_t, AdminSession*> reading;
  std::uint64_t next_number = 0;
};

// One client connection. The handlers of its asynchronous operations own it and keep it alive.
class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
  AdminSession(tcp::socket socket, std::shared_ptr<AdminState> state)
    : m_stream(std::move(socket))
    , m_state(std::move(state))
  {
    ++m_state->connections;
  }

  ~AdminSession()
  {
    stop_reading();
    release_body();
    --m_state->connections;
  }

  AdminSession(const AdminSession&) = delete;
  AdminSession& operator=(const AdminSession&) = delete;

  void read()
  {
    m_number = m_state->next_number++;
    m_state->reading.emplace(m_number, this);
    m_parser.emplace();
    m_parser->body_limit(kMaxBodyBytes);
    m_stream.expires_after(kIdleTimeout);
    http::async_read_header(
      m_stream, m_buffer, *m_parser, [self = shared_from_this()](auto error, auto) {
        if (error) {
          self->reject(error);
        } else {
          self->read_body();
        }
      });
  }

  void close() { m_stream.close(); }

private:
  void read_body()
  {
    const auto length = m_parser->content_length();
    const std::size_t bytes = m_parser->chunked() ? kMaxBodyBytes : length.value_or(0);
    if (m_state->body_bytes + bytes > kMaxTotalBodyBytes) {
      refuse({ .status = http::status::service_unavailable,
               .error = "too many large bodies at once",
               .remedy = "retry after the time given, or at another host" });
      return;
    }
    m_body_bytes = bytes;
    m_state->body_bytes += bytes;
    async_read_message(
      m_stream, m_buffer, *m_parser, [self = shared_from_this()](auto error, auto) {
        if (error) {
          self->reject(error);
        } else {
          self->stop_reading();
          self->handle();
        }
      });
  }

  void stop_reading() { m_state->reading.erase(m_number); }

  void release_body() { m_state->body_bytes -= std::exchange(m_body_bytes, 0); }

  // Answers a request that can't be read, unless the client is gone.
  void reject(const boost::system::error_code& error)
  {
    const bool is_malformed =
      error.category() == make_error_code(http::error::bad_field).category();
    if (is_malformed && error != http::error::end_of_stream &&
        error != http::error::partial_message) {
      refuse(describe_parse_error(error));
    }
  }

  void refuse(const RequestFault& fault)
  {
    stop_reading();
    m_keep_alive = false;
    m_state->log.warn("call_rejected", { { "error", fault.error }, { "remedy", fault.remedy } });
    m_retry_later = fault.status == http::status::service_unavailable;
    write({ .status = static_cast<unsigned>(fault.status),
            .content_type = "text/plain",
            .body = fault.error + "; " + fault.remedy + "\n" });
  }

  void handle()
  {
    const auto& request = m_parser->get();
    const std::string target(request.target());
    const std::size_t query = target.find('?');
    AdminRequest admin_request{ .method = std::string(request.method_string()),
                                .path = target.substr(0, query),
                                .query = query == std::string::npos ? "" : target.substr(query + 1),
                                .body = request.body() };
    m_keep_alive = request.keep_alive();
    m_stream.expires_never();
    m_awaiting_reply = true;
    const auto reply = [self = shared_from_this(), call = ++m_calls](AdminResponse response) {
      self->write_reply(call, std::move(response));
    };
    try {
      m_state->handler(admin_request, reply);
    } catch (const std::exception& exception) {
      // Only this call ends, not the process with all others.
      m_state->log.warn("call_failed",
                        { { "method", admin_request.method },
                          { "path", admin_request.path },
                          { "error", exception.what() } });
      if (m_awaiting_reply) {
        m_keep_alive = false;
        write_reply(m_calls,
                    { .status = 500, .content_type = "text/plain", .body = "internal error\n" });
      }
    }
  }

  // A second reply to a call would be taken for the response to the next one.
  void write_reply(std::uint64_t call, AdminResponse response)
  {
    if (call == m_calls && std::exchange(m_awaiting_reply, false)) {
      write(std::move(response));
    } else {
      m_state->log.warn("reply_dropped", { { "status", std::to_string(response.status) } });
    }
  }

  void write(AdminResponse response)
  {
    m_response = {};
    m_response.version(11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.content_type);
    if (m_retry_later) {
      m_response.set(http::field::retry_after, kRetryAfterSeconds);
    }
    m_response.keep_alive(m_keep_alive);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    m_stream.expires_after(kIdleTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this()](auto error, auto) {
      self->release_body();
      if (!error && self->m_response.keep_alive()) {
        self->read();
      }
    });
  }

  beast::tcp_stream m_stream;
  ReadBuffer m_buffer;
  std::optional<BoundedRequestParser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  std::shared_ptr<AdminState> m_state;
  // Key in AdminState::reading.
  std::uint64_t m_number = 0;
  std::size_t m_body_bytes = 0;
  /// Calls passed to the handler, and whether the last one has no reply yet.
  std::uint64_t m_calls = 0;
  bool m_awaiting_reply = false;
  bool m_keep_alive = false;
  bool m_retry_later = false;
};

// Closes the connection that has been waiting for a request for the longest time.
// \return whether there is one
bool
close_longest_reading(AdminState& state)
{
  if (state.reading.empty()) {
    return false;
  }
  const auto longest = state.reading.begin();
  longest->second->close();
  state.reading.erase(longest);
  return true;
}

} // namespace

std::string
query_value(const std::string& query, const std::string& name)
{
  std::size_t start = 0;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return percent_decode(pair.substr(name.size() + 1));
    }
    start = end + 1;
  }
  return "";
}

struct AdminServer::Impl
{
  Impl(asio::io_context& io, Handler handler, EventLog& log, const AdminServerOptions& options)
    : state(std::make_shared<AdminState>(
        AdminState{ .handler = std::move(handler), .log = log, .options = options }))
    , acceptor(io,
               { .on_connection = [this](tcp::socket socket) { serve(std::move(socket)); },
                 .close_idle = [this] { return close_longest_reading(*state); } })
  {
  }

  void serve(tcp::socket socket) const
  {
    if (state->connections < state->options.max_connections || close_longest_reading(*state)) {
      std::make_shared<AdminSession>(std::move(socket), state)->read();
    }
  }

  std::shared_ptr<AdminState> state;
  ConnectionAcceptor acceptor;
};

AdminServer::AdminServer(asio::io_context& context,
                         Handler handler,
                         EventLog& log,
                         AdminServerOptions options)
  : m_impl(std::make_shared<Impl>(context, std::move(handler), log, options))
{
}

AdminServer::~AdminServer() = default;

Result<void>
AdminServer::start(const std::string& address)
{
  return m_impl->acceptor.start(address, "listen.admin");
}

} // namespace lovagehold
