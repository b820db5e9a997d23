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

// Finds the route and the kind. \return the response if there is none or a header is missing.
std::optional<StringResponse>
find_route(Exchange& exchange)
{
  exchange.service = service_of(exchange.request);
  exchange.view = exchange.context.view();
  const auto route = exchange.view->routes.find(exchange.service);
  if (route == exchange.view->routes.end() || route->second.homes.empty()) {
    return make_error(exchange.request,
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
    return make_error(exchange.request,
                      http::status::not_found,
                      "no kind of request matches",
                      "declare a kind for this method and path",
                      "not-run");
  }
  if (exchange.non_idempotent() && exchange.request[kKeyHeader].empty()) {
    return make_error(exchange.request,
                      http::status::bad_request,
                      "a non-idempotent request needs an Idempotency-Key header",
                      "send a key that is unique to this action",
                      "not-run");
  }
  return std::nullopt;
}

// The levels above may shorten the deadline and lower the retries, never extend them.
void
set_call_limits(Exchange& exchange)
{
  std::chrono::milliseconds time = exchange.kind->deadline;
  if (const auto left = parse_number_field(exchange.request, kDeadlineHeader)) {
    time = std::min(time, std::chrono::milliseconds(*left));
  }
  exchange.deadline = Clock::now() + time;
  const auto retries = parse_number_field(exchange.request, kRetriesHeader);
  exchange.retries_left = static_cast<unsigned>(
    std::min<std::uint64_t>(retries.value_or(kDefaultRetries), kDefaultRetries));
}

bool
wants_buffer(const Exchange& exchange)
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
  const bool whole = co_await exchange.upload.read_all();
  if (whole) {
    exchange.request.body() = exchange.upload.take_kept();
    exchange.buffered = true;
  }
  co_return whole;
}

// Reads the body, or the beginning of one that is streamed: a server that answers early must not
// get a request whose body is malformed from the start. \return whether the request may be served
awaitable<bool>
receive_body(Exchange& exchange)
{
  if (wants_buffer(exchange)) {
    const bool whole = co_await buffer_body(exchange);
    co_return whole;
  }
  co_await exchange.upload.read();
  co_return !exchange.upload.failed();
}

awaitable<SessionOutcome>
send_body_fault(Exchange& exchange)
{
  if (exchange.upload.caller_left()) {
    co_return SessionOutcome{};
  }
  const RequestFault too_large{ .status = http::status::payload_too_large,
                                .error = "the body is too large",
                                .remedy = "send at most 1 MiB" };
  const RequestFault fault =
    exchange.upload.failed() ? describe_parse_error(exchange.upload.error()) : too_large;
  StringResponse response = make_fault(exchange.request, fault);
  const SessionOutcome sent = co_await send_response(exchange, std::move(response));
  co_return sent;
}

// A relayed request whose receiver is not the owner either would travel in circles while the views
// of the hosts differ.
StringResponse
make_not_owner(const Exchange& exchange)
{
  StringResponse response = make_error(exchange.request,
                                       http::status::service_unavailable,
                                       "this host does not own the service",
                                       "ask /.lovagehold/where again and retry",
                                       exchange.rejected_outcome());
  response.set(http::field::retry_after, "1");
  return response;
}

// The host gave the service up while the request was queued.
awaitable<SessionOutcome>
follow_owner(Exchange& exchange)
{
  auto refusal = find_route(exchange);
  const bool elsewhere =
    !refusal && exchange.route->homes.front().id != exchange.context.options.self;
  if (elsewhere && exchange.request.count(kRelayedHeader) == 0) {
    const SessionOutcome relayed = co_await relay_request(exchange);
    co_return relayed;
  }
  StringResponse response = refusal ? std::move(*refusal) : make_not_owner(exchange);
  const SessionOutcome sent = co_await send_response(exchange, std::move(response));
  co_return sent;
}

awaitable<SessionOutcome>
route_to_service(Exchange& exchange)
{
  const bool owner = exchange.route->homes.front().id == exchange.view->self;
  if (!owner && exchange.request.count(kRelayedHeader) > 0) {
    StringResponse response = make_not_owner(exchange);
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
  if (owned.moved()) {
    served = co_await follow_owner(exchange);
  }
  co_return served;
}

awaitable<SessionOutcome>
route_local(Exchange& exchange)
{
  const bool whole = co_await buffer_body(exchange);
  if (!whole) {
    const SessionOutcome fault = co_await send_body_fault(exchange);
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
  auto refusal = find_route(exchange);
  if (refusal) {
    const SessionOutcome sent = co_await send_response(exchange, std::move(*refusal));
    co_return sent;
  }
  set_call_limits(exchange);
  const bool received = co_await receive_body(exchange);
  if (!received) {
    const SessionOutcome fault = co_await send_body_fault(exchange);
    co_return fault;
  }
  const SessionOutcome routed = co_await route_to_service(exchange);
  co_return routed;
}

} // namespace lovagehold
