#include "owned_request.h"

#include "framing.h"
#include "local_routes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace lovagehold {

namespace {

// Statuses that count as failures of the server. The dispatcher has to know of them, because error
// responses are fast: a failing server would look lightly loaded and receive more requests.
bool
is_server_error(http::status status)
{
  return status == http::status::internal_server_error || status == http::status::bad_gateway ||
         status == http::status::service_unavailable || status == http::status::gateway_timeout;
}

AttemptStatus
status_of(http::status status)
{
  if (status == http::status::service_unavailable) {
    return AttemptStatus::Refused;
  }
  return is_server_error(status) ? AttemptStatus::Failed : AttemptStatus::Succeeded;
}

std::function<void(const Action&)>
make_late_action_handler(Exchange& exchange)
{
  // The dispatcher may start an attempt on another thread while the request ends on this one.
  return [&context = exchange.context, service = exchange.service](const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      const AttemptResult cancelled{ .status = AttemptStatus::Cancelled };
      context.table.complete(service, start->attempt, cancelled, Clock::now());
    }
  };
}

StringResponse
make_failure_response(const Exchange& exchange, AttemptStatus status)
{
  const bool timed_out = status == AttemptStatus::TimedOut;
  return make_error_response(exchange.request,
                             timed_out ? http::status::gateway_timeout : http::status::bad_gateway,
                             timed_out ? "no server answered in time"
                                       : "the server's response was lost",
                             "send the request again",
                             "unknown");
}

StringResponse
make_rejection_response(const Exchange& exchange, const RejectRequest& reject)
{
  StringResponse response = make_error_response(exchange.request,
                                                http::status::service_unavailable,
                                                "the request was not served",
                                                "send it again after the time in Retry-After",
                                                exchange.rejected_outcome());
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(reject.retry_after).count();
  response.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds, 1)));
  return response;
}

} // namespace

OwnedRequest::OwnedRequest(Exchange& exchange, const asio::any_io_executor& executor)
  : m_exchange(exchange)
  , m_inbox(std::make_shared<ExchangeInbox>(executor, make_late_action_handler(exchange)))
  , m_watch(exchange.caller, m_inbox)
{
}

bool
OwnedRequest::decided() const
{
  if (m_winner || m_local_response || m_ownership_moved) {
    return true;
  }
  // A non-idempotent attempt runs to its end even if the caller disconnects, so that its outcome is
  // recorded.
  return m_caller_disconnected && (!m_exchange.non_idempotent() || m_running.empty());
}

void
OwnedRequest::submit()
{
  const RequestInfo info{ .request_class = m_exchange.kind->request_class,
                          .idempotent = m_exchange.kind->idempotent && !m_exchange.non_idempotent(),
                          .deadline = m_exchange.deadline,
                          .retries_left = m_exchange.retries_left };
  const auto deliver = [inbox = m_inbox](const Action& action) { inbox->push(action); };
  m_id = m_exchange.context.table.submit(m_exchange.service, info, deliver, Clock::now());
}

awaitable<SessionOutcome>
OwnedRequest::run()
{
  m_watch.start();
  submit();
  while (!decided()) {
    const ExchangeEvent event = co_await m_inbox->next();
    handle(event);
  }
  m_watch.stop();
  co_await cancel_others();
  SessionOutcome outcome;
  if (m_winner) {
    outcome = co_await deliver();
  } else if (m_local_response && !m_caller_disconnected) {
    finish();
    outcome = co_await send_response(m_exchange, std::move(*m_local_response));
  }
  finish();
  co_return outcome;
}

void
OwnedRequest::handle(const ExchangeEvent& event)
{
  if (const auto* action = std::get_if<Action>(&event)) {
    handle_action(*action);
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    handle_attempt_end(ended->attempt);
  } else {
    handle_caller_disconnect();
  }
}

