#include "admin_client.h"

#include "lovagehold/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <memory>

namespace lovagehold {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The history page holds the content of up to 4 MiB of changes.
constexpr std::size_t kAnswerBytes = std::size_t{ 64 } << 20;

// The steps of one request; each starts the next.
struct Call
{
  explicit Call(boost::asio::io_context& context)
    : stream(context)
  {
    response.body_limit(kAnswerBytes);
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> response;
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

std::vector<Result<AdminAnswer>>
ask_all(const std::vector<std::string>& addresses,
        const AdminQuestion& question,
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
    call.request.method_string(question.method);
    call.request.target(question.target);
    call.request.set(http::field::host, address);
    call.request.body() = question.body;
    call.request.prepare_payload();
    call.stream.expires_after(timeout);
    call.start(*endpoint);
  }
  context.run();
  std::vector<Result<AdminAnswer>> answers;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    if (!calls[i]) {
      answers.emplace_back(
        Error{ .kind = ErrorKind::InvalidArgument,
               .message = "'" + addresses[i] + "' is no IP:port address",
               .remedy = "give the admin address of a host, for example 127.0.0.1:7082" });
    } else if (calls[i]->error) {
      answers.emplace_back(
        Error{ .kind = ErrorKind::Unavailable,
               .message = addresses[i] + " does not answer: " + calls[i]->error.message(),
               .remedy = "check that the host runs, or name another with --admin" });
    } else {
      answers.emplace_back(AdminAnswer{ .status = calls[i]->response.get().result_int(),
                                        .body = calls[i]->response.get().body() });
    }
  }
  return answers;
}

Result<AdminAnswer>
ask_admin(const std::string& address,
          const AdminQuestion& question,
          std::chrono::milliseconds timeout)
{
  return ask_all({ address }, question, timeout).front();
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
