#include "request_router.h"

#include "claim.h"
#include "framing.h"
#include "local_routes.h"
#include "owned_request.h"
#include "relayed_request.h"
#include "response_writer.h"

namespace lovagehold {

namespace {

constexpr unsigned kDefaultRetries = 2;

ServiceName
service_of(const StringRequest& request)
{
  std::string named(request[kServiceHeader]);
  if (!named.empty()) {
    return named;
  }
  const std::string host(request[http::field::host]);
  return host.substr(0, host.find(':'));
}

// Sets the service, its route and the kind of the request. \return an error response if there is no
// such service or kind, or if a required header is missing.
std::optional<StringResponse>
resolve_route(Exchange& exchange)
{
  exchange.service = service_of(exchange.request);
  exchange.view = exchange.context.view();
  const auto route = exchange.view->routes.find(exchange.service);
  if (route == exchange.view->routes.end() || route->second.homes.empty()) {
    return make_error_response(exchange.request,
                               http::status::not_found,
                               "service '" + exchange.service + "' is not declared",
                               "set Lovagehold-Service or Host to a declared service",
                               "not-run");
  }
  exchange.route = &route->second;
  exchange.kind = find_kind(route->second.declaration,
                            std::string(exchange.request.method_string()),
                            std::string(exchange.request.target()));
  if (exchange.kind == nullptr) {
    return make_error_response(exchange.request,
                               http::status::not_found,
                               "no kind of request matches",
                               "declare a kind for this method and path",
                               "not-run");
  }
  if (exchange.non_idempotent() && exchange.request[kKeyHeader].empty()) {
    return make_error_response(exchange.request,
                               http::status::bad_request,
                               "a non-idempotent request needs an Idempotency-Key header",
                               "send a key that is unique to this action",
                               "not-run");
  }
  return std::nullopt;
}

// The headers of the caller may shorten the deadline and lower the number of retries, not raise
// them.
void
set_deadline_and_retries(Exchange& exchange)
{
  std::chrono::milliseconds time_limit = exchange.kind->deadline;
  if (const auto remaining_ms = parse_number_field(exchange.request, kDeadlineHeader)) {
    time_limit = std::min(time_limit, std::chrono::milliseconds(*remaining_ms));
  }
  exchange.deadline = Clock::now() + time_limit;
  const auto retries = parse_number_field(exchange.request, kRetriesHeader);
  exchange.retries_left = static_cast<unsigned>(
    std::min<std::uint64_t>(retries.value_or(kDefaultRetries), kDefaultRetries));
}

bool
should_buffer_body(const Exchange& exchange)
{
  if (exchange.non_idempotent() || exchange.upload.done()) {
    return true;
  }
  const auto length = parse_number_field(exchange.request, "Content-Length");
  return length && *length <= kBufferedBodyBytes;
}

awaitable<bool>
buffer_body(Exchange& exchange)
{
  const bool complete = co_await exchange.upload.read_all();
  if (complete) {
    exchange.request.body() = exchange.upload.take_kept();
    exchange.buffered = true;
  }
  co_return complete;
}

// Reads the body, or only its first piece if it is streamed: a request whose body is malformed from
// the start must not reach a server, which might respond before the body is complete. \return
// whether the request may be served.
awaitable<bool>
receive_body(Exchange& exchange)
{
  if (should_buffer_body(exchange)) {
    const bool complete = co_await buffer_body(exchange);
    co_return complete;
  }
  co_await exchange.upload.read();
  co_return !exchange.upload.failed();
}

awaitable<SessionOutcome>
send_body_fault_response(Exchange& exchange)
{
  if (exchange.upload.caller_left()) {
    co_return SessionOutcome{};
  }
  const RequestFault too_large{ .status = http::status::payload_too_large,
                                .error = "the body is too large",
                                .remedy = "send at most 1 MiB" };
  const RequestFault fault =
    exchange.upload.failed() ? describe_parse_error(exchange.upload.error()) : too_large;
  StringResponse response = make_fault_response(exchange.request, fault);
  const SessionOutcome sent = co_await send_response(exchange, std::move(response));
  co_return sent;
}

// Response to a relayed request that reached a host that does not own the service. Relaying it
// again could loop while the routing views of the hosts differ.
StringResponse
make_not_owner_response(const Exchange& exchange)
{
  StringResponse response = make_error_response(exchange.request,
                                                http::status::service_unavailable,
                                                "this host does not own the service",
                                                "ask /.lovagehold/where again and retry",
                                                exchange.rejected_outcome());
  response.set(http::field::retry_after, "1");
  return response;
}

// Called when the service moved to another owner while the request was queued. Relays the request
// there unless it was already relayed.
awaitable<SessionOutcome>
reroute_to_new_owner(Exchange& exchange)
{
  auto refusal = resolve_route(exchange);
  const bool owned_elsewhere =
    !refusal && exchange.route->homes.front().id != exchange.context.options.self;
  if (owned_elsewhere && exchange.request.count(kRelayedHeader) == 0) {
    const SessionOutcome relayed = co_await relay_request(exchange);
    co_return relayed;
  }
  StringResponse response = refusal ? std::move(*refusal) : make_not_owner_response(exchange);
  const SessionOutcome sent = co_await send_response(exchange, std::move(response));
  co_return sent;
}

awaitable<SessionOutcome>
route_to_service(Exchange& exchange)
{
  const bool owner = exchange.route->homes.front().id == exchange.view->self;
  if (!owner && exchange.request.count(kRelayedHeader) > 0) {
    StringResponse response = make_not_owner_response(exchange);
    const SessionOutcome sent = co_await send_response(exchange, std::move(response));
    co_return sent;
  }
  if (!owner) {
    const SessionOutcome relayed = co_await relay_request(exchange);
    co_return relayed;
  }
  const auto executor = co_await asio::this_coro::executor;
  OwnedRequest owned(exchange, executor);
  SessionOutcome served = co_await owned.run();
  if (owned.ownership_moved()) {
    served = co_await reroute_to_new_owner(exchange);
  }
  co_return served;
}

awaitable<SessionOutcome>
route_local(Exchange& exchange)
{
  const bool complete = co_await buffer_body(exchange);
  if (!complete) {
    const SessionOutcome fault = co_await send_body_fault_response(exchange);
    co_return fault;
  }
  StringResponse response = co_await answer_local(exchange.context, exchange.request);
  const SessionOutcome sent = co_await send_response(exchange, std::move(response));
  co_return sent;
}

} // namespace

awaitable<SessionOutcome>
route_request(Exchange& exchange)
{
  if (exchange.request.target().starts_with(kLocalPrefix)) {
    const SessionOutcome local = co_await route_local(exchange);
    co_return local;
  }
  auto refusal = resolve_route(exchange);
  if (refusal) {
    const SessionOutcome sent = co_await send_response(exchange, std::move(*refusal));
    co_return sent;
  }
  set_deadline_and_retries(exchange);
  const bool received = co_await receive_body(exchange);
  if (!received) {
    const SessionOutcome fault = co_await send_body_fault_response(exchange);
    co_return fault;
  }
  const SessionOutcome routed = co_await route_to_service(exchange);
  co_return routed;
}

} // namespace lovagehold
