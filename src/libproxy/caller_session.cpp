#include "caller_session.h"

#include "forwarder.h"
#include "local_routes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <openssl/sha.h>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kRelayMargin{ 50 };
constexpr std::size_t kReadChunkBytes = std::size_t{ 16 } << 10;

auto
capture(boost::system::error_code& error)
{
  return asio::redirect_error(asio::use_awaitable, error);
}

// Receives the dispatcher's actions on the session's own thread.
class ActionInbox : public std::enable_shared_from_this<ActionInbox>
{
public:
  explicit ActionInbox(const asio::any_io_executor& executor)
    : m_executor(executor)
    , m_signal(executor, TimePoint::max())
  {
  }

  void push(const Action& action)
  {
    asio::post(m_executor, [self = shared_from_this(), action] {
      self->m_actions.push_back(action);
      self->m_signal.cancel();
    });
  }

  awaitable<Action> next()
  {
    while (m_actions.empty()) {
      boost::system::error_code ignored;
      co_await m_signal.async_wait(capture(ignored));
    }
    const Action action = m_actions.front();
    m_actions.pop_front();
    co_return action;
  }

private:
  asio::any_io_executor m_executor;
  asio::steady_timer m_signal;
  std::deque<Action> m_actions;
};

// One request on its way through the entry host.
struct Exchange
{
  EntryContext& context;
  beast::tcp_stream& caller;
  beast::flat_buffer& buffer;
  StringRequest request;
  /// Set while the body has not been read.
  http::request_parser<http::buffer_body>* upload = nullptr;
  ServiceName service;
  /// Keeps route and kind valid.
  std::shared_ptr<const RoutingView> view;
  const RoutingView::Route* route = nullptr;
  const RequestKind* kind = nullptr;
  TimePoint deadline;
  std::string id;
  /// How the caller is being answered, for the metrics.
  RequestOutcome outcome = RequestOutcome::Aborted;
};

struct SessionOutcome
{
  bool keep_connection = false;
};

RequestOutcome
outcome_of(const StringResponse& response)
{
  const auto outcome = response[kOutcomeHeader];
  if (outcome == "done") {
    return RequestOutcome::Served;
  }
  return outcome == "unknown" ? RequestOutcome::Unknown : RequestOutcome::Refused;
}

awaitable<SessionOutcome>
send_answer(Exchange& exchange, StringResponse response)
{
  // A body that was not read would be taken for the next request.
  const bool body_left = exchange.upload != nullptr && !exchange.upload->is_done();
  response.keep_alive(exchange.request.keep_alive() && !body_left);
  exchange.outcome = outcome_of(response);
  boost::system::error_code error;
  exchange.caller.expires_after(exchange.context.options.limits.idle);
  co_await http::async_write(exchange.caller, response, capture(error));
  co_return SessionOutcome{ .keep_connection = !error && response.keep_alive() };
}

StringResponse
make_rejection(const Exchange& exchange, const RejectRequest& reject)
{
  const std::string outcome =
    exchange.kind->request_class == RequestClass::NonIdempotent ? "not-run" : "refused";
  StringResponse response = make_error(exchange.request,
                                       http::status::service_unavailable,
                                       "the request was not served",
                                       "send it again after the time in Retry-After",
                                       outcome);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(reject.retry_after).count();
  response.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds, 1)));
  return response;
}

awaitable<bool>
read_whole_body(Exchange& exchange)
{
  std::string body;
  std::array<char, kReadChunkBytes> chunk{};
  boost::system::error_code error;
  while (!exchange.upload->is_done()) {
    exchange.upload->get().body().data = chunk.data();
    exchange.upload->get().body().size = chunk.size();
    exchange.caller.expires_after(exchange.context.options.limits.idle);
    co_await http::async_read(exchange.caller, exchange.buffer, *exchange.upload, capture(error));
    if (error && error != http::error::need_buffer) {
      co_return false;
    }
    body.append(chunk.data(), chunk.size() - exchange.upload->get().body().size);
    if (body.size() > kBufferedBodyBytes) {
      co_return false;
    }
  }
  exchange.request.body() = std::move(body);
  exchange.request.prepare_payload();
  exchange.upload = nullptr;
  co_return true;
}

void
set_call_headers(Exchange& exchange, TimePoint now)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - now);
  exchange.request.set(kDeadlineHeader, std::to_string(std::max<std::int64_t>(left.count(), 0)));
  exchange.request.set("Lovagehold-Request-Id", exchange.id);
}

