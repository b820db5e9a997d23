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

/// What a request needs to be routed. Immutable; replaced as a whole when the state changes.
struct RoutingView
{
  struct Route
  {
    ServiceDeclaration declaration;
    /// Owner first, then successors.
    std::vector<HostInfo> homes;
    /// Servers that have joined and not left.
    std::vector<ServerInfo> servers;
    SlotShare share = SlotShare::None;
  };
  HostId self;
  std::uint64_t revision = 0;
  std::unordered_map<ServiceName, Route> routes;
};

/// What the entry service needs from the rest of the process. All are called on the entry threads
/// and must not block.
struct EntryPorts
{
  std::function<void(Command, std::function<void(Result<ApplyResult>)>)> propose;
  std::function<void(const HostInfo& owner, const ServerRenewal&)> send_renewal;
  /// Looks the key up in the replicated state as applied on this host, which may lag behind.
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
  /// How long callers keep an address answer.
  std::chrono::seconds address_lifetime{ 10 };
};

/// Answers callers: address queries, announcements of servers, and requests, which it binds to
/// servers of the services that this host owns or relays to the owner. Thread-safe.
class EntryService
{
public:
  EntryService(EntryServiceOptions options, EntryPorts ports, EventLog& log);
  ~EntryService();

  /// Listens and starts the threads.
  Result<void> start();

  /// Takes up a new view.
  void update(std::shared_ptr<const RoutingView> view, TimePoint now);

  /// Changes shares at once, without a new view.
  void set_shares(const std::vector<std::pair<ServiceName, SlotShare>>& shares,
                  const ShareLimits& limits,
                  TimePoint now);

  /// A server's renewal came from another host.
  void renew(const ServerRenewal& renewal, TimePoint now);

  /// Stops accepting connections and closes idle ones; requests in flight go on.
  void drain();

  /// Requests that callers wait for.
  std::size_t in_flight() const;

  /// Ends the threads; requests in flight are cut off.
  void stop();

  const ServiceTable& services() const;

  /// Figures of the requests of all callers.
  const Metrics& metrics() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
