#include "lovagehold/admin_server.h"

#include "lovagehold/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lovagehold {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::size_t kBodyBytes = std::size_t{ 4 } << 20;

// One connection of an operator's tool; keeps itself alive through its handlers.
class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
  AdminSession(tcp::socket socket, AdminServer::Handler handler)
    : m_stream(std::move(socket))
    , m_handler(std::move(handler))
  {
  }

  void read()
  {
    m_parser.emplace();
    m_parser->body_limit(kBodyBytes);
    m_stream.expires_after(kIdleTimeout);
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](auto error, auto) {
      if (!error) {
        self->handle();
      }
    });
  }

private:
  void handle()
  {
    const auto& request = m_parser->get();
    const std::string target(request.target());
    const std::size_t query = target.find('?');
    AdminRequest admin{ .method = std::string(request.method_string()),
                        .path = target.substr(0, query),
                        .query = query == std::string::npos ? "" : target.substr(query + 1),
                        .body = request.body() };
    m_stream.expires_never();
    m_handler(admin, [self = shared_from_this()](AdminResponse response) {
      self->write(std::move(response));
    });
  }

  void write(AdminResponse answer)
  {
    m_response = {};
    m_response.version(11);
    m_response.result(answer.status);
    m_response.set(http::field::content_type, answer.content_type);
    m_response.keep_alive(m_parser->get().keep_alive());
    m_response.body() = std::move(answer.body);
    m_response.prepare_payload();
    m_stream.expires_after(kIdleTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this()](auto error, auto) {
      if (!error && self->m_response.keep_alive()) {
        self->read();
      }
    });
  }

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  AdminServer::Handler m_handler;
};

} // namespace

struct AdminServer::Impl : std::enable_shared_from_this<AdminServer::Impl>
{
  Impl(asio::io_context& io, Handler admin_handler)
    : acceptor(io)
    , handler(std::move(admin_handler))
  {
  }

  void accept()
  {
    acceptor.async_accept([self = shared_from_this()](auto error, tcp::socket socket) {
      if (!self->acceptor.is_open()) {
        return;
      }
      if (!error) {
        std::make_shared<AdminSession>(std::move(socket), self->handler)->read();
      }
      self->accept();
    });
  }

  tcp::acceptor acceptor;
  Handler handler;
};

AdminServer::AdminServer(asio::io_context& context, Handler handler)
  : m_impl(std::make_shared<Impl>(context, std::move(handler)))
{
}

AdminServer::~AdminServer()
{
  boost::system::error_code ignored;
  m_impl->acceptor.close(ignored);
}

Result<void>
AdminServer::start(const std::string& address)
{
  const auto endpoint = parse_endpoint(address);
  boost::system::error_code error = asio::error::invalid_argument;
  if (endpoint) {
    m_impl->acceptor.open(endpoint->protocol(), error);
    m_impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_impl->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    m_impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = "can't listen on " + address + ": " + error.message(),
                  .remedy = "stop the process that holds the address or change listen.admin" };
  }
  m_impl->accept();
  return boost::outcome_v2::success();
}

} // namespace lovagehold
