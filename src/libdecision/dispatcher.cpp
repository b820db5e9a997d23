#include "lovagehold/dispatcher.h"

#include "dispatcher_impl.h"

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kUnavailableRetryAfter{ 1000 };

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
  : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions
Dispatcher::set_server(const ServerInfo& server, TimePoint now)
{
  Actions actions;
  m_impl->servers.set(server, now);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::renew_server(const ServerId& server, TimePoint now)
{
  Actions actions;
  m_impl->servers.renew(server, now);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::remove_server(const ServerId& server, TimePoint now)
{
  Actions actions;
  m_impl->servers.remove(server);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::set_share(SlotShare share, TimePoint now)
{
  Actions actions;
  m_impl->servers.set_share(share);
  if (share == SlotShare::None) {
    std::vector<RequestId> waiting;
    for (const auto& [id, request] : m_impl->requests) {
      if (request.queued) {
        waiting.push_back(id);
      }
    }
    for (const RequestId id : waiting) {
      m_impl->reject(id, RejectReason::NotOwner, {}, actions);
    }
  }
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::submit(const RequestInfo& request, TimePoint now)
{
  Actions actions;
  Impl& impl = *m_impl;
  if (impl.servers.share() == SlotShare::None) {
    impl.reject(request.id, RejectReason::NotOwner, {}, actions);
    return actions;
  }
  if (request.deadline <= now) {
    impl.reject(request.id, RejectReason::DeadlineExceeded, {}, actions);
    return actions;
  }
  if (impl.servers.eligible_count(now) == 0) {
    impl.reject(request.id, RejectReason::NoServer, kUnavailableRetryAfter, actions);
    return actions;
  }
  if (impl.queue.urgent_size() + impl.queue.patient_size() >= impl.options.queue_capacity) {
    impl.reject(request.id, RejectReason::Overloaded, kUnavailableRetryAfter, actions);
    return actions;
  }
  const std::uint64_t arrival = impl.next_arrival++;
  impl.requests[request.id] = { .info = request, .arrival = arrival };
  impl.queue.push(request, arrival);
  impl.deadlines.insert({ request.deadline, request.id });
  impl.run_pending_work(now, actions);
  const auto waiting = impl.requests.find(request.id);
  if (waiting != impl.requests.end() && waiting->second.queued) {
    if (const auto lateness = impl.expected_lateness(waiting->second, now)) {
      impl.reject(request.id, RejectReason::Overloaded, *lateness, actions);
    }
  }
  return actions;
}

Actions
Dispatcher::responding(AttemptId attempt, TimePoint now)
{
  Actions actions;
  const auto found = m_impl->attempts.find(attempt);
  if (found == m_impl->attempts.end() || found->second.cancelled) {
    return actions;
  }
  Impl::Request& request = m_impl->requests.at(found->second.request);
  request.responding = true;
  m_impl->deadlines.erase({ request.info.deadline, request.info.id });
  m_impl->hedge_timers.erase({ found->second.hedge_at, attempt });
  found->second.hedge_at = TimePoint::max();
  m_impl->cancel_attempts(request, attempt, false, actions);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::complete(AttemptId attempt, const AttemptResult& result, TimePoint now)
{
  Actions actions;
  const auto found = m_impl->attempts.find(attempt);
  if (found == m_impl->attempts.end()) {
    return actions;
  }
  const Impl::Attempt ended = found->second;
  m_impl->record_result(ended, result, now);
  m_impl->hedge_timers.erase({ ended.hedge_at, attempt });
  m_impl->attempts.erase(found);
  m_impl->patient_in_use -= ended.patient ? 1 : 0;
  m_impl->servers.release(ended.server);
  m_impl->end_attempt(ended, result.status, now, actions);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::cancel(RequestId request, TimePoint now)
{
  Actions actions;
  const auto found = m_impl->requests.find(request);
  if (found != m_impl->requests.end()) {
    m_impl->cancel_attempts(found->second, 0, false, actions);
    m_impl->erase_request(request);
  }
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::probe_result(const ServerId& server, bool healthy, Duration elapsed, TimePoint now)
{
  Actions actions;
  m_impl->servers.on_probe(server, healthy, elapsed, now);
  m_impl->run_pending_work(now, actions);
  return actions;
}

Actions
Dispatcher::tick(TimePoint now)
{
  Actions actions;
  m_impl->run_pending_work(now, actions);
  return actions;
}

std::optional<TimePoint>
Dispatcher::next_wakeup() const
{
  TimePoint next = m_impl->server_timer;
  if (!m_impl->deadlines.empty()) {
    next = std::min(next, m_impl->deadlines.begin()->first);
  }
  if (!m_impl->hedge_timers.empty()) {
    next = std::min(next, m_impl->hedge_timers.begin()->first);
  }
  return next == TimePoint::max() ? std::nullopt : std::optional<TimePoint>(next);
}

Dispatcher::Stats
Dispatcher::stats(TimePoint now) const
{
  Stats stats = m_impl->counters;
  stats.queued_urgent = m_impl->queue.urgent_size();
  stats.queued_patient = m_impl->queue.patient_size();
  stats.in_flight = m_impl->attempts.size();
  stats.servers = m_impl->servers.size();
  stats.eligible_servers = m_impl->servers.eligible_count(now);
  return stats;
}

} // namespace lovagehold
