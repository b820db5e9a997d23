#include "libproxy/http_types.h"
#include "lovagehold/address.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

// A stand-in for one of the served systems: announces itself, answers each request after its
// service time and counts what it ran.
namespace lovagehold {
namespace {

using nlohmann::json;

struct StandinOptions
{
  std::string service;
  std::string id;
  std::string address;
  std::vector<std::string> entries;
  std::chrono::microseconds service_time{ 2000 };
  unsigned slots = 3;
};

auto
capture(boost::system::error_code& error)
{
  return asio::redirect_error(asio::use_awaitable, error);
}

struct Standin
{
  StandinOptions options;
  std::uint64_t ran = 0;
  unsigned running = 0;
  unsigned most_running = 0;
  std::map<std::string, unsigned> runs_by_key;
  bool leaving = false;
};

StringResponse
make_report(const Standin& standin, const StringRequest& request)
{
  unsigned doubled = 0;
  for (const auto& [key, runs] : standin.runs_by_key) {
    doubled += runs > 1 ? 1 : 0;
  }
  StringResponse response(http::status::ok, request.version());
  response.body() = json{
    { "ran", standin.ran },
    { "running", standin.running },
    { "most_running", standin.most_running },
    { "keys", standin.runs_by_key.size() },
    { "doubled", doubled }
  }.dump();
  return response;
}

awaitable<StringResponse>
run_request(Standin& standin, const StringRequest& request)
{
  StringResponse response(http::status::ok, request.version());
  if (standin.running >= standin.options.slots) {
    response.result(http::status::service_unavailable);
    co_return response;
  }
  ++standin.running;
  ++standin.ran;
  standin.most_running = std::max(standin.most_running, standin.running);
  if (request.count(kKeyHeader) > 0) {
    ++standin.runs_by_key[std::string(request[kKeyHeader])];
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, standin.options.service_time);
  co_await timer.async_wait(asio::use_awaitable);
  --standin.running;
  response.set(http::field::content_type, "text/plain");
  response.body() = standin.options.id + " " + std::string(request.target()) + " " +
                    std::to_string(request.body().size()) + "\n";
  co_return response;
}

awaitable<void>
serve_connection(Standin& standin, tcp::socket socket)
{
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!error) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{ 1 } << 30);
    co_await http::async_read(stream, buffer, parser, capture(error));
    if (error) {
      break;
    }
    const StringRequest request = parser.release();
    // g++ 12 miscompiles a co_await inside a conditional expression.
    StringResponse response = make_report(standin, request);
    if (request.target() != "/standin/report") {
      response = co_await run_request(standin, request);
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await http::async_write(stream, response, capture(error));
    if (!request.keep_alive()) {
      break;
    }
  }
}

awaitable<void>
accept_loop(Standin& standin, tcp::endpoint endpoint)
{
  const auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, endpoint);
  while (true) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(executor, serve_connection(standin, std::move(socket)), asio::detached);
  }
}

awaitable<bool>
call_entry(const std::string& entry, http::verb method, std::string target, std::string body)
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
announce_loop(Standin& standin)
{
  const StandinOptions& options = standin.options;
  const json announcement = { { "service", options.service },
                              { "id", options.id },
                              { "address", options.address },
                              { "slots", options.slots },
                              { "incarnation", std::time(nullptr) } };
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::size_t next = 0;
  while (!standin.leaving) {
    const std::string& entry = options.entries[next % options.entries.size()];
    const bool heard =
      co_await call_entry(entry, http::verb::post, "/.lovagehold/servers", announcement.dump());
    next += heard ? 0 : 1;
    timer.expires_after(std::chrono::milliseconds(heard ? 1000 : 100));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void>
leave(Standin& standin, asio::io_context& context)
{
  standin.leaving = true;
  const std::string target =
    "/.lovagehold/servers/" + standin.options.id + "?service=" + standin.options.service;
  for (const std::string& entry : standin.options.entries) {
    if (co_await call_entry(entry, http::verb::delete_, target, "")) {
      break;
    }
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (standin.running > 0) {
    timer.expires_after(std::chrono::milliseconds(10));
    co_await timer.async_wait(asio::use_awaitable);
  }
  context.stop();
}

int
run(const StandinOptions& options)
{
  const auto endpoint = parse_endpoint(options.address);
  if (!endpoint || options.entries.empty()) {
    std::cerr << "standin_server: give --address IP:port and at least one --entry IP:port\n";
    return 2;
  }
  asio::io_context context(1);
  Standin standin{ .options = options };
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&](auto, int) { asio::co_spawn(context, leave(standin, context), asio::detached); });
  asio::co_spawn(context, accept_loop(standin, *endpoint), asio::detached);
  asio::co_spawn(context, announce_loop(standin), asio::detached);
  context.run();
  return 0;
}

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  TCLAP::CmdLine command("standin_server: test server");
  TCLAP::ValueArg<std::string> service("", "service", "service name", true, "", "name", command);
  TCLAP::ValueArg<std::string> id("", "id", "server id", true, "", "id", command);
  TCLAP::ValueArg<std::string> address(
    "", "address", "listen address", true, "", "IP:port", command);
  TCLAP::MultiArg<std::string> entries("", "entry", "entry host", true, "IP:port", command);
  TCLAP::ValueArg<unsigned> micros("", "service-us", "service time", false, 2000, "us", command);
  command.parse(argc, argv);
  return lovagehold::run({ .service = service.getValue(),
                           .id = id.getValue(),
                           .address = address.getValue(),
                           .entries = entries.getValue(),
                           .service_time = std::chrono::microseconds(micros.getValue()) });
}
