#include "lovagehold/service_table.h"

#include <map>
#include <xxhash.h>

namespace lovagehold {

namespace {

void
append(Actions& actions, const Actions& more)
{
  actions.insert(actions.end(), more.begin(), more.end());
}

} // namespace

struct ServiceTable::Entry
{
  ServiceName name;
  Dispatcher dispatcher;
  struct Server
  {
    ServerInfo info;
    TimePoint last_renewal;
  };
  std::map<ServerId, Server> servers;
  std::unordered_map<RequestId, ActionHandler> requests;
  /// Maps attempts that have not been completed to their requests.
  std::unordered_map<AttemptId, RequestId> attempts;
  RequestId next_request = 1;
  /// Share that follows from the ownership of the service.
  SlotShare share = SlotShare::None;
  /// Share after the limits, as set in the dispatcher.
  SlotShare effective_share = SlotShare::Full;
  /// Since when this host has the full share. Before that, servers sent their renewals to another
  /// owner, so that a missing renewal does not mean that the server has failed.
  TimePoint full_since = TimePoint::max();

  void set_share(SlotShare next, TimePoint now)
  {
    if (next != SlotShare::Full) {
      full_since = TimePoint::max();
    } else if (share != SlotShare::Full) {
      full_since = now;
    }
    share = next;
  }
};

struct ServiceTable::Shard
{
  mutable std::mutex mutex;
  std::unordered_map<ServiceName, Entry> entries;
};

ServiceTable::ServiceTable(std::size_t shard_count, ProbeSender send_probe)
  : m_send_probe(std::move(send_probe))
{
  for (std::size_t i = 0; i < std::max<std::size_t>(shard_count, 1); ++i) {
    m_shards.push_back(std::make_unique<Shard>());
  }
}

ServiceTable::~ServiceTable() = default;

ServiceTable::Shard&
ServiceTable::shard_of(const ServiceName& service) const
{
  return *m_shards[XXH64(service.data(), service.size(), 0) % m_shards.size()];
}

void
ServiceTable::add_delivery(Entry& entry,
                           RequestId request,
                           const Action& action,
                           Deliveries& deliveries)
{
  const auto found = entry.requests.find(request);
  if (found != entry.requests.end()) {
    deliveries.emplace_back(found->second, action);
  }
}

void
ServiceTable::add_deliveries(Entry& entry, const Actions& actions, Deliveries& deliveries) const
{
  for (const Action& action : actions) {
    if (const auto* probe = std::get_if<SendProbe>(&action)) {
      if (m_send_probe) {
        deliveries.emplace_back(
          [this, name = entry.name](const Action& sent) {
            m_send_probe(name, std::get<SendProbe>(sent));
          },
          *probe);
      }
      continue;
    }
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      const auto attempt = entry.attempts.find(cancel->attempt);
      if (attempt != entry.attempts.end()) {
        add_delivery(entry, attempt->second, action, deliveries);
      }
      continue;
    }
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      entry.attempts[start->attempt] = start->request;
      add_delivery(entry, start->request, action, deliveries);
    } else {
      add_delivery(entry, std::get<RejectRequest>(action).request, action, deliveries);
    }
  }
}

ShareLimits
ServiceTable::share_limits() const
{
  return { m_lease_until.load(std::memory_order_relaxed),
           m_isolation_until.load(std::memory_order_relaxed) };
}

void
ServiceTable::set_share_limits(const ShareLimits& limits)
{
  m_lease_until.store(limits.lease_until, std::memory_order_relaxed);
  m_isolation_until.store(limits.isolation_until, std::memory_order_relaxed);
}

// Must be called before each operation that may dispatch, so that a lease that expired while the
// process was suspended takes effect. Adds to \p actions.
void
ServiceTable::apply_share_limits(Entry& entry, TimePoint now, Actions& actions) const
{
  const SlotShare effective_share = limit_share(entry.share, share_limits(), now);
  if (effective_share != entry.effective_share) {
    entry.effective_share = effective_share;
    append(actions, entry.dispatcher.set_share(effective_share, now));
  }
}

template<class Update>
void
ServiceTable::update_entry(const ServiceName& service, TimePoint now, const Update& apply)
{
  Deliveries deliveries;
  {
    Shard& shard = shard_of(service);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.entries.find(service);
    if (found == shard.entries.end()) {
      return;
    }
    Actions limit_actions;
    apply_share_limits(found->second, now, limit_actions);
    add_deliveries(found->second, limit_actions, deliveries);
    add_deliveries(found->second, apply(found->second), deliveries);
  }
  for (const auto& [handler, action] : deliveries) {
    handler(action);
  }
}

void
ServiceTable::set_service(const DispatcherOptions& options,
                          const std::vector<ServerInfo>& servers,
                          SlotShare share,
                          TimePoint now)
{
  {
    Shard& shard = shard_of(options.service);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    if (shard.entries.find(options.service) == shard.entries.end()) {
      shard.entries.emplace(options.service, Entry{ options.service, Dispatcher(options) });
    }
  }
  update_entry(options.service, now, [&](Entry& entry) {
    Actions actions;
    entry.set_share(share, now);
    apply_share_limits(entry, now, actions);
    std::map<ServerId, Entry::Server> updated_servers;
    for (const ServerInfo& server : servers) {
      const auto known = entry.servers.find(server.id);
      if (known != entry.servers.end() && known->second.info == server) {
        updated_servers.insert(*known);
        continue;
      }
      updated_servers[server.id] = { server, now };
      append(actions, entry.dispatcher.set_server(server, now));
    }
    for (const auto& [id, server] : entry.servers) {
      if (updated_servers.count(id) == 0) {
        append(actions, entry.dispatcher.remove_server(id, now));
      }
    }
    entry.servers = std::move(updated_servers);
    return actions;
  });
}