void
OwnedRequest::handle_action(const Action& action)
{
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    start_attempt(*start);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    const auto found = m_running.find(cancel->attempt);
    if (found != m_running.end()) {
      found->second->server->cancel();
    }
  } else if (const auto* rejected = std::get_if<RejectRequest>(&action)) {
    reject(*rejected);
  }
}

void
OwnedRequest::reject(const RejectRequest& reject)
{
  if (reject.reason == RejectReason::NotOwner && m_attempts_started == 0 &&
      m_exchange.upload.replayable()) {
    m_ownership_moved = true;
  } else if (m_fallback) {
    m_winner = m_fallback;
  } else if (m_exchange.non_idempotent() && !m_running.empty()) {
    // handle_attempt_end() decides by whether bytes were sent.
    for (const auto& [id, running] : m_running) {
      running->server->cancel();
    }
  } else if (m_exchange.non_idempotent()) {
    m_local_response = m_may_have_executed
                         ? make_unknown_response(m_exchange, "the server's response was lost")
                         : make_rejection_response(m_exchange, reject);
  } else if (!m_running.empty()) {
    m_local_response = make_failure_response(m_exchange, AttemptStatus::TimedOut);
  } else if (m_last_status == AttemptStatus::Failed || m_last_status == AttemptStatus::TimedOut) {
    m_local_response = make_failure_response(m_exchange, m_last_status);
  } else {
    m_local_response = make_rejection_response(m_exchange, reject);
  }
}

bool
OwnedRequest::can_start(const StartAttempt& start) const
{
  if (m_caller_disconnected) {
    return false;
  }
  if (start.hedge) {
    return m_exchange.buffered && m_exchange.kind->idempotent && !m_exchange.non_idempotent();
  }
  // A streamed upload has a single reader and can be resent only while all bytes read are kept.
  return m_exchange.buffered || (m_running.empty() && m_exchange.upload.replayable());
}

AttemptOptions
OwnedRequest::make_attempt_options(const StartAttempt& start)
{
  const bool runs_once = m_exchange.non_idempotent();
  AttemptOptions options{ .address = start.address,
                          .request_id = m_exchange.id,
                          .deadline = m_exchange.deadline,
                          .response_time = m_exchange.kind->deadline,
                          .limits = m_exchange.context.options.attempt_limits,
                          .fresh_connection = runs_once || !m_exchange.kind->idempotent,
                          .shed_on_503 = !runs_once,
                          .head_request = m_exchange.request.method() == http::verb::head,
                          .max_buffered_body_bytes =
                            runs_once ? kStoredBodyBytes : kStreamBufferBytes,
                          .buffer_chunked_body = runs_once };
  options.on_uploaded = [this] { m_watch.start(); };
  return options;
}

void
OwnedRequest::start_attempt(const StartAttempt& start)
{
  if (!can_start(start)) {
    complete(start.attempt, AttemptStatus::Cancelled);
    if (!start.hedge && !m_caller_disconnected && m_running.empty()) {
      m_local_response = make_failure_response(m_exchange, m_last_status);
    }
    return;
  }
  const unsigned retries_used = start.hedge ? 0 : m_attempts_started++;
  const unsigned remaining_retries =
    m_exchange.retries_left - std::min(m_exchange.retries_left, retries_used);
  const auto running = std::make_shared<RunningAttempt>();
  running->server =
    std::make_shared<ServerAttempt>(make_attempt_options(start), m_exchange.worker.pool);
  running->claim = { .key = std::string(m_exchange.request[kKeyHeader]),
                     .attempt = m_exchange.id + "/" + std::to_string(start.attempt) };
  m_running[start.attempt] = running;
  if (!m_exchange.buffered) {
    m_watch.stop();
  }
  std::string head = make_forwarded_head(m_exchange, remaining_retries, false);
  asio::co_spawn(m_exchange.caller.get_executor(),
                 run_attempt(running, std::move(head), start.attempt),
                 asio::detached);
}

