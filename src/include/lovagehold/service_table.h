#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/dispatcher.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace lovagehold {

/// The dispatchers of all services that this host owns, in shards with a lock each. Thread-safe.
/// Actions are passed to their handlers after the lock has been released.
class ServiceTable
{
public:
  /// Receives the actions that concern one request, on any thread.
  using ActionHandler = std::function<void(const Action&)>;
  /// Sends a health probe; the result is reported with probe_result().
  using ProbeSender = std::function<void(const ServiceName&, const SendProbe&)>;

  explicit ServiceTable(std::size_t shard_count, ProbeSender send_probe = {});
  ~ServiceTable();

  /// Replaces the servers and the share of the service; creates its dispatcher if there is none.
  void set_service(const DispatcherOptions& options,
                   const std::vector<ServerInfo>& servers,
                   SlotShare share,
                   TimePoint now);

  /// Sets until when shares may be used. The limits are checked at each call that may dispatch.
  void set_share_limits(const ShareLimits& limits);

  /// \return share of the service that may be used at this time, with the limits applied.
  SlotShare share(const ServiceName& service, TimePoint now) const;

  /// To be called when another host owns the service: removes its servers and rejects its queued
  /// requests with NotOwner, so that they can be relayed.
  void hand_over(const ServiceName& service, TimePoint now);

  /// \return servers whose last renewal is older than \p silence, of services that this host owns
  /// with the full share.
  std::vector<LeaveServer> silent_servers(Duration silence, TimePoint now) const;

  /// Changes the share of a service; ignored if the table does not hold the service.
  void set_share(const ServiceName& service, SlotShare share, TimePoint now);

  /// Renews the server if the table holds the same incarnation of it. A newer incarnation becomes
  /// eligible once its join has been applied and set_service() is called with it.
  void renew_server(const ServerRenewal& renewal, TimePoint now);

  /// Queues the request. \return its id; its actions are passed to \p handler until finish() is
  /// called. If the table does not hold the service, the request is rejected at once and the id is
  /// 0.
  RequestId submit(const ServiceName& service,
                   RequestInfo request,
                   ActionHandler handler,
                   TimePoint now);

  /// Reports the end of an attempt.
  void complete(const ServiceName& service,
                AttemptId attempt,
                const AttemptResult& result,
                TimePoint now);

  /// Reports the result of a health probe.
  void probe_result(const ServiceName& service,
                    const ServerId& server,
                    bool healthy,
                    Duration elapsed,
                    TimePoint now);

  /// Removes a request that was answered or whose caller disconnected. Calls in progress on other
  /// threads may still pass an action to its handler, later calls do not.
  void finish(const ServiceName& service, RequestId request, TimePoint now);

  /// Runs the dispatchers' timers that are due and applies limits of shares that have passed.
  void tick(TimePoint now);

  /// \return the statistics of each service.
  std::vector<std::pair<ServiceName, Dispatcher::Stats>> stats(TimePoint now) const;

private:
  struct Entry;
  struct Shard;
  using Deliveries = std::vector<std::pair<ActionHandler, Action>>;

  ShareLimits share_limits() const;
  // Sets the dispatcher's share to what the limits allow now.
  void apply_share_limits(Entry& entry, TimePoint now, Actions& actions) const;
  // \return the shard that holds the service.
  Shard& shard_of(const ServiceName& service) const;
  static void add_delivery(Entry& entry,
                           RequestId request,
                           const Action& action,
                           Deliveries& deliveries);
  void add_deliveries(Entry& entry, const Actions& actions, Deliveries& deliveries) const;
  // Calls apply(entry) under the shard's lock if the service is held, then delivers the actions.
  template<class Update>
  void update_entry(const ServiceName& service, TimePoint now, const Update& apply);

  std::vector<std::unique_ptr<Shard>> m_shards;
  ProbeSender m_send_probe;
  std::atomic<TimePoint> m_lease_until{ TimePoint::max() };
  std::atomic<TimePoint> m_isolation_until{ TimePoint::max() };
};

} // namespace lovagehold
