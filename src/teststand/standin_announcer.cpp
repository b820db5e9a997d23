#include "standin_announcer.h"

#include "lovagehold/address.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kRenewInterval{ 1000 };
constexpr std::chrono::milliseconds kRetryInterval{ 100 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 10 };

awaitable<bool>
call_entry(std::string entry, http::verb method, std::string target, std::string body)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  boost::system::error_code error;
  stream.expires_after(std::chrono::seconds(3));
  co_await stream.async_connect(*parse_endpoint(entry), capture(error));
  StringRequest request(method, target, 11);
  request.set(http::field::host, entry);
  request.body() = std::move(body);
  request.prepare_payload();
  StringResponse response;
  beast::flat_buffer buffer;
  if (!error) {
    co_await http::async_write(stream, request, capture(error));
  }
  if (!error) {
    co_await http::async_read(stream, buffer, response, capture(error));
  }
  co_return !error && response.result() == http::status::ok;
}

awaitable<void>
pause(std::chrono::milliseconds time)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

awaitable<void>
announce(StandinState& state)
{
  const StandinOptions& options = state.options();
  const nlohmann::json fields = {
    { "service", options.service },         { "id", options.id },
    { "address", options.address },         { "slots", options.slots },
    { "connections", options.connections }, { "incarnation", std::time(nullptr) }
  };
  const std::string body = fields.dump();
  std::size_t next = 0;
  while (!state.leaving) {
    const std::string entry = options.entries[next % options.entries.size()];
    const bool accepted =
      co_await call_entry(entry, http::verb::post, "/.lovagehold/servers", body);
    next += accepted ? 0 : 1;
    co_await pause(accepted ? kRenewInterval : kRetryInterval);
  }
}

awaitable<void>
drain(StandinState& state)
{
  state.leaving = true;
  const std::string target =
    "/.lovagehold/servers/" + state.options().id + "?service=" + state.options().service;
  for (const std::string& entry : state.options().entries) {
    const bool deregistered = co_await call_entry(entry, http::verb::delete_, target, "");
    if (deregistered) {
      break;
    }
  }
  while (state.running() > 0) {
    co_await pause(kDrainPollInterval);
  }
}

} // namespace lovagehold