void
ServiceTable::set_share(const ServiceName& service, SlotShare share, TimePoint now)
{
  update_entry(service, now, [&](Entry& entry) {
    Actions actions;
    entry.set_share(share, now);
    apply_share_limits(entry, now, actions);
    return actions;
  });
}

void
ServiceTable::renew_server(const ServerRenewal& renewal, TimePoint now)
{
  update_entry(renewal.service, now, [&](Entry& entry) {
    const auto found = entry.servers.find(renewal.id);
    if (found == entry.servers.end() || found->second.info.incarnation != renewal.incarnation) {
      return Actions();
    }
    found->second.last_renewal = now;
    return entry.dispatcher.renew_server(renewal.id, now);
  });
}

SlotShare
ServiceTable::share(const ServiceName& service, TimePoint now) const
{
  const Shard& shard = shard_of(service);
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.entries.find(service);
  return found == shard.entries.end() ? SlotShare::None
                                      : limit_share(found->second.share, share_limits(), now);
}

void
ServiceTable::hand_over(const ServiceName& service, TimePoint now)
{
  update_entry(service, now, [&](Entry& entry) {
    entry.set_share(SlotShare::None, now);
    Actions actions;
    apply_share_limits(entry, now, actions);
    // Renewals go to the new owner from now on. If this host becomes the owner again, the servers
    // are added as new ones, so that the gap in their renewals does not count against them.
    for (const auto& [id, server] : entry.servers) {
      append(actions, entry.dispatcher.remove_server(id, now));
    }
    entry.servers.clear();
    return actions;
  });
}

std::vector<LeaveServer>
ServiceTable::silent_servers(Duration silence, TimePoint now) const
{
  std::vector<LeaveServer> silent;
  for (const auto& shard : m_shards) {
    const std::lock_guard<std::mutex> lock(shard->mutex);
    for (const auto& [name, entry] : shard->entries) {
      if (entry.effective_share != SlotShare::Full || entry.full_since == TimePoint::max()) {
        continue;
      }
      for (const auto& [id, server] : entry.servers) {
        if (now - std::max(server.last_renewal, entry.full_since) > silence) {
          silent.push_back({ .service = name, .id = id, .incarnation = server.info.incarnation });
        }
      }
    }
  }
  return silent;
}

RequestId
ServiceTable::submit(const ServiceName& service,
                     RequestInfo request,
                     ActionHandler handler,
                     TimePoint now)
{
  RequestId id = 0;
  update_entry(service, now, [&](Entry& entry) {
    id = entry.next_request++;
    request.id = id;
    entry.requests[id] = handler;
    return entry.dispatcher.submit(request, now);
  });
  if (id == 0) {
    handler(RejectRequest{ .request = 0, .reason = RejectReason::NotOwner, .retry_after = {} });
  }
  return id;
}

void
ServiceTable::complete(const ServiceName& service,
                       AttemptId attempt,
                       const AttemptResult& result,
                       TimePoint now)
{
  update_entry(service, now, [&](Entry& entry) {
    entry.attempts.erase(attempt);
    return entry.dispatcher.complete(attempt, result, now);
  });
}

void
ServiceTable::probe_result(const ServiceName& service,
                           const ServerId& server,
                           bool healthy,
                           Duration elapsed,
                           TimePoint now)
{
  update_entry(service, now, [&](Entry& entry) {
    return entry.dispatcher.probe_result(server, healthy, elapsed, now);
  });
}

void
ServiceTable::finish(const ServiceName& service, RequestId request, TimePoint now)
{
  update_entry(service, now, [&](Entry& entry) {
    entry.requests.erase(request);
    return entry.dispatcher.cancel(request, now);
  });
}

void
ServiceTable::tick(TimePoint now)
{
  for (const auto& shard : m_shards) {
    Deliveries deliveries;
    {
      const std::lock_guard<std::mutex> lock(shard->mutex);
      for (auto& [name, entry] : shard->entries) {
        const auto wakeup = entry.dispatcher.next_wakeup();
        Actions limit_actions;
        apply_share_limits(entry, now, limit_actions);
        add_deliveries(entry, limit_actions, deliveries);
        if (wakeup && *wakeup <= now) {
          add_deliveries(entry, entry.dispatcher.tick(now), deliveries);
        }
      }
    }
    for (const auto& [handler, action] : deliveries) {
      handler(action);
    }
  }
}

std::vector<std::pair<ServiceName, Dispatcher::Stats>>
ServiceTable::stats(TimePoint now) const
{
  std::vector<std::pair<ServiceName, Dispatcher::Stats>> all;
  for (const auto& shard : m_shards) {
    const std::lock_guard<std::mutex> lock(shard->mutex);
    for (const auto& [name, entry] : shard->entries) {
      all.emplace_back(name, entry.dispatcher.stats(now));
    }
  }
  return all;
}

} // namespace lovagehold
