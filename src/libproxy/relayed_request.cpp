#include "relayed_request.h"

#include "framing.h"
#include "local_routes.h"
#include "response_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace lovagehold {

namespace {

// Added to the deadline: the owner responds at the request's deadline at the latest, and its
// response needs time to arrive.
constexpr std::chrono::milliseconds kRelayMargin{ 50 };

AttemptOptions
make_attempt_options(const Exchange& exchange)
{
  return { .address = exchange.route->homes.front().caller_address,
           .deadline = exchange.deadline + kRelayMargin,
           .response_time = exchange.kind->deadline + kRelayMargin,
           .limits = exchange.context.options.attempt_limits,
           .fresh_connection = exchange.non_idempotent() || !exchange.kind->idempotent,
           .head_request = exchange.request.method() == http::verb::head };
}

awaitable<void>
run_relay(Exchange& exchange,
          std::shared_ptr<ServerAttempt> attempt,
          std::shared_ptr<ExchangeInbox> inbox)
{
  std::string head = make_forwarded_head(exchange, exchange.retries_left, true);
  std::string body = exchange.request.body();
  UploadSource* upload = exchange.buffered ? nullptr : &exchange.upload;
  const bool chunked = is_chunked_upload(exchange);
  co_await attempt->run(std::move(head), std::move(body), upload, chunked);
  inbox->push(AttemptEnded{});
}

// Waits for the end of the attempt. \return whether the caller is still connected. A non-idempotent
// request is not cancelled when the caller disconnects, because the owner may have started it.
awaitable<bool>
wait_for_owner(Exchange& exchange, ServerAttempt& attempt, ExchangeInbox& inbox)
{
  bool caller_disconnected = false;
  while (true) {
    const ExchangeEvent event = co_await inbox.next();
    if (std::holds_alternative<AttemptEnded>(event)) {
      break;
    }
    caller_disconnected = true;
    if (!exchange.non_idempotent()) {
      attempt.cancel();
    }
  }
  co_return !caller_disconnected;
}

StringResponse
make_relay_failure_response(const Exchange& exchange, const ServerAttempt& attempt)
{
  if (!exchange.buffered && exchange.upload.failed()) {
    return make_fault_response(exchange.request, describe_parse_error(exchange.upload.error()));
  }
  const bool timed_out = attempt.status() == AttemptStatus::TimedOut;
  return make_error_response(
    exchange.request,
    timed_out ? http::status::gateway_timeout : http::status::bad_gateway,
    "the owner of the service did not answer",
    "ask /.lovagehold/where again and retry; a non-idempotent request under the "
    "same key",
    attempt.started() ? "unknown" : exchange.rejected_outcome());
}

} // namespace

awaitable<SessionOutcome>
relay_request(Exchange& exchange)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto inbox = std::make_shared<ExchangeInbox>(executor, [](const Action&) {});
  CallerWatch watch(exchange.caller, inbox);
  AttemptOptions options = make_attempt_options(exchange);
  options.on_uploaded = [&watch] { watch.start(); };
  const auto attempt = std::make_shared<ServerAttempt>(options, exchange.worker.pool);
  if (exchange.buffered) {
    watch.start();
  }
  asio::co_spawn(executor, run_relay(exchange, attempt, inbox), asio::detached);
  const bool caller_present = co_await wait_for_owner(exchange, *attempt, *inbox);
  watch.stop();
  const bool disconnected_during_upload = !exchange.buffered && exchange.upload.caller_left();
  if (!caller_present || disconnected_during_upload) {
    attempt->cancel();
    co_return SessionOutcome{};
  }
  if (!attempt->has_response()) {
    StringResponse failure = make_relay_failure_response(exchange, *attempt);
    const SessionOutcome sent = co_await send_response(exchange, std::move(failure));
    co_return sent;
  }
  const Delivery delivery = co_await deliver_response(exchange, *attempt, true);
  attempt->release();
  exchange.outcome = delivery.delivered ? RequestOutcome::Relayed : RequestOutcome::Aborted;
  co_return SessionOutcome{ .keep_connection = delivery.keep_connection };
}

} // namespace lovagehold
