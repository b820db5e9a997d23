#include "dispatcher_impl.h"

#include <algorithm>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// In tokens; each retry or hedge takes one.
constexpr double kRetryBudgetCap = 10;
constexpr double kRetryTokensPerSuccess = 0.1;
constexpr milliseconds kShortestRetryAfter{ 10 };
constexpr milliseconds kRetriesExhaustedRetryAfter{ 1000 };
constexpr milliseconds kShortestHedgeInterval{ 1 };

bool
may_run_again(const RequestInfo& request, AttemptStatus status)
{
  if (request.idempotent && request.request_class != RequestClass::NonIdempotent) {
    return true;
  }
  // A refusal (503) arrives after the request was sent. The server claims that the request did not
  // run, but only a failure before the first byte proves it.
  return status == AttemptStatus::FailedUnstarted;
}

} // namespace

Dispatcher::Impl::Impl(DispatcherOptions dispatcher_options)
  : options(std::move(dispatcher_options))
  , servers(options)
  , retry_budget(0, kRetryBudgetCap, kRetryBudgetCap, TimePoint{})
{
}

void
Dispatcher::Impl::run_pending_work(TimePoint now, Actions& actions)
{
  expire(now, actions);
  if (server_timer <= now) {
    const std::size_t before = actions.size();
    servers.check(now, actions);
    counters.probes_sent += actions.size() - before;
  }
  dispatch(now, actions);
  run_hedges(now, actions);
  server_timer = servers.next_check(now);
}

void
Dispatcher::Impl::erase_request(RequestId id)
{
  const auto found = requests.find(id);
  const Request& request = found->second;
  if (request.queued) {
    queue.remove(request.info, request.arrival);
  }
  deadlines.erase({ request.info.deadline, id });
  for (const AttemptId attempt : request.attempts) {
    const auto running = attempts.find(attempt);
    if (running != attempts.end()) {
      hedge_timers.erase({ running->second.hedge_at, attempt });
    }
  }
  requests.erase(found);
}

void
Dispatcher::Impl::reject(RequestId id, RejectReason reason, Duration retry_after, Actions& actions)
{
  ++counters.rejected;
  actions.push_back(RejectRequest{ .request = id, .reason = reason, .retry_after = retry_after });
  if (requests.count(id) > 0) {
    erase_request(id);
  }
}

void
Dispatcher::Impl::cancel_attempts(const Request& request,
                                  AttemptId winner,
                                  bool expired,
                                  Actions& actions)
{
  for (const AttemptId id : request.attempts) {
    const auto found = attempts.find(id);
    if (id == winner || found == attempts.end() || found->second.cancelled) {
      continue;
    }
    found->second.cancelled = true;
    found->second.expired = expired;
    found->second.lost_race = winner != 0;
    actions.push_back(CancelAttempt{ .attempt = id, .request = request.info.id });
  }
}

void
Dispatcher::Impl::expire(TimePoint now, Actions& actions)
{
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    const RequestId id = deadlines.begin()->second;
    cancel_attempts(requests.at(id), 0, true, actions);
    reject(id, RejectReason::DeadlineExceeded, kShortestRetryAfter, actions);
  }
}

std::optional<Duration>
Dispatcher::Impl::expected_lateness(const Request& request, TimePoint now) const
{
  if (!slot_times.is_known() || choice.usable_slots == 0) {
    return std::nullopt;
  }
  const std::size_t before = queue.dispatches_before(request.info, request.arrival);
  const Duration wait =
    slot_times.mean() * static_cast<Duration::rep>(before + 1) / choice.usable_slots;
  const Duration lateness = now + wait + slot_times.p95() - request.info.deadline;
  if (lateness <= Duration::zero()) {
    return std::nullopt;
  }
  return std::max<Duration>(lateness, kShortestRetryAfter);
}

bool
Dispatcher::Impl::patient_allowed() const
{
  if (!options.reserve_urgent_slot) {
    return true;
  }
  // With a single usable slot, patient requests may use it too; otherwise they would starve.
  return patient_in_use < std::max(choice.usable_slots, 2U) - 1;
}

void
Dispatcher::Impl::dispatch(TimePoint now, Actions& actions)
{
  while (!queue.is_empty()) {
    choice = servers.choose(now);
    if (choice.best == ServerTable::kNone) {
      return;
    }
    const std::optional<RequestId> id = queue.next(patient_allowed());
    if (!id) {
      return;
    }
    Request& request = requests.at(*id);
    if (slot_times.is_known() && request.info.deadline - now < slot_times.median()) {
      reject(*id, RejectReason::Overloaded, kShortestRetryAfter, actions);
      continue;
    }
    queue.remove(request.info, request.arrival);
    request.queued = false;
    queue.dispatched(request.info.request_class == RequestClass::Patient);
    const bool avoid_best =
      choice.best == request.failed_server && choice.alternative != ServerTable::kNone;
    start(request, avoid_best ? choice.alternative : choice.best, false, now, actions);
  }
}

