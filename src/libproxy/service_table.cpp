#include "lovagehold/service_table.h"

#include <atomic>
#include <map>
#include <set>
#include <xxhash.h>

namespace lovagehold {

struct ServiceTable::Entry
{
  ServiceName name;
  Dispatcher dispatcher;
  std::map<ServerId, ServerInfo> servers;
  std::unordered_map<RequestId, Deliver> requests;
  /// Requests of the attempts that have not been completed.
  std::unordered_map<AttemptId, RequestId> attempts;
  RequestId next_request = 1;
};

struct ServiceTable::Shard
{
  mutable std::mutex mutex;
  std::unordered_map<ServiceName, Entry> entries;
};

ServiceTable::ServiceTable(std::size_t shard_count, Probe probe)
  : m_probe(std::move(probe))
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
ServiceTable::deliver_to(Entry& entry,
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
ServiceTable::collect(Entry& entry, const Actions& actions, Deliveries& deliveries) const
{
  for (const Action& action : actions) {
    if (const auto* probe = std::get_if<SendProbe>(&action)) {
      if (m_probe) {
        deliveries.emplace_back([this, name = entry.name](
                                  const Action& sent) { m_probe(name, std::get<SendProbe>(sent)); },
                                *probe);
      }
      continue;
    }
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      const auto attempt = entry.attempts.find(cancel->attempt);
      if (attempt != entry.attempts.end()) {
        deliver_to(entry, attempt->second, action, deliveries);
      }
      continue;
    }
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      entry.attempts[start->attempt] = start->request;
      deliver_to(entry, start->request, action, deliveries);
    } else {
      deliver_to(entry, std::get<RejectRequest>(action).request, action, deliveries);
    }
  }
}

template<class Change>
void
ServiceTable::change(const ServiceName& service, const Change& apply)
{
  Deliveries deliveries;
  {
    Shard& shard = shard_of(service);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.entries.find(service);
    if (found == shard.entries.end()) {
      return;
    }
    collect(found->second, apply(found->second), deliveries);
  }
  for (const auto& [deliver, action] : deliveries) {
    deliver(action);
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
      shard.entries.emplace(options.service,
                            Entry{ options.service, Dispatcher(options), {}, {}, {} });
    }
  }
  change(options.service, [&](Entry& entry) {
    Actions actions = entry.dispatcher.set_share(share, now);
    const auto add = [&actions](Actions more) {
      actions.insert(actions.end(), more.begin(), more.end());
    };
    std::set<ServerId> current;
    for (const ServerInfo& server : servers) {
      current.insert(server.id);
      const auto known = entry.servers.find(server.id);
      if (known == entry.servers.end() || !(known->second == server)) {
        entry.servers[server.id] = server;
        add(entry.dispatcher.set_server(server, now));
      }
    }
    for (auto known = entry.servers.begin(); known != entry.servers.end();) {
      if (current.count(known->first) > 0) {
        ++known;
        continue;
      }
      add(entry.dispatcher.remove_server(known->first, now));
      known = entry.servers.erase(known);
    }
    return actions;
  });
}

void
ServiceTable::set_share(const ServiceName& service, SlotShare share, TimePoint now)
{
  change(service, [&](Entry& entry) { return entry.dispatcher.set_share(share, now); });
}

void
ServiceTable::renew_server(const ServiceName& service, const ServerId& server, TimePoint now)
{
  change(service, [&](Entry& entry) { return entry.dispatcher.renew_server(server, now); });
}

RequestId
ServiceTable::submit(const ServiceName& service,
                     RequestInfo request,
                     Deliver deliver,
                     TimePoint now)
{
  RequestId id = 0;
  change(service, [&](Entry& entry) {
    id = entry.next_request++;
    request.id = id;
    entry.requests[id] = deliver;
    return entry.dispatcher.submit(request, now);
  });
  if (id == 0) {
    deliver(RejectRequest{ .request = 0, .reason = RejectReason::NotOwner, .retry_after = {} });
  }
  return id;
}

void
ServiceTable::complete(const ServiceName& service,
                       AttemptId attempt,
                       const AttemptResult& result,
                       TimePoint now)
{
  change(service, [&](Entry& entry) {
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
  change(service, [&](Entry& entry) {
    return entry.dispatcher.probe_result(server, healthy, elapsed, now);
  });
}

void
ServiceTable::finish(const ServiceName& service, RequestId request, TimePoint now)
{
  change(service, [&](Entry& entry) {
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
        if (wakeup && *wakeup <= now) {
          collect(entry, entry.dispatcher.tick(now), deliveries);
        }
      }
    }
    for (const auto& [deliver, action] : deliveries) {
      deliver(action);
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