awaitable<SessionOutcome>
relay_to_owner(Exchange& exchange)
{
  const std::string address = exchange.route->homes.front().caller_address;
  exchange.request.set(kRelayedHeader, exchange.context.options.self);
  exchange.request.set(kServiceHeader, exchange.service);
  const ForwardResult result = co_await forward_request(exchange.caller,
                                                        exchange.buffer,
                                                        exchange.request,
                                                        exchange.upload,
                                                        address,
                                                        exchange.deadline + kRelayMargin);
  if (result.answered) {
    exchange.outcome =
      result.status == AttemptStatus::Succeeded ? RequestOutcome::Relayed : RequestOutcome::Aborted;
    co_return SessionOutcome{ .keep_connection = result.caller_usable };
  }
  const bool not_run = result.status == AttemptStatus::FailedUnstarted;
  co_return co_await send_answer(exchange,
                                 make_error(exchange.request,
                                            http::status::bad_gateway,
                                            "the owner of the service did not answer",
                                            "ask /.lovagehold/where again and retry",
                                            not_run ? "not-run" : "unknown"));
}

StringResponse
make_stored_answer(const Exchange& exchange, const StoredAnswer& answer)
{
  StringResponse response(static_cast<http::status>(answer.status), exchange.request.version());
  if (!answer.content_type.empty()) {
    response.set(http::field::content_type, answer.content_type);
  }
  response.set(kOutcomeHeader, "done");
  response.body() = answer.body;
  response.prepare_payload();
  return response;
}

StringResponse
make_claim_refusal(const Exchange& exchange, const ApplyResult& claim)
{
  switch (claim.claim) {
    case ClaimStatus::Done:
      return make_stored_answer(exchange, *claim.answer);
    case ClaimStatus::InProgress:
      return make_error(exchange.request,
                        http::status::conflict,
                        "the key is in progress",
                        "ask /.lovagehold/keys for its outcome",
                        "in-progress");
    case ClaimStatus::DigestDiffers:
      return make_error(exchange.request,
                        http::status::unprocessable_entity,
                        "the key was used with another body",
                        "use a new Idempotency-Key for a new request",
                        "not-run");
    case ClaimStatus::StoreFull:
      return make_error(exchange.request,
                        http::status::service_unavailable,
                        "the store of outcomes is full",
                        "try again later",
                        "not-run");
    default:
      return make_error(exchange.request,
                        http::status::gateway_timeout,
                        "the request may have run",
                        "check its effect before sending it under a new key",
                        "unknown");
  }
}

Digest
digest_of(const std::string& body)
{
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data());
  return digest;
}

WallTime
wall_now()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::optional<RequestId>
parse_attempt(const Action& action)
{
  const auto* start = std::get_if<StartAttempt>(&action);
  return start == nullptr ? std::nullopt : std::optional<RequestId>(start->attempt);
}

// Makes the claim on the key durable. \return nothing if the attempt may run, else the answer to
// give.
awaitable<std::optional<StringResponse>>
claim_key(Exchange& exchange, const std::string& key, const std::string& attempt)
{
  const ClaimKey claim{ .service = exchange.service,
                        .key = key,
                        .body_digest = digest_of(exchange.request.body()),
                        .attempt = attempt,
                        .holder = exchange.context.options.self,
                        .now = wall_now(),
                        .keep = exchange.route->declaration.keep_outcomes };
  const SlotShare share = exchange.context.table.share(exchange.service, Clock::now());
  if (share == SlotShare::Isolated || share == SlotShare::None) {
    // Nothing was proposed for this attempt, so it is certain that it does not run.
    co_return make_error(exchange.request,
                         http::status::service_unavailable,
                         "this host has no valid lease and can't claim the key",
                         "send the request to the next address of the service",
                         "not-run");
  }
  const Command command = claim;
  const Result<ApplyResult> result = co_await propose(exchange.context, command);
  if (result.has_error()) {
    // The claim may still be committed later, so the outcome can't be told.
    ApplyResult unknown;
    unknown.claim = ClaimStatus::Unknown;
    co_return make_claim_refusal(exchange, unknown);
  }
  if (result.value().claim == ClaimStatus::Granted) {
    co_return std::nullopt;
  }
  co_return make_claim_refusal(exchange, result.value());
}

