#include "load_probe.h"

#include "server_notice.h"

#include "lovagehold/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

namespace lovagehold {

namespace {

constexpr std::uint32_t kMaxProbeHeaderBytes = 8U << 10;
constexpr std::size_t kMaxProbeBodyBytes = std::size_t{ 4 } << 10;

enum class ProbeOutcome
{
  Answered,    // a response from the expected server
  Failed,      // no valid response in time
  Unreachable, // no connection, or another server uses the address
};

// A set of concurrent probes; the timer is cancelled when the last one ends.
struct ProbeBatch
{
  explicit ProbeBatch(const asio::any_io_executor& executor)
    : done(executor)
  {
  }

  asio::steady_timer done;
  std::size_t pending = 0;
};

awaitable<std::shared_ptr<ServerConnection>>
open_connection(GatewayContext& context, const ServerInfo& server)
{
  auto connection = context.pool.take(server.address, Clock::now());
  const auto endpoint = parse_endpoint(server.address);
  if (connection || !endpoint) {
    co_return connection;
  }
  connection = std::make_shared<ServerConnection>(co_await asio::this_coro::executor);
  connection->set_deadline(Clock::now() + context.options.probe_timeout);
  boost::system::error_code error;
  co_await connection->socket.async_connect(*endpoint, capture(error));
  connection->clear_deadline();
  // The server's failure domain may have been evacuated since the server was chosen.
  if (error || context.is_evacuated(server)) {
    co_return nullptr;
  }
  ++context.counters.server_connections;
  connection->socket.set_option(tcp::no_delay(true), error);
  co_return connection;
}

awaitable<ProbeOutcome>
probe(GatewayContext& context,
      const ServiceName& service,
      const ServerInfo& server,
      const std::string& path)
{
  ++context.counters.probes;
  const auto connection = co_await open_connection(context, server);
  if (!connection) {
    co_return ProbeOutcome::Unreachable;
  }
  connection->set_deadline(Clock::now() + context.options.probe_timeout);
  const std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + server.address + "\r\n\r\n";
  boost::system::error_code error;
  co_await asio::async_write(connection->socket, asio::buffer(request), capture(error));
  BoundedResponseParser<http::string_body> parser;
  parser.header_limit(kMaxProbeHeaderBytes);
  parser.body_limit(kMaxProbeBodyBytes);
  if (!error) {
    co_await async_read_message(connection->socket, connection->buffer, parser, capture(error));
  }
  if (error) {
    connection->close();
    co_return ProbeOutcome::Failed;
  }
  const GatewayHeaders& names = context.options.headers;
  const beast::string_view id = parser.get()[names.server_id];
  const beast::string_view load = parser.get()[names.load];
  const bool id_matches =
    id.empty() || id == beast::string_view(server.id.data(), server.id.size());
  if (id_matches) {
    const ServerNotice notice = read_notice(parser.get(), names);
    apply_notice(context, notice, server, Clock::now());
    if (const auto warmup = read_warmup(parser.get(), names)) {
      context.selector(service).set_cold(server.id, server.incarnation, *warmup, Clock::now());
    }
  }
  if (id_matches && !load.empty()) {
    if (const auto report = names.parse_load(std::string_view(load.data(), load.size()))) {
      context.selector(service).report(server.id, *report, Clock::now());
    }
  }
  if (parser.keep_alive()) {
    context.pool.put(server.address, connection, Clock::now());
  } else {
    connection->close();
  }
  co_return id_matches ? ProbeOutcome::Answered : ProbeOutcome::Unreachable;
}

void
start_probe(GatewayContext& context,
            const ServiceName& service,
            const ServerInfo& target,
            const std::string& path,
            const std::shared_ptr<ProbeBatch>& batch)
{
  context.selector(service).begin_probe(target.id, Clock::now());
  asio::co_spawn(
    context.io,
    [&context, service, target, path, batch]() -> awaitable<void> {
      const ProbeOutcome outcome = co_await probe(context, service, target, path);
      if (outcome == ProbeOutcome::Answered) {
        context.selector(service).end_probe(target.id);
      } else {
        context.selector(service).probe_failed(
          target.id, outcome == ProbeOutcome::Unreachable, Clock::now());
      }
      if (--batch->pending == 0) {
        batch->done.cancel();
      }
    },
    context.report_exceptions("load_probe"));
}

} // namespace

awaitable<void>
probe_loads(GatewayContext& context,
            const ServiceName& service,
            const std::vector<ServerInfo>& targets,
            const std::string& path,
            TimePoint wait_until)
{
  if (targets.empty()) {
    co_return;
  }
  const auto executor = co_await asio::this_coro::executor;
  const auto batch = std::make_shared<ProbeBatch>(executor);
  batch->pending = targets.size();
  batch->done.expires_at(wait_until);
  for (const ServerInfo& target : targets) {
    start_probe(context, service, target, path, batch);
  }
  boost::system::error_code ignored;
  if (batch->pending > 0) {
    co_await batch->done.async_wait(capture(ignored));
  }
}

} // namespace lovagehold
