#include "forwarder.h"

#include "lovagehold/address.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>

namespace lovagehold {

namespace {

using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t kChunkBytes = std::size_t{ 64 } << 10;
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
constexpr std::chrono::seconds kBodyTimeout{ 30 };

auto
capture(boost::system::error_code& error)
{
  return asio::redirect_error(asio::use_awaitable, error);
}

// Streams the rest of an upload that the caller is still sending.
awaitable<bool>
stream_upload(beast::tcp_stream& caller,
              beast::flat_buffer& caller_buffer,
              http::request_parser<http::buffer_body>& upload,
              beast::tcp_stream& server,
              http::request<http::buffer_body>& request)
{
  std::vector<char> chunk(kChunkBytes);
  http::request_serializer<http::buffer_body> serializer(request);
  boost::system::error_code error;
  co_await http::async_write_header(server, serializer, capture(error));
  while (!error && !serializer.is_done()) {
    if (!upload.is_done()) {
      upload.get().body().data = chunk.data();
      upload.get().body().size = chunk.size();
      caller.expires_after(kBodyTimeout);
      co_await http::async_read(caller, caller_buffer, upload, capture(error));
      if (error == http::error::need_buffer) {
        error = {};
      }
      if (error) {
        break;
      }
      request.body().data = chunk.data();
      request.body().size = chunk.size() - upload.get().body().size;
      request.body().more = !upload.is_done();
    } else {
      request.body().data = nullptr;
      request.body().size = 0;
      request.body().more = false;
    }
    server.expires_after(kBodyTimeout);
    co_await http::async_write(server, serializer, capture(error));
    if (error == http::error::need_buffer) {
      error = {};
    }
  }
  co_return !error;
}

void
copy_answer_header(const Parser& parser, ForwardResult& result)
{
  result.status_code = parser.get().result_int();
  result.content_type = std::string(parser.get()[http::field::content_type]);
}

void
keep_chunk(ForwardResult& result, const std::vector<char>& chunk, std::size_t size)
{
  if (result.body.size() + size <= kStoredBodyBytes) {
    result.body.append(chunk.data(), size);
  } else {
    result.body_truncated = true;
  }
}

// The caller is gone, but the server has answered: reads what can be stored as the outcome, so that
// the key of a non-idempotent request does not stay in progress.
awaitable<void>
keep_answer(beast::tcp_stream& server,
            beast::flat_buffer& server_buffer,
            Parser& parser,
            ForwardResult& result)
{
  std::vector<char> chunk(kChunkBytes);
  boost::system::error_code error;
  while (!error && !parser.is_done() && !result.body_truncated) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    server.expires_after(kBodyTimeout);
    co_await http::async_read(server, server_buffer, parser, capture(error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (!error) {
      keep_chunk(result, chunk, chunk.size() - parser.get().body().size);
    }
  }
  result.caller_usable = false;
  result.status = error ? AttemptStatus::Failed : AttemptStatus::Succeeded;
}

// Streams the answer to the caller. A cut answer must not look complete, so the caller's connection
// is not usable after it.
awaitable<void>
stream_answer(beast::tcp_stream& server,
              beast::flat_buffer& server_buffer,
              Parser& parser,
              beast::tcp_stream& caller,
              ForwardResult& result)
{
  std::vector<char> chunk(kChunkBytes);
  boost::system::error_code error;
  http::response<http::buffer_body>& answer = parser.get();
  const bool server_keeps = answer.keep_alive();
  answer.erase(http::field::connection);
  answer.keep_alive(result.caller_usable);
  answer.body().data = nullptr;
  answer.body().size = 0;
  answer.body().more = !parser.is_done();
  http::response_serializer<http::buffer_body> serializer(answer);
  caller.expires_after(kBodyTimeout);
  co_await http::async_write_header(caller, serializer, capture(error));
  result.answered = true;
  if (error) {
    co_await keep_answer(server, server_buffer, parser, result);
    co_return;
  }
  while (!error && !serializer.is_done()) {
    if (!parser.is_done()) {
      answer.body().data = chunk.data();
      answer.body().size = chunk.size();
      server.expires_after(kBodyTimeout);
      co_await http::async_read(server, server_buffer, parser, capture(error));
      if (error == http::error::need_buffer) {
        error = {};
      }
      if (error) {
        break;
      }
      const std::size_t size = chunk.size() - answer.body().size;
      keep_chunk(result, chunk, size);
      answer.body().data = chunk.data();
      answer.body().size = size;
      answer.body().more = !parser.is_done();
    } else {
      answer.body().data = nullptr;
      answer.body().size = 0;
      answer.body().more = false;
    }
    caller.expires_after(kBodyTimeout);
    co_await http::async_write(caller, serializer, capture(error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error) {
      co_await keep_answer(server, server_buffer, parser, result);
      co_return;
    }
  }
  static_cast<void>(server_keeps);
  result.status = error ? AttemptStatus::Failed : AttemptStatus::Succeeded;
  result.caller_usable = result.caller_usable && !error;
}

} // namespace

awaitable<ForwardResult>
forward_request(beast::tcp_stream& caller,
                beast::flat_buffer& caller_buffer,
                const StringRequest& request,
                http::request_parser<http::buffer_body>* upload,
                std::string address,
                TimePoint deadline)
{
  ForwardResult result;
  result.caller_usable = request.keep_alive();
  boost::system::error_code error;
  beast::tcp_stream server(co_await asio::this_coro::executor);
  const auto endpoint = parse_endpoint(address);
  // The deadline may have passed while the claim of the key was being committed.
  const bool too_late = upload == nullptr && Clock::now() >= deadline;
  if (!endpoint || too_late) {
    result.status = AttemptStatus::FailedUnstarted;
    co_return result;
  }
  server.expires_after(kConnectTimeout);
  co_await server.async_connect(*endpoint, capture(error));
  if (error) {
    result.status = AttemptStatus::FailedUnstarted;
    co_return result;
  }
  server.socket().set_option(tcp::no_delay(true), error);
  const TimePoint sent = Clock::now();
  if (upload != nullptr) {
    http::request<http::buffer_body> streamed;
    streamed.base() = request.base();
    streamed.body().data = nullptr;
    streamed.body().more = true;
    if (!co_await stream_upload(caller, caller_buffer, *upload, server, streamed)) {
      result.caller_usable = false;
      co_return result;
    }
  } else {
    server.expires_at(deadline);
    co_await http::async_write(server, request, capture(error));
    if (error) {
      co_return result;
    }
  }
  beast::flat_buffer server_buffer;
  Parser parser;
  // Beast of Boost 1.74 takes boost::none for a limit of zero.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  server.expires_at(
    std::max(deadline, Clock::now() + (upload != nullptr ? kBodyTimeout : Duration{})));
  do {
    co_await http::async_read_header(server, server_buffer, parser, capture(error));
  } while (!error && parser.get().result() == http::status::continue_);
  result.service_time = Clock::now() - sent;
  if (error) {
    result.status =
      error == beast::error::timeout ? AttemptStatus::TimedOut : AttemptStatus::Failed;
    co_return result;
  }
  copy_answer_header(parser, result);
  co_await stream_answer(server, server_buffer, parser, caller, result);
  co_return result;
}

} // namespace lovagehold
