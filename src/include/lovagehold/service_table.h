#pragma once

#include "lovagehold/dispatcher.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lovagehold {

/// The dispatchers of all services that this host owns, in shards that each have their own lock.
/// Thread-safe. Actions are delivered after the lock is released.
class ServiceTable
{
public:
  /// Receives the actions of one request, on any thread.
  using Deliver = std::function<void(const Action&)>;
  /// Receives probes to send.
  using Probe = std::function<void(const ServiceName&, const SendProbe&)>;

  explicit ServiceTable(std::size_t shard_count, Probe probe = {});
  ~ServiceTable();

  /// Makes the table hold exactly this service's servers and share; creates the dispatcher if
  /// needed.
  void set_service(const DispatcherOptions& options,
                   const std::vector<ServerInfo>& servers,
                   SlotShare share,
                   TimePoint now);

  /// Changes the share of a service that is known.
  void set_share(const ServiceName& service, SlotShare share, TimePoint now);

  void renew_server(const ServiceName& service, const ServerId& server, TimePoint now);

  /// Queues the request. \return its id; its actions go to \p deliver until finish() is called.
  RequestId submit(const ServiceName& service, RequestInfo request, Deliver deliver, TimePoint now);

  void complete(const ServiceName& service,
                AttemptId attempt,
                const AttemptResult& result,
                TimePoint now);

  void probe_result(const ServiceName& service,
                    const ServerId& server,
                    bool healthy,
                    Duration elapsed,
                    TimePoint now);

  /// The caller's request has ended or the caller went away: no action is delivered from now on.
  void finish(const ServiceName& service, RequestId request, TimePoint now);

  /// Acts on all timers that are due.
  void tick(TimePoint now);

  /// \return the services' figures.
  std::vector<std::pair<ServiceName, Dispatcher::Stats>> stats(TimePoint now) const;

private:
  struct Entry;
  struct Shard;
  using Deliveries = std::vector<std::pair<Deliver, Action>>;

  Shard& shard_of(const ServiceName& service) const;
  static void deliver_to(Entry& entry,
                         RequestId request,
                         const Action& action,
                         Deliveries& deliveries);
  void collect(Entry& entry, const Actions& actions, Deliveries& deliveries) const;
  template<class Change>
  void change(const ServiceName& service, const Change& apply);

  std::vector<std::unique_ptr<Shard>> m_shards;
  Probe m_probe;
};

} // namespace lovagehold
