#include "caller_session.h"

#include "exchange.h"
#include "framing.h"
#include "local_routes.h"
#include "request_router.h"
#include "response_writer.h"

namespace lovagehold {

namespace {

constexpr std::size_t kFirstReadBytes = std::size_t{ 4 } << 10;
constexpr std::chrono::seconds kRejectTimeout{ 1 };

struct Session
{
  EntryContext& context;
  EntryWorker& worker;
  beast::tcp_stream& caller;
  ReadBuffer& buffer;
  ReadTimer& read_timer;
};

// Waits for the first byte of a request. \return false if the connection is closed without one.
awaitable<bool>
wait_for_request(Session& session)
{
  if (session.buffer.size() > 0) {
    co_return true;
  }
  // During shutdown, only a request that has already begun to arrive is served.
  boost::system::error_code error;
  if (session.context.draining) {
    co_return session.caller.socket().available(error) > 0;
  }
  session.worker.idle_callers.insert(&session.caller);
  session.read_timer.arm(Clock::now() + session.context.options.limits.idle);
  const std::size_t received = co_await session.caller.async_read_some(
    session.buffer.prepare(kFirstReadBytes), capture(error));
  session.read_timer.disarm(error);
  session.worker.idle_callers.erase(&session.caller);
  session.buffer.commit(received);
  if (error == asio::error::operation_aborted) {
    co_return session.caller.socket().available(error) > 0;
  }
  co_return !error;
}

awaitable<void>
send_fault_response(Session& session, const RequestFault& fault)
{
  StringRequest request;
  request.version(11);
  StringResponse response = make_fault_response(request, fault);
  const std::string text = format_response_head(response.base()) + response.body();
  boost::system::error_code error;
  session.caller.expires_after(session.context.options.limits.body_idle);
  co_await asio::async_write(session.caller, asio::buffer(text), capture(error));
}

awaitable<bool>
read_header(Session& session, RequestParser& parser)
{
  const CallerLimits& limits = session.context.options.limits;
  parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  boost::system::error_code error;
  session.read_timer.arm(Clock::now() + limits.header_timeout);
  co_await http::async_read_header(session.caller, session.buffer, parser, capture(error));
  session.read_timer.disarm(error);
  if (!error) {
    const auto fault = check_request_header(parser.get());
    if (!fault) {
      co_return true;
    }
    co_await send_fault_response(session, *fault);
    co_return false;
  }
  const bool caller_disconnected = error == http::error::end_of_stream ||
                                   error == http::error::partial_message ||
                                   error == asio::error::connection_reset;
  if (!caller_disconnected) {
    const RequestFault fault = describe_parse_error(error);
    co_await send_fault_response(session, fault);
  }
  co_return false;
}

std::string
make_request_id(EntryContext& context)
{
  return context.options.self + "-" + std::to_string(context.start_time) + "-" +
         std::to_string(context.next_request++);
}

awaitable<bool>
serve_request(Session& session)
{
  RequestParser parser;
  const bool header_valid = co_await read_header(session, parser);
  if (!header_valid) {
    co_return false;
  }
  const bool expects_continue = parser.get().count(http::field::expect) > 0;
  UploadSource upload(session.caller,
                      session.read_timer,
                      session.buffer,
                      parser,
                      session.context.options.limits,
                      expects_continue);
  Exchange exchange{
    .context = session.context, .worker = session.worker, .caller = session.caller, .upload = upload
  };
  exchange.request.base() = parser.get().base();
  exchange.id = make_request_id(session.context);
  const TimePoint arrived = Clock::now();
  const SessionOutcome outcome = co_await route_request(exchange);
  if (exchange.kind != nullptr) {
    session.context.metrics.record(
      exchange.service, exchange.kind->request_class, exchange.outcome, Clock::now() - arrived);
  }
  co_return outcome.keep_connection;
}

} // namespace

awaitable<void>
run_caller_session(std::shared_ptr<EntryContext> context, EntryWorker& worker, tcp::socket socket)
{
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  beast::tcp_stream caller(std::move(socket));
  ReadBuffer buffer;
  buffer.allow_header(context->options.limits.header_bytes);
  ReadTimer read_timer(caller);
  Session session{ .context = *context,
                   .worker = worker,
                   .caller = caller,
                   .buffer = buffer,
                   .read_timer = read_timer };
  bool open = true;
  while (open) {
    open = co_await wait_for_request(session);
    if (open) {
      ++context->in_flight;
      open = co_await serve_request(session);
      --context->in_flight;
    }
  }
  co_await lingering_close(caller);
  --context->connections;
}

awaitable<void>
reject_caller(tcp::socket socket)
{
  beast::tcp_stream caller(std::move(socket));
  StringRequest request;
  request.version(11);
  const RequestFault fault{ .status = http::status::service_unavailable,
                            .error = "the host has too many connections",
                            .remedy = "reuse connections or use the next address" };
  StringResponse response = make_fault_response(request, fault);
  const std::string text = format_response_head(response.base()) + response.body();
  boost::system::error_code error;
  caller.expires_after(kRejectTimeout);
  co_await asio::async_write(caller, asio::buffer(text), capture(error));
  co_await lingering_close(caller);
}

} // namespace lovagehold
