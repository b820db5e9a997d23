#include "lovagehold/dispatcher.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kNoServerRetryAfter{ 1000 };

struct Server
{
  ServerInfo info;
  TimePoint last_renewal;
  bool leaving = false;
  unsigned in_use = 0;
};

struct Attempt
{
  RequestId request = 0;
  ServerId server;
};

} // namespace

struct Dispatcher::Impl
{
  DispatcherOptions options;
  std::unordered_map<ServerId, Server> servers;
  std::deque<RequestInfo> queue;
  std::unordered_map<AttemptId, Attempt> attempts;
  AttemptId next_attempt = 1;
  SlotShare share = SlotShare::Full;
  Stats counters;

  unsigned usable_slots(const Server& server) const
  {
    switch (share) {
      case SlotShare::None:
        return 0;
      case SlotShare::Isolated:
        return std::min(server.info.slots, 1U);
      case SlotShare::Reduced:
        return server.info.slots - std::min(server.info.slots, 1U);
      case SlotShare::Full:
        return server.info.slots;
    }
    return 0;
  }

  bool eligible(const Server& server, TimePoint now) const
  {
    return !server.leaving && now - server.last_renewal <= options.renewal_lifetime;
  }

  Server* choose_server(TimePoint now)
  {
    Server* best = nullptr;
    for (auto& [id, server] : servers) {
      if (!eligible(server, now) || server.in_use >= usable_slots(server)) {
        continue;
      }
      if (best == nullptr || server.in_use < best->in_use) {
        best = &server;
      }
    }
    return best;
  }

  Actions bind_waiting(TimePoint now)
  {
    Actions actions;
    while (!queue.empty()) {
      if (queue.front().deadline <= now) {
        ++counters.rejected;
        actions.push_back(RejectRequest{ .request = queue.front().id,
                                         .reason = RejectReason::DeadlineExceeded,
                                         .retry_after = {} });
        queue.pop_front();
        continue;
      }
      Server* server = choose_server(now);
      if (server == nullptr) {
        break;
      }
      ++server->in_use;
      const AttemptId attempt = next_attempt++;
      attempts[attempt] = { queue.front().id, server->info.id };
      actions.push_back(StartAttempt{ .request = queue.front().id,
                                      .attempt = attempt,
                                      .server = server->info.id,
                                      .address = server->info.address });
      queue.pop_front();
    }
    return actions;
  }
};

Dispatcher::Dispatcher(DispatcherOptions options)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = std::move(options);
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

Actions
Dispatcher::set_server(const ServerInfo& server, TimePoint now)
{
  Server& entry = m_impl->servers[server.id];
  entry.info = server;
  entry.leaving = false;
  entry.last_renewal = now;
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::renew_server(const ServerId& server, TimePoint now)
{
  const auto found = m_impl->servers.find(server);
  if (found == m_impl->servers.end()) {
    return {};
  }
  found->second.last_renewal = now;
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::remove_server(const ServerId& server, TimePoint now)
{
  const auto found = m_impl->servers.find(server);
  if (found != m_impl->servers.end()) {
    found->second.leaving = true;
    if (found->second.in_use == 0) {
      m_impl->servers.erase(found);
    }
  }
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::set_share(SlotShare share, TimePoint now)
{
  m_impl->share = share;
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::submit(const RequestInfo& request, TimePoint now)
{
  if (m_impl->queue.size() >= m_impl->options.queue_capacity) {
    ++m_impl->counters.rejected;
    return { RejectRequest{ .request = request.id,
                            .reason = RejectReason::Overloaded,
                            .retry_after = kNoServerRetryAfter } };
  }
  m_impl->queue.push_back(request);
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::complete(AttemptId attempt, const AttemptResult& result, TimePoint now)
{
  const auto found = m_impl->attempts.find(attempt);
  if (found == m_impl->attempts.end()) {
    return {};
  }
  const Attempt ended = found->second;
  m_impl->attempts.erase(found);
  const auto server = m_impl->servers.find(ended.server);
  if (server != m_impl->servers.end()) {
    --server->second.in_use;
    if (server->second.leaving && server->second.in_use == 0) {
      m_impl->servers.erase(server);
    }
  }
  Actions actions = m_impl->bind_waiting(now);
  if (result.status != AttemptStatus::Succeeded && result.status != AttemptStatus::Cancelled) {
    actions.push_back(RejectRequest{
      .request = ended.request, .reason = RejectReason::RetriesExhausted, .retry_after = {} });
  }
  return actions;
}

Actions
Dispatcher::cancel(RequestId request, TimePoint)
{
  auto& queue = m_impl->queue;
  queue.erase(std::remove_if(queue.begin(),
                             queue.end(),
                             [&](const RequestInfo& waiting) { return waiting.id == request; }),
              queue.end());
  Actions actions;
  for (const auto& [id, attempt] : m_impl->attempts) {
    if (attempt.request == request) {
      actions.push_back(CancelAttempt{ id });
    }
  }
  return actions;
}

Actions
Dispatcher::probe_result(const ServerId&, bool, Duration, TimePoint now)
{
  return m_impl->bind_waiting(now);
}

Actions
Dispatcher::tick(TimePoint now)
{
  return m_impl->bind_waiting(now);
}

std::optional<TimePoint>
Dispatcher::next_wakeup() const
{
  if (m_impl->queue.empty()) {
    return std::nullopt;
  }
  return m_impl->queue.front().deadline;
}

Dispatcher::Stats
Dispatcher::stats(TimePoint now) const
{
  Stats stats = m_impl->counters;
  stats.servers = m_impl->servers.size();
  stats.in_flight = m_impl->attempts.size();
  for (const RequestInfo& request : m_impl->queue) {
    ++(request.request_class == RequestClass::Patient ? stats.queued_patient : stats.queued_urgent);
  }
  for (const auto& [id, server] : m_impl->servers) {
    stats.eligible_servers += m_impl->eligible(server, now) ? 1 : 0;
  }
  return stats;
}

} // namespace lovagehold
