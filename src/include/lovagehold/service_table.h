#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/dispatcher.h"

#include <atomic>
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

  /// Takes up until when shares may be used; decided anew at each call that may dispatch.
  void set_share_limits(const ShareLimits& limits);

  /// \return share of the service that may be used at this time.
  SlotShare share(const ServiceName& service, TimePoint now) const;

  /// The service has another owner: forgets its servers and rejects its queued requests as
  /// NotOwner, so that they can be relayed.
  void hand_over(const ServiceName& service, TimePoint now);

  /// \return servers of fully owned services without a renewal for longer than the silence.
  std::vector<LeaveServer> silent_servers(Duration silence, TimePoint now) const;

  /// Changes the share of a service that is known.
  void set_share(const ServiceName& service, SlotShare share, TimePoint now);

  /// Renews the server if this incarnation of it is known. A newer one counts from its join, which
  /// the log delivers.
  void renew_server(const ServerRenewal& renewal, TimePoint now);

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

  ShareLimits share_limits() const;
  void limit_entry(Entry& entry, TimePoint now, Actions& actions) const;
  Shard& shard_of(const ServiceName& service) const;
  static void deliver_to(Entry& entry,
                         RequestId request,
                         const Action& action,
                         Deliveries& deliveries);
  void collect(Entry& entry, const Actions& actions, Deliveries& deliveries) const;
  template<class Change>
  void change(const ServiceName& service, TimePoint now, const Change& apply);

  std::vector<std::unique_ptr<Shard>> m_shards;
  Probe m_probe;
  std::atomic<TimePoint> m_lease_until{ TimePoint::max() };
  std::atomic<TimePoint> m_isolation_until{ TimePoint::max() };
};

} // namespace lovagehold