awaitable<bool>
OwnedRequest::claim_and_check(RunningAttempt& running)
{
  if (!may_claim(m_exchange)) {
    running.server->mark_unstarted();
    const RejectRequest rejection{ .reason = RejectReason::NotOwner };
    running.refusal = make_rejection_response(m_exchange, rejection);
    co_return false;
  }
  auto refusal = co_await claim_key(m_exchange, running.claim);
  running.refusal = std::move(refusal);
  if (running.refusal) {
    running.server->mark_unstarted();
    co_return false;
  }
  // The commit may have taken until after the deadline, or the caller may have disconnected.
  const bool abandoned =
    running.server->cancelled() || m_caller_disconnected || Clock::now() >= m_exchange.deadline;
  if (abandoned) {
    running.server->mark_unstarted();
    const bool recorded = co_await record_not_run(m_exchange, running.claim);
    running.unconfirmed = !recorded;
  }
  co_return !abandoned;
}

awaitable<void>
OwnedRequest::run_attempt(RunningAttemptPtr running, std::string head, AttemptId id)
{
  const auto inbox = m_inbox;
  bool runnable = true;
  if (m_exchange.non_idempotent()) {
    runnable = co_await claim_and_check(*running);
  }
  if (runnable) {
    UploadSource* upload = m_exchange.buffered ? nullptr : &m_exchange.upload;
    std::string body = m_exchange.request.body();
    const bool chunked = is_chunked_upload(m_exchange);
    co_await running->server->run(std::move(head), std::move(body), upload, chunked);
    if (m_exchange.non_idempotent() && !running->server->started()) {
      const bool recorded = co_await record_not_run(m_exchange, running->claim);
      running->unconfirmed = !recorded;
    } else if (m_exchange.non_idempotent() && !running->server->has_response()) {
      co_await record_unknown(m_exchange, running->claim);
    }
  }
  const AttemptEnded ended{ .attempt = id };
  inbox->push(ended);
}

void
OwnedRequest::handle_attempt_end(AttemptId id)
{
  const auto found = m_running.find(id);
  if (found == m_running.end()) {
    return;
  }
  const RunningAttemptPtr running = found->second;
  if (running->server->has_response() && !running->server->cancelled()) {
    handle_response(id, running);
    return;
  }
  m_running.erase(found);
  const bool caller_failed = !m_exchange.buffered && m_exchange.upload.failed();
  const bool cancelled = running->server->cancelled() || running->refusal || caller_failed;
  m_last_status = cancelled ? AttemptStatus::Cancelled : running->server->status();
  if (caller_failed && m_exchange.upload.caller_left()) {
    m_caller_disconnected = true;
  } else if (caller_failed) {
    m_local_response =
      make_fault_response(m_exchange.request, describe_parse_error(m_exchange.upload.error()));
  } else {
    handle_attempt_failure(*running);
  }
  const AttemptResult result = running->server->result();
  complete(id, m_last_status, result.service_time);
}

void
OwnedRequest::handle_attempt_failure(const RunningAttempt& running)
{
  if (running.refusal) {
    m_local_response = running.refusal;
  } else if (m_exchange.non_idempotent() && (running.server->started() || running.unconfirmed)) {
    m_may_have_executed = true;
    m_local_response = make_unknown_response(m_exchange, "the server's response was lost");
  } else if (m_last_status == AttemptStatus::Cancelled && m_running.empty() &&
             !m_caller_disconnected) {
    // The dispatcher cancels the only attempt of a request at the deadline.
    m_local_response = m_exchange.non_idempotent()
                         ? make_rejection_response(m_exchange, RejectRequest{})
                         : make_failure_response(m_exchange, AttemptStatus::TimedOut);
  } else if (!m_exchange.kind->idempotent && running.server->started()) {
    m_local_response = make_failure_response(m_exchange, m_last_status);
  }
}

