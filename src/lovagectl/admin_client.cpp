#include "admin_client.h"

#include "libhttp/bounded_reader.h"
#include "lovagehold/address.h"

#include <boost/asio/io_context.hpp>
#include <cctype>
#include <memory>

namespace lovagehold {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The history page contains up to 4 MiB of changes.
constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } << 20;

// One HTTP request as a chain of asynchronous operations.
struct Call
{
  explicit Call(boost::asio::io_context& context)
    : stream(context)
  {
    response.body_limit(kMaxResponseBytes);
  }

  beast::tcp_stream stream;
  ReadBuffer buffer;
  http::request<http::string_body> request;
  BoundedResponseParser<http::string_body> response;
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
        async_read_message(stream, buffer, response, [this](auto ended, auto) { error = ended; });
      }
    });
  }
};

} // namespace

std::vector<Result<AdminHttpResponse>>
send_to_all(const std::vector<std::string>& addresses,
            const AdminHttpRequest& request,
            std::chrono::milliseconds timeout)
{
  boost::asio::io_context context;
  std::vector<std::unique_ptr<Call>> calls;
  for (const std::string& address : addresses) {
    calls.push_back(nullptr);
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
      continue;
    }
    calls.back() = std::make_unique<Call>(context);
    Call& call = *calls.back();
    call.request.version(11);
    call.request.method_string(request.method);
    call.request.target(request.target);
    call.request.set(http::field::host, address);
    call.request.body() = request.body;
    call.request.prepare_payload();
    call.stream.expires_after(timeout);
    call.start(*endpoint);
  }
  context.run();
  std::vector<Result<AdminHttpResponse>> responses;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    if (!calls[i]) {
      responses.emplace_back(
        Error{ .kind = ErrorKind::InvalidArgument,
               .message = "'" + addresses[i] + "' is not an IP:port address",
               .remedy = "give the admin address of a host, for example 127.0.0.1:7082" });
    } else if (calls[i]->error) {
      responses.emplace_back(
        Error{ .kind = ErrorKind::Unavailable,
               .message = addresses[i] + " does not answer: " + calls[i]->error.message(),
               .remedy = "check that the host runs, or give the address of another with --admin" });
    } else {
      responses.emplace_back(AdminHttpResponse{ .status = calls[i]->response.get().result_int(),
                                                .body = calls[i]->response.get().body() });
    }
  }
  return responses;
}

Result<AdminHttpResponse>
send_admin_request(const std::string& address,
                   const AdminHttpRequest& request,
                   std::chrono::milliseconds timeout)
{
  return send_to_all({ address }, request, timeout).front();
}

std::string
percent_encode(const std::string& text)
{
  static const char* const kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += c;
    } else {
      encoded += { '%', kHexDigits[byte >> 4], kHexDigits[byte & 15] };
    }
  }
  return encoded;
}

} // namespace lovagehold
