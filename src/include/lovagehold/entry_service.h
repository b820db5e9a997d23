#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/event_log.h"
#include "lovagehold/metrics.h"
#include "lovagehold/service_table.h"
#include "lovagehold/settings.h"
#include "lovagehold/state_machine.h"

#include <functional>
#include <memory>

namespace lovagehold {

/// Snapshot of the replicated state that requests are routed by. Immutable; replaced as a whole
/// when the state changes.
struct RoutingView
{
  struct Route
  {
    ServiceDeclaration declaration;
    /// Entry hosts that serve the service: the owner first, then its successors in order.
    std::vector<HostInfo> homes;
    /// Servers that have joined and have not left.
    std::vector<ServerInfo> servers;
    /// Share of the servers' slots that this host may use.
    SlotShare share = SlotShare::None;
  };
  /// Id of this host.
  HostId self;
  std::unordered_map<ServiceName, Route> routes;
};

/// Callbacks through which the entry service reaches the rest of the process. All are called on the
/// entry threads and must not block.
struct EntryPorts
{
  /// Proposes the command to the consensus group; the handler receives its result on any thread.
  std::function<void(Command, std::function<void(Result<ApplyResult>)>)> propose;
  /// Forwards a server's renewal to the host that owns the service.
  std::function<void(const HostInfo& owner, const ServerRenewal&)> send_renewal;
  /// Looks up the idempotency key in the replicated state as applied on this host, which may lag
  /// behind the leader. The handler receives the result on any thread.
  std::function<
    void(const ServiceName&, const std::string& key, std::function<void(std::optional<KeyStatus>)>)>
    key_status;
};

struct EntryServiceOptions
{
  HostId self;
  std::string caller_address;
  unsigned threads = 2;
  CallerLimits limits;
  ServerLimits attempt_limits;
  /// How long callers may cache the addresses of a service.
  std::chrono::seconds address_lifetime{ 10 };
};

/// HTTP server for callers and servers. Answers address queries, accepts announcements of servers,
/// and serves requests: those of services that this host owns are sent to a server, all others are
/// relayed to the owner. Thread-safe.
class EntryService
{
public:
  EntryService(EntryServiceOptions options, EntryPorts ports, EventLog& log);
  ~EntryService();

  /// Starts to listen and starts the threads.
  Result<void> start();

  /// Replaces the routing view and updates the dispatchers of the owned services from it.
  void update(std::shared_ptr<const RoutingView> view, TimePoint now);

  /// Changes the shares of single services and the limits of all shares, without a new view.
  void set_shares(const std::vector<std::pair<ServiceName, SlotShare>>& shares,
                  const ShareLimits& limits,
                  TimePoint now);

  /// Applies a server's renewal that another host forwarded.
  void renew(const ServerRenewal& renewal, TimePoint now);

  /// Stops accepting connections and closes idle ones; requests in flight are completed.
  void drain();

  /// \return number of requests that callers are waiting for.
  std::size_t in_flight() const;

  /// Ends the threads; requests in flight are aborted.
  void stop();

  const ServiceTable& services() const;

  /// Counters and latencies of the requests of all callers.
  const Metrics& metrics() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