void
OwnedRequest::handle_response(AttemptId id, const RunningAttemptPtr& running)
{
  const bool retryable = m_exchange.kind->idempotent && !m_exchange.non_idempotent() &&
                         m_exchange.buffered && running->server->is_complete();
  if (!retryable || !is_server_error(running->server->response().result())) {
    m_winner = running;
    m_winner_id = id;
    return;
  }
  // A retry may succeed; the dispatcher decides whether there is one.
  m_fallback = running;
  m_last_status = AttemptStatus::Failed;
  m_running.erase(id);
  running->server->release();
  complete(id, AttemptStatus::Failed, running->server->result().service_time);
}

void
OwnedRequest::handle_caller_disconnect()
{
  m_caller_disconnected = true;
}

void
OwnedRequest::complete(AttemptId id, AttemptStatus status, Duration service_time)
{
  const AttemptResult result{ .status = status, .service_time = service_time };
  m_exchange.context.table.complete(m_exchange.service, id, result, Clock::now());
}

// Cancels all attempts but the winner and waits until they have ended.
awaitable<void>
OwnedRequest::cancel_others()
{
  for (const auto& [id, running] : m_running) {
    if (running != m_winner) {
      running->server->cancel();
    }
  }
  const std::size_t remaining = m_winner != nullptr && m_running.count(m_winner_id) > 0 ? 1 : 0;
  while (m_running.size() > remaining) {
    const ExchangeEvent event = co_await m_inbox->next();
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      if (ended->attempt != m_winner_id && m_running.erase(ended->attempt) > 0) {
        complete(ended->attempt, AttemptStatus::Cancelled);
      }
    } else if (const auto* action = std::get_if<Action>(&event)) {
      if (const auto* start = std::get_if<StartAttempt>(action)) {
        complete(start->attempt, AttemptStatus::Cancelled);
      }
    }
  }
}

awaitable<SessionOutcome>
OwnedRequest::deliver()
{
  ServerAttempt& server = *m_winner->server;
  const Duration service_time = server.result().service_time;
  const bool server_error = is_server_error(server.response().result());
  const bool slot_held = m_running.erase(m_winner_id) > 0;
  // The server's slot is released as soon as the whole response has been read, before it is written
  // to the caller.
  const bool released_early = slot_held && server.is_complete() && !server_error;
  if (released_early) {
    server.release();
    complete(m_winner_id, AttemptStatus::Succeeded, service_time);
    finish();
  }
  Delivery delivery;
  if (!m_caller_disconnected) {
    delivery = co_await deliver_response(m_exchange, server, false);
    m_exchange.outcome = delivery.delivered ? RequestOutcome::Served : RequestOutcome::Aborted;
  }
  if (slot_held && !released_early) {
    const bool response_lost = !server.has_response();
    const bool response_complete = server.is_complete();
    server.release();
    // Finished before complete(), because no retry may follow a response that has begun.
    finish();
    const AttemptStatus incomplete_status =
      response_lost ? server.status() : AttemptStatus::Cancelled;
    complete(m_winner_id,
             response_complete ? status_of(server.response().result()) : incomplete_status,
             service_time);
  }
  if (m_exchange.non_idempotent()) {
    co_await record(*m_winner);
  }
  co_return SessionOutcome{ .keep_connection = delivery.keep_connection };
}

awaitable<void>
OwnedRequest::record(const RunningAttempt& running)
{
  ServerAttempt& server = *running.server;
  StoredResponse stored_response{ .status = server.response().result_int(),
                                  .content_type =
                                    std::string(server.response()[http::field::content_type]) };
  const bool storable = server.is_complete() && server.buffered_body().size() <= kStoredBodyBytes;
  stored_response.truncated = !storable;
  if (storable) {
    stored_response.body = server.buffered_body();
  }
  co_await record_done(m_exchange, running.claim, stored_response);
}

void
OwnedRequest::finish()
{
  if (m_finished) {
    return;
  }
  m_finished = true;
  m_exchange.context.table.finish(m_exchange.service, m_id, Clock::now());
  m_inbox->close();
}

} // namespace lovagehold