awaitable<void>
record_outcome(Exchange& exchange,
               const std::string& key,
               const std::string& attempt,
               const ForwardResult& result)
{
  RecordOutcome record{
    .service = exchange.service, .key = key, .attempt = attempt, .now = wall_now()
  };
  if (result.status == AttemptStatus::Succeeded) {
    record.answer = { .status = result.status_code,
                      .content_type = result.content_type,
                      .body = result.body,
                      .truncated = result.body_truncated };
  } else if (result.status == AttemptStatus::FailedUnstarted) {
    record.outcome = OutcomeKind::NotRun;
  } else {
    co_return;
  }
  const Command command = record;
  static_cast<void>(co_await propose(exchange.context, command));
}

struct AttemptOutcome
{
  AttemptResult result;
  bool answered = false;
  bool caller_usable = false;
};

// Runs one attempt, with its claim if the request is not idempotent.
awaitable<AttemptOutcome>
run_attempt(Exchange& exchange, const StartAttempt& start)
{
  const bool claimed = exchange.kind->request_class == RequestClass::NonIdempotent;
  const std::string key(exchange.request[kKeyHeader]);
  const std::string attempt = exchange.id + "/" + std::to_string(start.attempt);
  if (claimed) {
    if (auto refusal = co_await claim_key(exchange, key, attempt)) {
      const SessionOutcome sent = co_await send_answer(exchange, std::move(*refusal));
      co_return AttemptOutcome{ .result = { .status = AttemptStatus::Cancelled },
                                .answered = true,
                                .caller_usable = sent.keep_connection };
    }
  }
  set_call_headers(exchange, Clock::now());
  const ForwardResult forwarded = co_await forward_request(exchange.caller,
                                                           exchange.buffer,
                                                           exchange.request,
                                                           exchange.upload,
                                                           start.address,
                                                           exchange.deadline);
  if (forwarded.answered && forwarded.status == AttemptStatus::Succeeded) {
    exchange.outcome = RequestOutcome::Served;
  }
  if (claimed) {
    co_await record_outcome(exchange, key, attempt, forwarded);
  }
  co_return AttemptOutcome{ .result = { .status = forwarded.status,
                                        .service_time = forwarded.service_time },
                            .answered = forwarded.answered,
                            .caller_usable = forwarded.caller_usable };
}

awaitable<SessionOutcome>
serve_owned(Exchange& exchange)
{
  EntryContext& context = exchange.context;
  const auto inbox = std::make_shared<ActionInbox>(co_await asio::this_coro::executor);
  const RequestInfo info{ .request_class = exchange.kind->request_class,
                          .idempotent = exchange.kind->idempotent && exchange.upload == nullptr,
                          .deadline = exchange.deadline };
  const RequestId id = context.table.submit(
    exchange.service, info, [inbox](const Action& action) { inbox->push(action); }, Clock::now());
  AttemptStatus last = AttemptStatus::FailedUnstarted;
  while (true) {
    const Action action = co_await inbox->next();
    if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      context.table.finish(exchange.service, id, Clock::now());
      if (reject->reason == RejectReason::NotOwner && exchange.request.count(kRelayedHeader) == 0) {
        const auto view = context.view();
        const auto route = view->routes.find(exchange.service);
        const bool moved = route != view->routes.end() && !route->second.homes.empty() &&
                           route->second.homes.front().id != view->self;
        if (moved) {
          exchange.route = &route->second;
          co_return co_await relay_to_owner(exchange);
        }
      }
      const bool may_have_run =
        last != AttemptStatus::FailedUnstarted && last != AttemptStatus::Refused;
      StringResponse response = may_have_run ? make_error(exchange.request,
                                                          http::status::bad_gateway,
                                                          "the server's answer was lost",
                                                          "ask /.lovagehold/keys for the outcome",
                                                          "unknown")
                                             : make_rejection(exchange, *reject);
      co_return co_await send_answer(exchange, std::move(response));
    }
    if (!parse_attempt(action)) {
      continue;
    }
    const StartAttempt start = std::get<StartAttempt>(action);
    const AttemptOutcome outcome = co_await run_attempt(exchange, start);
    last = outcome.result.status;
    context.table.complete(exchange.service, start.attempt, outcome.result, Clock::now());
    if (outcome.answered) {
      context.table.finish(exchange.service, id, Clock::now());
      co_return SessionOutcome{ .keep_connection = outcome.caller_usable };
    }
  }
}

