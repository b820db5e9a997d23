#include "server_probe.h"

#include "lovagehold/address.h"

namespace lovagehold {

namespace {

constexpr std::chrono::seconds kProbeTimeout{ 1 };
constexpr std::size_t kMaxProbeBodyBytes = std::size_t{ 64 } << 10;

} // namespace

awaitable<void>
probe_server(std::shared_ptr<EntryContext> context, ServiceName service, SendProbe probe)
{
  const TimePoint start = Clock::now();
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  StringRequest request(http::verb::get, "/health", 11);
  request.set(http::field::host, probe.address);
  request.set(http::field::connection, "close");
  BoundedResponseParser<http::string_body> response;
  response.body_limit(kMaxProbeBodyBytes);
  ReadBuffer buffer;
  const auto endpoint = parse_endpoint(probe.address);
  boost::system::error_code error = asio::error::invalid_argument;
  if (endpoint) {
    error = {};
    stream.expires_after(kProbeTimeout);
    co_await stream.async_connect(*endpoint, capture(error));
  }
  if (!error) {
    co_await http::async_write(stream, request, capture(error));
  }
  if (!error) {
    co_await async_read_message(stream, buffer, response, capture(error));
  }
  const bool healthy = !error && response.get().result() == http::status::ok;
  const TimePoint end = Clock::now();
  context->table.probe_result(service, probe.server, healthy, end - start, end);
}

} // namespace lovagehold