void
Dispatcher::Impl::start(Request& request,
                        std::size_t server,
                        bool hedge,
                        TimePoint now,
                        Actions& actions)
{
  const AttemptId id = next_attempt++;
  Attempt& attempt = attempts[id];
  attempt = { .request = request.info.id,
              .server = server,
              .started = now,
              .patient = request.info.request_class == RequestClass::Patient };
  patient_in_use += attempt.patient ? 1 : 0;
  request.attempts[request.attempts[0] == 0 ? 0 : 1] = id;
  servers.acquire(server);
  const bool may_hedge = options.hedging && !hedge && !request.hedged && request.info.idempotent &&
                         request.info.request_class == RequestClass::Urgent;
  if (may_hedge && slot_times.is_known()) {
    attempt.hedge_at = now + slot_times.p95();
    hedge_timers.insert({ attempt.hedge_at, id });
  }
  const ServerInfo& info = servers.at(server).info;
  actions.push_back(StartAttempt{ .request = request.info.id,
                                  .attempt = id,
                                  .server = info.id,
                                  .address = info.address,
                                  .hedge = hedge,
                                  .retries_left = request.info.retries_left });
}

void
Dispatcher::Impl::run_hedges(TimePoint now, Actions& actions)
{
  while (!hedge_timers.empty() && hedge_timers.begin()->first <= now) {
    const AttemptId id = hedge_timers.begin()->second;
    hedge_timers.erase(hedge_timers.begin());
    if (!try_hedge(id, now, actions)) {
      Attempt& attempt = attempts.at(id);
      attempt.hedge_at = now + std::max<Duration>(slot_times.p95() / 2, kShortestHedgeInterval);
      hedge_timers.insert({ attempt.hedge_at, id });
    }
  }
}

bool
Dispatcher::Impl::try_hedge(AttemptId id, TimePoint now, Actions& actions)
{
  Attempt& attempt = attempts.at(id);
  if (!queue.is_empty()) {
    return false;
  }
  choice = servers.choose(now);
  const std::size_t server = choice.best == attempt.server ? choice.alternative : choice.best;
  if (server == ServerTable::kNone || !retry_budget.try_take(1, now)) {
    return false;
  }
  attempt.hedge_at = TimePoint::max();
  ++counters.hedges;
  Request& request = requests.at(attempt.request);
  request.hedged = true;
  start(request, server, true, now, actions);
  return true;
}

void
Dispatcher::Impl::record_result(const Attempt& attempt, const AttemptResult& result, TimePoint now)
{
  const Duration elapsed = now - attempt.started;
  ServerState& server = servers.at(attempt.server);
  switch (result.status) {
    case AttemptStatus::Succeeded:
      servers.on_success(attempt.server,
                         result.service_time > Duration::zero() ? result.service_time : elapsed,
                         now);
      slot_times.add(elapsed);
      return;
    case AttemptStatus::Refused:
      server.on_refusal(attempt.started, now);
      return;
    case AttemptStatus::FailedUnstarted:
    case AttemptStatus::Failed:
      server.on_failure(now);
      return;
    case AttemptStatus::TimedOut:
    case AttemptStatus::Cancelled:
      if (attempt.lost_race) {
        servers.on_lost_race(attempt.server, elapsed);
      } else if ((attempt.expired || result.status == AttemptStatus::TimedOut) &&
                 servers.is_overdue(attempt.server, elapsed)) {
        server.on_failure(now);
      }
      return;
  }
}

void
Dispatcher::Impl::end_attempt(const Attempt& attempt,
                              AttemptStatus status,
                              TimePoint now,
                              Actions& actions)
{
  const auto found = requests.find(attempt.request);
  if (found == requests.end()) {
    return;
  }
  Request& request = found->second;
  for (AttemptId& id : request.attempts) {
    id = attempts.count(id) > 0 ? id : 0;
  }
  if (status == AttemptStatus::Succeeded) {
    retry_budget.add(kRetryTokensPerSuccess, now);
    // next_attempt is no attempt's id, so all remaining attempts are cancelled as losers of the
    // race.
    cancel_attempts(request, next_attempt, false, actions);
    erase_request(request.info.id);
    return;
  }
  const bool others_running =
    std::any_of(request.attempts.begin(), request.attempts.end(), [this](AttemptId id) {
      return id != 0 && !attempts.at(id).cancelled;
    });
  // An attempt that lost the race does not determine the outcome of its request, and a cancelled
  // attempt whose end has not been reported yet does not keep the request alive.
  if (others_running || attempt.lost_race) {
    return;
  }
  if (status == AttemptStatus::Cancelled) {
    erase_request(request.info.id);
    return;
  }
  request.failed_server = attempt.server;
  retry_or_reject(request, status, now, actions);
}

void
Dispatcher::Impl::retry_or_reject(Request& request,
                                  AttemptStatus status,
                                  TimePoint now,
                                  Actions& actions)
{
  RequestInfo& info = request.info;
  const bool allowed = !request.responding && may_run_again(info, status) &&
                       info.retries_left > 0 && info.deadline > now &&
                       servers.share() != SlotShare::None;
  if (!allowed || !retry_budget.try_take(1, now)) {
    reject(info.id, RejectReason::RetriesExhausted, kRetriesExhaustedRetryAfter, actions);
    return;
  }
  --info.retries_left;
  ++counters.retries;
  request.queued = true;
  queue.push(info, request.arrival);
}

} // namespace lovagehold
