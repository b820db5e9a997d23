#include "admin_client.h"

#include "lovagehold/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lovagehold {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The steps of one request; each starts the next.
struct Call
{
  explicit Call(boost::asio::io_context& context)
    : stream(context)
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
  boost::system::error_code error;

  void start(const boost::asio::ip::tcp::endpoint& endpoint)
  {
    stream.async_connect(endpoint, [this](auto failed) {
      error = failed;
      if (!error) {
        send();
      }
    });
  }

  void send()
  {
    http::async_write(stream, request, [this](auto failed, auto) {
      error = failed;
      if (!error) {
        http::async_read(stream, buffer, response, [this](auto ended, auto) { error = ended; });
      }
    });
  }
};

} // namespace

Result<AdminAnswer>
ask_admin(const std::string& address,
          const std::string& method,
          const std::string& target,
          const std::string& body,
          std::chrono::milliseconds timeout)
{
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = "'" + address + "' is no IP:port address",
                  .remedy = "give the admin address of a host, for example 127.0.0.1:7082" };
  }
  boost::asio::io_context context;
  Call call(context);
  call.request.version(11);
  call.request.method_string(method);
  call.request.target(target);
  call.request.set(http::field::host, address);
  call.request.body() = body;
  call.request.prepare_payload();
  call.stream.expires_after(timeout);
  call.start(*endpoint);
  context.run();
  if (call.error) {
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = address + " does not answer: " + call.error.message(),
                  .remedy = "check that the host runs, or name another with --admin" };
  }
  return AdminAnswer{ .status = call.response.result_int(), .body = call.response.body() };
}

} // namespace lovagehold
