#include "libproxy/http_types.h"
#include "lovagehold/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

// Minimal HTTP relay to one server, built on the same HTTP library as the entry host: reuses
// connections and forwards complete messages, without dispatching, checks or limits. It is the
// baseline for the latency that an entry host adds.
namespace lovagehold {
namespace {

using StreamPtr = std::shared_ptr<beast::tcp_stream>;

struct Relay
{
  tcp::endpoint server;
  std::deque<StreamPtr> idle;
};

awaitable<StreamPtr>
take_connection(Relay& relay)
{
  if (!relay.idle.empty()) {
    StreamPtr stream = relay.idle.back();
    relay.idle.pop_back();
    co_return stream;
  }
  const auto executor = co_await asio::this_coro::executor;
  const StreamPtr stream = std::make_shared<beast::tcp_stream>(executor);
  co_await stream->async_connect(relay.server, asio::use_awaitable);
  stream->socket().set_option(tcp::no_delay(true));
  co_return stream;
}

awaitable<void>
serve(Relay& relay, tcp::socket socket)
{
  socket.set_option(tcp::no_delay(true));
  beast::tcp_stream caller(std::move(socket));
  beast::flat_buffer caller_buffer;
  boost::system::error_code error;
  while (!error) {
    StringRequest request;
    co_await http::async_read(caller, caller_buffer, request, capture(error));
    if (error) {
      break;
    }
    const StreamPtr server = co_await take_connection(relay);
    co_await http::async_write(*server, request, capture(error));
    beast::flat_buffer server_buffer;
    StringResponse response;
    if (!error) {
      co_await http::async_read(*server, server_buffer, response, capture(error));
    }
    if (!error) {
      relay.idle.push_back(server);
      co_await http::async_write(caller, response, capture(error));
    }
  }
}

awaitable<void>
accept_loop(Relay& relay, tcp::endpoint endpoint)
{
  const auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, endpoint);
  while (true) {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(executor, serve(relay, std::move(socket)), asio::detached);
  }
}

int
run(const std::string& listen, const std::string& server)
{
  const auto endpoint = parse_endpoint(listen);
  const auto target = parse_endpoint(server);
  if (!endpoint || !target) {
    std::cerr << "relay_program: --listen and --server must be IP:port\n";
    return 2;
  }
  asio::io_context context(1);
  Relay relay{ .server = *target, .idle = {} };
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { context.stop(); });
  asio::co_spawn(context, accept_loop(relay, *endpoint), asio::detached);
  context.run();
  return 0;
}

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  TCLAP::CmdLine command("relay_program: minimal HTTP relay to one server");
  TCLAP::ValueArg<std::string> listen("", "listen", "listen address", true, "", "IP:port", command);
  TCLAP::ValueArg<std::string> server("", "server", "server address", true, "", "IP:port", command);
  command.parse(argc, argv);
  return lovagehold::run(listen.getValue(), server.getValue());
}
