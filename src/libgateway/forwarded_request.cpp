#include "forwarded_request.h"

#include "load_probe.h"
#include "wait_terms.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace lovagehold {

namespace {

// Interval at which the first waiting request checks again for free capacity.
constexpr std::chrono::milliseconds kCapacityCheckInterval{ 40 };
// A hedge is sent after this multiple of the mean response time. It is meant to replace an attempt
// that is stuck. An earlier hedge gains little: an attempt that is slowed down by a busy neighbour
// of its server usually still ends before the hedge does (110 of 118 cases).
constexpr double kHedgeDelayFactor = 2.5;
// Interval at which the server of a late request that can't be hedged is asked whether it still has
// requests. A response that was sent before the server's report arrives within this time.
constexpr std::chrono::milliseconds kServerCheckInterval{ 300 };
// Attempts of the retry budget that are reserved for retries; hedges do not use them.
constexpr double kRetryReserve = 3;
// Upper limit of the expected cost, relative to an idle server (1), at which a hedge is sent: it
// goes only to a nearly idle server, because it would otherwise take capacity from first attempts.
constexpr double kMaxHedgeCost = 1.3;
// A permit for a limited server is asked for only if the other servers are full or cost more than
// this multiple of the limited one.
constexpr double kUnlimitedCostFactor = 1.5;
// If the expected cost of the best known server is higher than this, servers outside the preferred
// set are probed too.
constexpr double kWiderProbeCost = 1.15;
// Pause before a request is repeated after its server has crashed: evidence of other hosts arrives,
// and the repetition counts as one after the crash, see CrashSuspects.
constexpr std::chrono::milliseconds kCrashRetryDelay{ 10 };
// Bytes of a request's target in a log line.
constexpr std::size_t kMaxLoggedTarget = 200;
// An attempt that did not reach its server is not counted towards Route::max_attempts while fewer
// than this many attempts have been made.
constexpr unsigned kUncountedAttemptLimit = 3;

std::chrono::milliseconds
to_milliseconds(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// Formats a load report and its age in milliseconds for the log.
std::string
describe_load(std::optional<Duration> age, const LoadReport& load)
{
  return fmt::format("age{}:load{}/{}/{}/{}",
                     age ? std::to_string(to_milliseconds(*age).count()) : "-",
                     load.running,
                     load.waiting,
                     load.slots,
                     static_cast<int>(100 * load.slowdown));
}

AttemptEnd
to_attempt_end(ExchangeStatus status, bool server_error)
{
  switch (status) {
    case ExchangeStatus::Responded:
      return server_error ? AttemptEnd::Failed : AttemptEnd::Served;
    case ExchangeStatus::NotExecuted:
      return AttemptEnd::Shed;
    case ExchangeStatus::Replaced:
      return AttemptEnd::Replaced;
    case ExchangeStatus::Unreached:
    case ExchangeStatus::Crashed:
      return AttemptEnd::Unreached;
    case ExchangeStatus::Broken:
      return AttemptEnd::Failed;
    case ExchangeStatus::TimedOut:
      return AttemptEnd::TimedOut;
    case ExchangeStatus::Lost:
    case ExchangeStatus::Cancelled:
      return AttemptEnd::Abandoned;
  }
  return AttemptEnd::Failed;
}

// Callers take these statuses as a statement that the request was not executed. Only the gateway
// may make it, so a server's own response with such a status is not forwarded.
bool
implies_not_executed(unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

ForwardedRequest::ForwardedRequest(GatewayContext& context, GatewayRequest request)
  : m_context(context)
  , m_request(std::move(request))
  , m_deadline(std::min(m_request.caller_deadline, m_request.arrived + m_request.route->timeout))
  , m_wakeup(context.io, TimePoint::max())
  , m_admission(context, m_request.service, m_request.service_config)
{
}

awaitable<void>
ForwardedRequest::run()
{
  m_context.budget(m_request.service).count_request(m_request.arrived);
  if (is_quarantined(m_request.arrived)) {
    give_up(m_request.arrived);
    co_return;
  }
  const RegisteredTimer registered(m_context.forwarding_waiters, m_wakeup);
  start_attempt(false);
  while (!m_given_up) {
    const TimePoint hedge = hedge_time();
    const TimePoint check = check_time();
    m_wakeup.expires_at(std::min({ answer_deadline(), hedge, check }));
    boost::system::error_code ignored;
    co_await m_wakeup.async_wait(capture(ignored));
    const TimePoint now = Clock::now();
    for (const auto& attempt : m_attempts) {
      if (attempt->done && !attempt->evaluated) {
        evaluate(*attempt);
      }
    }
    if (m_abandoned) {
      break;
    }
    if (m_winner) {
      break;
    }
    if (now >= answer_deadline()) {
      give_up(now);
    } else if (!has_active_attempts()) {
      if (may_retry(now)) {
        start_attempt(false);
      } else {
        give_up(now);
      }
    } else if (now >= hedge) {
      // Decided only once: if the hedge is denied, a hedge time in the past would make this loop
      // spin.
      m_hedged = true;
      if (may_hedge(now)) {
        start_attempt(true);
      }
    } else if (now >= check) {
      check_server(now);
    }
  }
  cancel_active_attempts();
}

// \return the time at which the caller gets an answer, whatever the servers do
TimePoint
ForwardedRequest::answer_deadline() const
{
  return m_context.shutting_down ? std::min(m_deadline, m_context.shutdown.end) : m_deadline;
}

void
ForwardedRequest::start_attempt(bool hedge)
{
  ++m_pending_selections;
  m_hedged = m_hedged || hedge;
  asio::co_spawn(
    m_context.io,
    [self = shared_from_this(), hedge]() -> awaitable<void> { co_await self->run_attempt(hedge); },
    m_context.report_exceptions("attempt"));
}

awaitable<void>
ForwardedRequest::run_attempt(bool hedge)
{
  if (std::exchange(m_server_crashed, false)) {
    asio::steady_timer timer(m_context.io, kCrashRetryDelay);
    boost::system::error_code ignored;
    co_await timer.async_wait(capture(ignored));
  }
  const bool has_capacity = co_await wait_for_capacity(hedge);
  const TimePoint now = Clock::now();
  ServerSelector* selector = &m_context.selector(m_request.service);
  const auto server = select_server(now);
  --m_pending_selections;
  if (m_request.caller_left && m_request.caller_left()) {
    abandon();
  }
  const bool too_late = !m_context.admission.has_time_for_attempt(now, m_deadline);
  if (!server || too_late || m_abandoned || m_given_up || m_winner) {
    // A hedge gets no cold server, but a retry may.
    const bool only_cold = hedge && selector->has_cold(m_tried_servers, now);
    m_no_server = !server && !only_cold;
    m_retryable = m_retryable && !m_no_server && !too_late;
    m_wakeup.cancel();
    co_return;
  }
  if (is_quarantined(now)) {
    m_retryable = false;
    m_wakeup.cancel();
    co_return;
  }
  if (!has_capacity && !hedge) {
    // A request queued at a server would finish late and slow down the requests running there.
    m_overload_detail = describe_overload(*server, now);
    m_retryable = false;
    m_wakeup.cancel();
    co_return;
  }
  const bool too_costly = hedge && selector->cost(server->id, now) > kMaxHedgeCost;
  if (too_costly) {
    m_wakeup.cancel();
    co_return;
  }
  const bool is_repeat = m_counted_attempts > 0;
  if (is_repeat && !m_context.budget(m_request.service).take(now)) {
    m_retryable = false;
    m_wakeup.cancel();
    co_return;
  }
  ++m_counted_attempts;
  m_context.counters.retries += is_repeat && !hedge ? 1 : 0;
  m_context.counters.hedges += hedge ? 1 : 0;
  m_tried_servers.insert(server->id);
  const auto attempt = std::make_shared<Attempt>();
  attempt->exchange = std::make_shared<ServerExchange>(m_context, *server);
  attempt->server = *server;
  attempt->started = now;
  attempt->cost = selector->cost(server->id, now);
  attempt->report_age = selector->report_age(server->id, now);
  attempt->load = selector->last_report(server->id);
  attempt->limit = selector->limit(server->id);
  m_attempts.push_back(attempt);
  selector->begin(server->id, now);
  m_context.counters.cold_requests += selector->is_cold(server->id, now) ? 1 : 0;
  const OutgoingRequest request = make_outgoing_request(*server, now);
  // Wakes run(), which can compute the hedge time now that the attempt has started.
  m_wakeup.cancel();
  co_await attempt->exchange->run(request, m_deadline);
  attempt->done = true;
  attempt->elapsed = Clock::now() - now;
  if (m_given_up || m_abandoned || m_winner) {
    evaluate(*attempt);
  }
  m_wakeup.cancel();
}

// Waits for a limited time until a server has free capacity. A hedge checks once and does not wait.
awaitable<bool>
ForwardedRequest::wait_for_capacity(bool hedge)
{
  const WaitTerms terms = wait_terms(m_context, m_request, m_deadline, Clock::now());
  WaitingQueue& queue = m_context.queues[m_request.service];
  if (hedge || queue.is_empty()) {
    const bool has_capacity = co_await check_capacity(hedge ? TimePoint::min() : terms.usual_end);
    if (hedge || has_capacity) {
      co_return has_capacity;
    }
  }
  WaitingQueue::Waiter waiter(queue, m_context.io, terms);
  TimePoint latest = waiter.wait_end(Clock::now());
  while (!m_abandoned && !m_given_up && Clock::now() < latest &&
         m_context.selector(m_request.service).is_callable_until(latest, Clock::now())) {
    const bool checks = waiter.is_first() || terms.follows_queue;
    co_await waiter.wait_until(checks ? std::min(Clock::now() + kCapacityCheckInterval, latest)
                                      : latest);
    if (waiter.is_first()) {
      const bool has_capacity = co_await check_capacity(latest);
      if (has_capacity) {
        waiter.count_served();
        co_return true;
      }
    }
    latest = waiter.wait_end(Clock::now());
  }
  co_return false;
}

// Probes the best servers and asks for a permit if only limited ones have free capacity.
// \param latest latest time at which a permitted request may be sent; no permit is asked for if it
// has passed
// \return whether the best server has free capacity, or no server is left to wait for
awaitable<bool>
ForwardedRequest::check_capacity(TimePoint latest)
{
  const std::shared_ptr<const RoutedService>& service = m_request.service_config;
  const auto pick_best = [this] {
    const ServerSelector& selector = m_context.selector(m_request.service);
    return selector.pick(Clock::now(), m_tried_servers, body_bytes(), m_context.random);
  };
  if (service != nullptr && !service->health_path.empty()) {
    co_await probe(true, service->health_path);
    const auto candidate = pick_best();
    // Servers outside the preferred set are probed only if the best known server is not nearly
    // idle.
    if (candidate &&
        m_context.selector(m_request.service).cost(candidate->id, Clock::now()) > kWiderProbeCost) {
      co_await probe(false, service->health_path);
    }
  }
  const auto server = pick_best();
  const ServerSelector& selector = m_context.selector(m_request.service);
  const bool has_capacity = server && selector.has_free_capacity(server->id, Clock::now());
  const double max_cost = has_capacity
                            ? selector.cost(server->id, Clock::now()) / kUnlimitedCostFactor
                            : std::numeric_limits<double>::max();
  const bool permitted = co_await m_admission.obtain_permit(m_tried_servers, max_cost, latest);
  const TimePoint now = Clock::now();
  const bool reachable = server && !selector.is_ejected(server->id, now);
  if (permitted || (has_capacity && reachable) ||
      m_admission.obtain_share(m_tried_servers, latest, now)) {
    co_return true;
  }
  const bool none_left =
    !server && selector.limited_count() == 0 && !selector.has_cold(m_tried_servers, now);
  co_return has_capacity || none_left;
}

std::optional<ServerInfo>
ForwardedRequest::select_server(TimePoint now)
{
  if (auto server = m_admission.take_server(now)) {
    return server;
  }
  const ServerSelector& selector = m_context.selector(m_request.service);
  return selector.pick(now, m_tried_servers, body_bytes(), m_context.random);
}

std::string
ForwardedRequest::describe_overload(const ServerInfo& best, TimePoint now) const
{
  const ServerSelector& selector = m_context.selector(m_request.service);
  return fmt::format(
    "best {}:{} waiting {} limit {} ms",
    best.id,
    describe_load(selector.report_age(best.id, now), selector.last_report(best.id)),
    m_context.queues[m_request.service].size(),
    to_milliseconds(
      m_context.admission.latest_start(now, m_request.route->target_latency, TimePoint::max()) -
      now)
      .count());
}

awaitable<void>
ForwardedRequest::probe(bool preferred_only, const std::string& path)
{
  const TimePoint now = Clock::now();
  const auto targets =
    m_context.selector(m_request.service)
      .probe_targets(
        now, m_context.options.probes, preferred_only, m_tried_servers, m_context.random);
  co_await probe_loads(
    m_context, m_request.service, targets, path, now + m_context.options.probe_wait);
}

// For a streamed body, whose size may be unknown, this is a lower bound: it did not fit into the
// buffer.
std::size_t
ForwardedRequest::body_bytes() const
{
  if (m_request.arriving) {
    return m_request.arriving->size();
  }
  return m_request.upload != nullptr ? kBufferedBodyBytes : m_request.body->size();
}

OutgoingRequest
ForwardedRequest::make_outgoing_request(const ServerInfo& server, TimePoint now) const
{
  const GatewayHeaders& names = m_context.options.headers;
  OutgoingRequest request{ .head = m_request.head,
                           .id = m_request.id,
                           .body = m_request.body,
                           .arriving = m_request.arriving,
                           .upload = m_request.upload,
                           .chunked = m_request.chunked,
                           .head_method = m_request.head_method };
  request.head +=
    names.deadline + ": " + std::to_string(to_milliseconds(m_deadline - now).count()) + "\r\n";
  request.head += names.expected_server + ": " + server.id + "\r\n\r\n";
  return request;
}

void
ForwardedRequest::evaluate(Attempt& attempt)
{
  if (attempt.evaluated) {
    return;
  }
  attempt.evaluated = true;
  const TimePoint now = Clock::now();
  const ExchangeStatus status = attempt.exchange->status();
  const bool responded = status == ExchangeStatus::Responded;
  const bool server_error = responded && attempt.exchange->response().result_int() >= 500;
  ServerSelector& selector = m_context.selector(m_request.service);
  selector.end(attempt.server.id, to_attempt_end(status, server_error), attempt.elapsed, now);
  if (attempt.exchange->load()) {
    selector.report(attempt.server.id, *attempt.exchange->load(), now);
  }
  apply_notice(m_context, attempt.exchange->notice(), attempt.server, now);
  m_context.queues[m_request.service].wake_first();
  switch (status) {
    case ExchangeStatus::Responded:
      record_success(now);
      evaluate_response(attempt);
      return;
    case ExchangeStatus::NotExecuted:
    case ExchangeStatus::Replaced:
      break;
    case ExchangeStatus::Unreached:
      // No byte was sent, so the attempt is not counted.
      m_counted_attempts -=
        m_counted_attempts > 0 && m_attempts.size() < kUncountedAttemptLimit ? 1 : 0;
      break;
    case ExchangeStatus::Crashed:
      record_crash(attempt, now);
      [[fallthrough]];
    case ExchangeStatus::Broken:
    case ExchangeStatus::Lost:
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Cancelled:
      m_may_have_executed = true;
      m_retryable = m_retryable && idempotent();
      break;
  }
  attempt.exchange->release();
}

// \return whether the request crashes its servers and must not be sent to another one
bool
ForwardedRequest::is_quarantined(TimePoint now)
{
  m_quarantined = m_context.suspects.quarantined_until(m_request.fingerprint, now).has_value();
  return m_quarantined;
}

void
ForwardedRequest::record_success(TimePoint now)
{
  if (m_context.suspects.clear(m_request.fingerprint, now) && m_context.options.on_crash_evidence) {
    m_context.options.on_crash_evidence(m_context.suspects.evidence(m_request.fingerprint, now));
  }
}

void
ForwardedRequest::record_crash(const Attempt& attempt, TimePoint now)
{
  m_server_crashed = true;
  ++m_context.counters.server_crashes;
  m_context.suspects.add_crash(m_request.fingerprint,
                               m_request.service,
                               server_key(attempt.server.id, attempt.server.incarnation),
                               attempt.started,
                               now);
  if (m_context.options.on_crash_evidence) {
    m_context.options.on_crash_evidence(m_context.suspects.evidence(m_request.fingerprint, now));
  }
  m_context.log.warn(
    "server_crashed",
    { { "service", m_request.service },
      { "server", attempt.server.id },
      { "incarnation", std::to_string(attempt.server.incarnation) },
      { "id", m_request.id },
      { "request", fmt::format("{:016x}", m_request.fingerprint) },
      { "target", m_request.target.substr(0, kMaxLoggedTarget) },
      { "crashes", std::to_string(m_context.suspects.crashes(m_request.fingerprint, now)) },
      { "ms", std::to_string(to_milliseconds(attempt.elapsed).count()) } });
}

void
ForwardedRequest::evaluate_response(Attempt& attempt)
{
  const unsigned status = attempt.exchange->response().result_int();
  if (m_winner || m_given_up || m_abandoned) {
    attempt.exchange->release();
    return;
  }
  if (status < 500 && !implies_not_executed(status)) {
    m_winner = attempt.exchange;
    return;
  }
  m_may_have_executed = true;
  m_retryable = m_retryable && idempotent();
  if (!implies_not_executed(status) && !m_server_error && attempt.exchange->is_complete()) {
    m_server_error = attempt.exchange;
  } else {
    attempt.exchange->release();
  }
}

bool
ForwardedRequest::has_active_attempts() const
{
  return m_pending_selections > 0 ||
         std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto& attempt) {
           return !attempt->done;
         });
}

void
ForwardedRequest::cancel_active_attempts()
{
  for (const auto& attempt : m_attempts) {
    if (!attempt->done) {
      attempt->exchange->cancel();
    }
  }
}

bool
ForwardedRequest::may_retry(TimePoint now)
{
  const bool streamed = m_request.upload != nullptr && !m_attempts.empty();
  return m_retryable && !streamed && m_counted_attempts < m_request.route->max_attempts &&
         m_context.admission.has_time_for_attempt(now, m_deadline) &&
         !m_context.suspects.is_suspected(m_request.fingerprint, now);
}

TimePoint
ForwardedRequest::hedge_time() const
{
  const bool hedgeable =
    idempotent() && !m_hedged && m_attempts.size() == 1 && m_pending_selections == 0;
  if (!hedgeable || m_request.upload != nullptr) {
    return TimePoint::max();
  }
  return late_time(*m_attempts.front());
}

// \return when the attempt takes longer than usual
TimePoint
ForwardedRequest::late_time(const Attempt& attempt) const
{
  const auto mean_time = m_context.selector(m_request.service).mean_request_time();
  const Duration expected = mean_time.value_or(m_request.route->target_latency);
  return attempt.started + std::chrono::duration_cast<Duration>(kHedgeDelayFactor * expected);
}

// \return when the server of the active attempt is to be checked. Idempotent requests are hedged
// instead.
TimePoint
ForwardedRequest::check_time() const
{
  const bool active = !m_attempts.empty() && !m_attempts.back()->done && m_pending_selections == 0;
  const bool has_checks =
    m_request.service_config != nullptr && !m_request.service_config->health_path.empty();
  if (idempotent() || !active || !has_checks) {
    return TimePoint::max();
  }
  const Attempt& attempt = *m_attempts.back();
  return attempt.checked_at ? *attempt.checked_at + kServerCheckInterval : late_time(attempt);
}

// Ends an attempt whose server has dropped the request without an answer, as some servers do when
// they are full: the server has reported since it got the request that it has none, and no response
// has arrived. Until then the request waits, however late it is.
void
ForwardedRequest::check_server(TimePoint now)
{
  Attempt& attempt = *m_attempts.back();
  attempt.checked_at = now;
  const bool was_sent = std::exchange(attempt.was_sent, attempt.exchange->awaits_response());
  if (!attempt.was_sent) {
    return;
  }
  if (attempt.server_is_idle) {
    attempt.exchange->end_as_lost();
    return;
  }
  const ServerSelector& selector = m_context.selector(m_request.service);
  const auto age = selector.report_age(attempt.server.id, now);
  const LoadReport load = selector.last_report(attempt.server.id);
  attempt.server_is_idle =
    attempt.asked_at && age && now - *age > *attempt.asked_at && load.running + load.waiting == 0;
  // The last bytes of a request that has just been sent may still be on their way.
  if (was_sent && !attempt.server_is_idle) {
    ask_server(now);
  }
}

void
ForwardedRequest::ask_server(TimePoint now)
{
  const ServerInfo& server = m_attempts.back()->server;
  // A server that is leaving or paused is not asked.
  if (!m_context.selector(m_request.service).find_callable(server.id, now)) {
    return;
  }
  m_attempts.back()->asked_at = now;
  asio::co_spawn(
    m_context.io,
    [self = shared_from_this(), server]() -> awaitable<void> {
      const std::vector<ServerInfo> servers{ server };
      co_await probe_loads(self->m_context,
                           self->m_request.service,
                           servers,
                           self->m_request.service_config->health_path,
                           Clock::now());
    },
    m_context.report_exceptions("server_check"));
}

bool
ForwardedRequest::may_hedge(TimePoint now)
{
  return m_retryable && m_counted_attempts < m_request.route->max_attempts &&
         m_context.admission.has_time_for_attempt(now, m_deadline) &&
         !m_context.suspects.is_suspected(m_request.fingerprint, now) &&
         m_context.budget(m_request.service).left(now) > kRetryReserve;
}

void
ForwardedRequest::refuse_not_executed(RefusalCause cause, const char* reason, TimePoint now)
{
  const RefusalState state = refusal_state(m_context, m_request, cause, now);
  m_error_response = { .status = 503,
                       .reason = reason,
                       .retry_after = m_context.admission.retry_after(state, now, m_context.random),
                       .cause = cause };
}

void
ForwardedRequest::give_up(TimePoint now)
{
  m_given_up = true;
  const bool in_progress = has_active_attempts() && !m_attempts.empty();
  const bool timed_out = now >= answer_deadline();
  const bool shutdown_ends = timed_out && now < m_deadline;
  if (m_server_error) {
    m_winner = m_server_error;
  } else if (m_quarantined) {
    // It has run, at an earlier attempt of the caller, so the response must not deny that.
    ++m_context.counters.quarantined;
    m_error_response = { .status = 502,
                         .reason =
                           "the request is quarantined: servers crashed while they ran it" };
  } else if (in_progress || (m_may_have_executed && timed_out)) {
    m_error_response = { .status = 504,
                         .reason = shutdown_ends ? "no server answered before this host shut down"
                                                 : "no server answered in time" };
  } else if (m_may_have_executed) {
    m_error_response = { .status = 502, .reason = "the server's response was lost or broken" };
  } else if (shutdown_ends) {
    m_error_response = make_shutdown_refusal();
  } else if (m_no_server) {
    refuse_not_executed(m_admission.refusal_cause(now), m_admission.describe_refusal(now), now);
  } else if (now >= m_deadline) {
    refuse_not_executed(
      RefusalCause::OutOfTime, "the time ran out before a server was reached", now);
  } else {
    refuse_not_executed(RefusalCause::ServersFull, "the servers are full", now);
    m_error_response.detail = m_overload_detail;
  }
}

void
ForwardedRequest::abandon()
{
  m_abandoned = true;
  cancel_active_attempts();
  m_wakeup.cancel();
}

void
ForwardedRequest::finish(bool complete)
{
  if (m_server_error && m_server_error != m_winner) {
    m_server_error->release();
  }
  if (m_winner) {
    if (!complete) {
      m_winner->cancel();
    }
    m_winner->release();
  }
}

std::string
ForwardedRequest::describe_attempts() const
{
  std::string text;
  for (const auto& attempt : m_attempts) {
    text += fmt::format("{}{}:{}:{}ms:cost{}:{}",
                        text.empty() ? "" : ",",
                        attempt->server.id,
                        to_string(attempt->exchange->status()),
                        to_milliseconds(attempt->elapsed).count(),
                        static_cast<int>(100 * attempt->cost),
                        describe_load(attempt->report_age, attempt->load));
    text += attempt->limit ? fmt::format(":limit{:.3f}", *attempt->limit) : "";
  }
  return text.empty() ? "-" : text;
}

double
ForwardedRequest::budget_left() const
{
  return m_context.budget(m_request.service).left(Clock::now());
}

} // namespace lovagehold
