#include "forwarded_request.h"

#include "load_probe.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace lovagehold {

namespace {

// A server needs at least this time for anything useful.
constexpr std::chrono::milliseconds kLeastTime{ 20 };
constexpr std::chrono::milliseconds kRetryAfter{ 100 };
// Pause before servers are asked again whether they have room.
constexpr std::chrono::milliseconds kRoomPause{ 40 };
// Requests wait for room for this part of their objective.
constexpr int kWaitPart = 8;
// A hedge is sent after this many usual times. It replaces an attempt that is stuck: one that a
// busy neighbour slows down usually still ends before a hedge sent earlier (110 of 118).
constexpr double kHedgeAfter = 2.5;
// Part of the retry budget that hedges leave to failures.
constexpr double kHedgeReserve = 3;
// A hedge goes only to a server that is about idle: otherwise it takes capacity from first
// attempts.
constexpr double kHedgeMaxCost = 1.3;
// Servers further away are asked for their load when the best near one costs more.
constexpr double kNearEnoughCost = 1.15;
// Attempts beyond the declared number when the earlier ones never reached a server.
constexpr unsigned kMaxUnreached = 3;

std::chrono::milliseconds
millis(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// A load report for the log, with its age in milliseconds.
std::string
describe_load(std::optional<Duration> age, const LoadReport& load)
{
  return fmt::format("age{}:load{}/{}/{}/{}",
                     age ? std::to_string(millis(*age).count()) : "-",
                     load.running,
                     load.waiting,
                     load.slots,
                     static_cast<int>(100 * load.slowdown));
}

AttemptEnd
end_of(ExchangeStatus status, bool server_error)
{
  switch (status) {
    case ExchangeStatus::Responded:
      return server_error ? AttemptEnd::Failed : AttemptEnd::Served;
    case ExchangeStatus::NotExecuted:
      return AttemptEnd::Shed;
    case ExchangeStatus::Replaced:
      return AttemptEnd::Replaced;
    case ExchangeStatus::Unreached:
      return AttemptEnd::Unreached;
    case ExchangeStatus::Broken:
      return AttemptEnd::Failed;
    case ExchangeStatus::TimedOut:
      return AttemptEnd::TimedOut;
    case ExchangeStatus::Cancelled:
      return AttemptEnd::Abandoned;
  }
  return AttemptEnd::Failed;
}

// These statuses promise that the request did not run; only lovagehold itself may make the promise.
bool
promises_not_run(unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

ForwardedRequest::ForwardedRequest(GatewayContext& context, GatewayRequest request)
  : m_context(context)
  , m_request(std::move(request))
  , m_deadline(std::min(m_request.caller_deadline, m_request.arrived + m_request.route->timeout))
  , m_event(context.io, TimePoint::max())
{
}

awaitable<void>
ForwardedRequest::run()
{
  m_context.budget(m_request.service).count_request(m_request.arrived);
  start_attempt(false);
  while (!m_decided) {
    const TimePoint hedge = hedge_time();
    m_event.expires_at(std::min(m_deadline, hedge));
    boost::system::error_code ignored;
    co_await m_event.async_wait(capture(ignored));
    const TimePoint now = Clock::now();
    for (const auto& attempt : m_attempts) {
      if (attempt->done && !attempt->judged) {
        judge(*attempt);
      }
    }
    if (m_abandoned) {
      break;
    }
    if (m_winner) {
      break;
    }
    if (now >= m_deadline) {
      give_up(now);
    } else if (!running()) {
      if (may_retry(now)) {
        start_attempt(false);
      } else {
        give_up(now);
      }
    } else if (now >= hedge) {
      // Decided once: after a denial a hedge time in the past would keep this loop busy.
      m_hedged = true;
      if (may_hedge(now)) {
        start_attempt(true);
      }
    }
  }
  cancel_running();
}

void
ForwardedRequest::start_attempt(bool hedge)
{
  ++m_choosing;
  m_hedged = m_hedged || hedge;
  asio::co_spawn(
    m_context.io,
    [self = shared_from_this(), hedge]() -> awaitable<void> { co_await self->run_attempt(hedge); },
    asio::detached);
}

awaitable<void>
ForwardedRequest::run_attempt(bool hedge)
{
  const bool room = co_await await_room(hedge);
  const TimePoint now = Clock::now();
  ServerSelector* selector = &m_context.selector(m_request.service);
  const auto server = selector->pick(now, m_tried, body_bytes(), m_context.random);
  --m_choosing;
  const bool late = now + kLeastTime >= m_deadline;
  if (!server || late || m_abandoned || m_decided || m_winner) {
    m_no_server = !server;
    m_retryable = m_retryable && server && !late;
    m_event.cancel();
    co_return;
  }
  if (!room && !hedge) {
    // A request that queues at its server would be late and slow down those that run there.
    m_crowd = describe_crowd(*server, now);
    m_retryable = false;
    m_event.cancel();
    co_return;
  }
  const bool crowded = hedge && selector->cost(server->id, now) > kHedgeMaxCost;
  if (crowded) {
    m_event.cancel();
    co_return;
  }
  const bool again = m_sent > 0;
  if (again && !m_context.budget(m_request.service).take(now)) {
    m_retryable = false;
    m_event.cancel();
    co_return;
  }
  ++m_sent;
  m_context.counters.retries += again && !hedge ? 1 : 0;
  m_context.counters.hedges += hedge ? 1 : 0;
  m_tried.insert(server->id);
  const auto attempt = std::make_shared<Attempt>();
  attempt->exchange = std::make_shared<ServerExchange>(m_context, *server);
  attempt->server = *server;
  attempt->begun = now;
  attempt->cost = selector->cost(server->id, now);
  attempt->report_age = selector->report_age(server->id, now);
  attempt->load = selector->last_report(server->id);
  m_attempts.push_back(attempt);
  selector->begin(server->id, now);
  const OutgoingRequest request = outgoing(*server, now);
  // run() sets the time of the hedge only now that it knows the attempt.
  m_event.cancel();
  co_await attempt->exchange->run(request, m_deadline);
  attempt->done = true;
  attempt->elapsed = Clock::now() - now;
  if (m_decided || m_abandoned || m_winner) {
    judge(*attempt);
  }
  m_event.cancel();
}

// Waits for some time until a server has room. A hedge doesn't wait.
awaitable<bool>
ForwardedRequest::await_room(bool hedge)
{
  const TimePoint latest = latest_start(Clock::now());
  WaitingQueue& queue = m_context.queues[m_request.service];
  if (hedge || queue.is_empty()) {
    const bool room = co_await look_for_room();
    if (hedge || room) {
      co_return room;
    }
  }
  WaitingQueue::Place place(queue, m_context.io, m_request.route->priority, m_request.arrived);
  while (!m_abandoned && !m_decided && Clock::now() < latest) {
    co_await place.wait_until(place.is_first() ? std::min(Clock::now() + kRoomPause, latest)
                                               : latest);
    if (place.is_first()) {
      const bool room = co_await look_for_room();
      if (room) {
        co_return true;
      }
    }
  }
  co_return false;
}

// Refreshes what is known about the best servers. \return whether the best one has room, or there
// is none to wait for
awaitable<bool>
ForwardedRequest::look_for_room()
{
  const RoutedService* service = m_request.routing->service(m_request.service);
  const auto best = [this] {
    const ServerSelector& selector = m_context.selector(m_request.service);
    return selector.pick(Clock::now(), m_tried, body_bytes(), m_context.random);
  };
  if (service != nullptr && !service->health_path.empty()) {
    co_await probe(true, service->health_path);
    const auto near = best();
    // Only when no near server is about idle is it worth asking further away.
    if (near &&
        m_context.selector(m_request.service).cost(near->id, Clock::now()) > kNearEnoughCost) {
      co_await probe(false, service->health_path);
    }
  }
  const auto server = best();
  co_return !server || m_context.selector(m_request.service).has_room(server->id, Clock::now());
}

// A longer wait takes the caller's time for a retry, and room that a newer request would use in
// time.
TimePoint
ForwardedRequest::latest_start(TimePoint since) const
{
  return std::min(since + m_request.route->target_latency / kWaitPart, m_deadline - kLeastTime);
}

std::string
ForwardedRequest::describe_crowd(const ServerInfo& best, TimePoint now) const
{
  const ServerSelector& selector = m_context.selector(m_request.service);
  return fmt::format(
    "best {}:{} waiting {} limit {} ms",
    best.id,
    describe_load(selector.report_age(best.id, now), selector.last_report(best.id)),
    m_context.queues[m_request.service].size(),
    millis(m_request.route->target_latency / kWaitPart).count());
}

awaitable<void>
ForwardedRequest::probe(bool local, const std::string& path)
{
  const TimePoint now = Clock::now();
  const auto targets =
    m_context.selector(m_request.service)
      .probe_targets(now, m_context.options.probes, local, m_tried, m_context.random);
  co_await probe_loads(
    m_context, m_request.service, targets, path, now + m_context.options.probe_wait);
}

// A streamed body is larger than what is held in memory.
std::size_t
ForwardedRequest::body_bytes() const
{
  return m_request.upload != nullptr ? kBufferedBodyBytes : m_request.body->size();
}

OutgoingRequest
ForwardedRequest::outgoing(const ServerInfo& server, TimePoint now) const
{
  const GatewayHeaders& names = m_context.options.headers;
  OutgoingRequest request{ .head = m_request.head,
                           .id = m_request.id,
                           .body = m_request.body,
                           .upload = m_request.upload,
                           .chunked = m_request.chunked,
                           .head_method = m_request.head_method };
  request.head += names.deadline + ": " + std::to_string(millis(m_deadline - now).count()) + "\r\n";
  request.head += names.expected_server + ": " + server.id + "\r\n\r\n";
  return request;
}

void
ForwardedRequest::judge(Attempt& attempt)
{
  if (attempt.judged) {
    return;
  }
  attempt.judged = true;
  const TimePoint now = Clock::now();
  const ExchangeStatus status = attempt.exchange->status();
  const bool responded = status == ExchangeStatus::Responded;
  const bool server_error = responded && attempt.exchange->response().result_int() >= 500;
  ServerSelector& selector = m_context.selector(m_request.service);
  selector.end(attempt.server.id, end_of(status, server_error), attempt.elapsed, now);
  if (attempt.exchange->load()) {
    selector.report(attempt.server.id, *attempt.exchange->load(), now);
  }
  m_context.queues[m_request.service].wake_first();
  switch (status) {
    case ExchangeStatus::Responded:
      judge_response(attempt);
      return;
    case ExchangeStatus::NotExecuted:
    case ExchangeStatus::Replaced:
      break;
    case ExchangeStatus::Unreached:
      // Nothing left this host, so the attempt does not count.
      m_sent -= m_sent > 0 && m_attempts.size() < kMaxUnreached ? 1 : 0;
      break;
    case ExchangeStatus::Broken:
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Cancelled:
      m_may_have_run = true;
      m_retryable = m_retryable && idempotent();
      break;
  }
  attempt.exchange->release();
}

void
ForwardedRequest::judge_response(Attempt& attempt)
{
  const unsigned status = attempt.exchange->response().result_int();
  if (m_winner || m_decided || m_abandoned) {
    attempt.exchange->release();
    return;
  }
  if (status < 500 && !promises_not_run(status)) {
    m_winner = attempt.exchange;
    return;
  }
  m_may_have_run = true;
  m_retryable = m_retryable && idempotent();
  if (!promises_not_run(status) && !m_failure && attempt.exchange->is_complete()) {
    m_failure = attempt.exchange;
  } else {
    attempt.exchange->release();
  }
}

bool
ForwardedRequest::running() const
{
  return m_choosing > 0 || std::any_of(m_attempts.begin(),
                                       m_attempts.end(),
                                       [](const auto& attempt) { return !attempt->done; });
}

void
ForwardedRequest::cancel_running()
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
  return m_retryable && !streamed && m_sent < m_request.route->max_attempts &&
         now + kLeastTime < m_deadline;
}

TimePoint
ForwardedRequest::hedge_time() const
{
  const bool possible = idempotent() && !m_hedged && m_attempts.size() == 1 && m_choosing == 0;
  if (!possible || m_request.upload != nullptr) {
    return TimePoint::max();
  }
  const auto usual = m_context.selector(m_request.service).mean_request_time();
  const Duration expected = usual.value_or(m_request.route->target_latency);
  return m_attempts.front()->begun + std::chrono::duration_cast<Duration>(kHedgeAfter * expected);
}

bool
ForwardedRequest::may_hedge(TimePoint now)
{
  return m_retryable && m_sent < m_request.route->max_attempts && now + kLeastTime < m_deadline &&
         m_context.budget(m_request.service).left(now) > kHedgeReserve;
}

void
ForwardedRequest::refuse_unrun(const char* reason)
{
  m_refusal = { .status = 503, .reason = reason, .retry_after = kRetryAfter };
}

void
ForwardedRequest::give_up(TimePoint now)
{
  m_decided = true;
  const bool in_progress = running() && !m_attempts.empty();
  if (m_failure) {
    m_winner = m_failure;
  } else if (in_progress || (m_may_have_run && now >= m_deadline)) {
    m_refusal = { .status = 504, .reason = "no server answered in time" };
  } else if (m_may_have_run) {
    m_refusal = { .status = 502, .reason = "the server's response was lost or broken" };
  } else if (m_no_server) {
    refuse_unrun("no server of the service is available");
  } else if (now >= m_deadline) {
    refuse_unrun("the time ran out before a server was reached");
  } else {
    refuse_unrun("the servers are full");
    m_refusal.detail = m_crowd;
  }
}

void
ForwardedRequest::abandon()
{
  m_abandoned = true;
  cancel_running();
  m_event.cancel();
}

void
ForwardedRequest::finish(bool complete)
{
  if (m_failure && m_failure != m_winner) {
    m_failure->release();
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
                        millis(attempt->elapsed).count(),
                        static_cast<int>(100 * attempt->cost),
                        describe_load(attempt->report_age, attempt->load));
  }
  return text.empty() ? "-" : text;
}

double
ForwardedRequest::budget_left() const
{
  return m_context.budget(m_request.service).left(Clock::now());
}

} // namespace lovagehold