awaitable<SessionOutcome>
serve_service_request(Exchange& exchange)
{
  exchange.view = exchange.context.view();
  const auto& view = exchange.view;
  const auto route = view->routes.find(exchange.service);
  if (route == view->routes.end() || route->second.homes.empty()) {
    co_return co_await send_answer(
      exchange,
      make_error(exchange.request,
                 http::status::not_found,
                 "service '" + exchange.service + "' is not declared",
                 "set Lovagehold-Service or Host to a declared service",
                 "not-run"));
  }
  exchange.route = &route->second;
  const std::string target(exchange.request.target());
  exchange.kind =
    find_kind(route->second.declaration, std::string(exchange.request.method_string()), target);
  if (exchange.kind == nullptr) {
    co_return co_await send_answer(exchange,
                                   make_error(exchange.request,
                                              http::status::not_found,
                                              "no kind of request matches",
                                              "declare a kind for this method and path",
                                              "not-run"));
  }
  exchange.deadline = Clock::now() + exchange.kind->deadline;
  const bool claimed = exchange.kind->request_class == RequestClass::NonIdempotent;
  if (claimed && exchange.request[kKeyHeader].empty()) {
    co_return co_await send_answer(
      exchange,
      make_error(exchange.request,
                 http::status::bad_request,
                 "a non-idempotent request needs an Idempotency-Key header",
                 "send a key that is unique to this action",
                 "not-run"));
  }
  const auto length = exchange.upload->content_length();
  const bool buffered =
    claimed || exchange.upload->is_done() || (length && *length <= kBufferedBodyBytes);
  if (buffered && !co_await read_whole_body(exchange)) {
    co_return co_await send_answer(exchange,
                                   make_error(exchange.request,
                                              http::status::payload_too_large,
                                              "the body is too large or was cut off",
                                              "send at most 1 MiB",
                                              "not-run"));
  }
  const bool relayed = exchange.request.count(kRelayedHeader) > 0;
  if (route->second.homes.front().id != view->self && !relayed) {
    co_return co_await relay_to_owner(exchange);
  }
  co_return co_await serve_owned(exchange);
}

awaitable<SessionOutcome>
serve_request(EntryContext& context,
              beast::tcp_stream& caller,
              beast::flat_buffer& buffer,
              http::request_parser<http::buffer_body>& parser)
{
  Exchange exchange{ .context = context, .caller = caller, .buffer = buffer, .upload = &parser };
  exchange.request.base() = parser.get().base();
  exchange.id = context.options.self + "-" + std::to_string(context.next_request++);
  const std::string target(exchange.request.target());
  if (target.rfind(kLocalPrefix, 0) == 0) {
    if (!co_await read_whole_body(exchange)) {
      co_return SessionOutcome{};
    }
    StringResponse response = co_await answer_local(context, exchange.request);
    co_return co_await send_answer(exchange, std::move(response));
  }
  exchange.service = std::string(exchange.request[kServiceHeader]);
  if (exchange.service.empty()) {
    exchange.service = std::string(exchange.request[http::field::host]);
  }
  const TimePoint arrived = Clock::now();
  const SessionOutcome outcome = co_await serve_service_request(exchange);
  if (exchange.kind != nullptr) {
    context.metrics.record(
      exchange.service, exchange.kind->request_class, exchange.outcome, Clock::now() - arrived);
  }
  co_return outcome;
}

} // namespace

awaitable<void>
run_caller_session(std::shared_ptr<EntryContext> context, tcp::socket socket)
{
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  beast::tcp_stream caller(std::move(socket));
  beast::flat_buffer buffer;
  while (!context->draining) {
    http::request_parser<http::buffer_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(context->options.limits.header_bytes));
    parser.body_limit(context->options.limits.body_bytes);
    caller.expires_after(context->options.limits.idle);
    co_await http::async_read_header(caller, buffer, parser, capture(error));
    if (error) {
      break;
    }
    ++context->in_flight;
    const SessionOutcome outcome = co_await serve_request(*context, caller, buffer, parser);
    --context->in_flight;
    if (!outcome.keep_connection) {
      break;
    }
  }
  caller.socket().shutdown(tcp::socket::shutdown_both, error);
  --context->connections;
}

} // namespace lovagehold
