#include "lovagehold/admin_server.h"

#include "libhttp/bounded_reader.h"
#include "lovagehold/address.h"

#include <boost/asio/ip/tcp.hpp>

namespace lovagehold {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::seconds kIdleTimeout{ 30 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 4 } << 20;

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

// One client connection. The handlers of its asynchronous operations own it and keep it alive.
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
    m_parser->body_limit(kMaxBodyBytes);
    m_stream.expires_after(kIdleTimeout);
    async_read_message(m_stream, m_buffer, *m_parser, [self = shared_from_this()](auto error, auto) {
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
    AdminRequest admin_request{ .method = std::string(request.method_string()),
                                .path = target.substr(0, query),
                                .query = query == std::string::npos ? "" : target.substr(query + 1),
                                .body = request.body() };
    m_stream.expires_never();
    m_handler(admin_request, [self = shared_from_this()](AdminResponse response) {
      self->write(std::move(response));
    });
  }

  void write(AdminResponse response)
  {
    m_response = {};
    m_response.version(11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.content_type);
    m_response.keep_alive(m_parser->get().keep_alive());
    m_response.body() = std::move(response.body);
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
  std::optional<BoundedRequestParser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  AdminServer::Handler m_handler;
};

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
  BOOST_OUTCOME_TRYV(listen_on(m_impl->acceptor, address, "listen.admin"));
  m_impl->accept();
  return boost::outcome_v2::success();
}

} // namespace lovagehold
