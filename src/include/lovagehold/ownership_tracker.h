#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/dispatcher.h"
#include "lovagehold/membership.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovagehold {

struct OwnershipOptions
{
  /// This host.
  HostId self;
  std::uint64_t incarnation = 1;
  std::chrono::milliseconds heartbeat_interval{ 150 };
  /// Heartbeat interval until the applied view is known to be stable. A handover between live hosts
  /// has to wait for this, so the interval is shorter than the regular one.
  std::chrono::milliseconds handover_interval{ 50 };
  /// Maximum relative rate error of each clock.
  double clock_drift = 0.01;
  /// A host that loses contact with control continues on SlotShare::Isolated for this time after
  /// its lease.
  std::chrono::milliseconds isolation_limit{ std::chrono::minutes{ 10 } };
  /// Rules of the protocol. Tests disable them one at a time to verify that the checks detect each
  /// violation.
  bool lease_from_send = true;
  bool await_stable_view = true;
  bool await_predecessors = true;
};

/// The new share of a service's slots that this host may use.
struct ShareChange
{
  ServiceName service;
  SlotShare share = SlotShare::None;
};

/// Host side of the ownership leases: decides for each service which share of its servers' slots
/// this host may use. Reads no clock: the time is an argument of each call. Not thread-safe.
class OwnershipTracker
{
public:
  explicit OwnershipTracker(OwnershipOptions options);

  /// To be called at least every 50 ms. \return a heartbeat to send to the leader, if one is due
  std::optional<Heartbeat> tick(TimePoint now);

  /// Extends the lease by the leader's reply. Replies to unknown heartbeats are ignored.
  void receive(const HeartbeatReply& reply, TimePoint now);

  /// Processes an applied view. Before it calls tick() again, the caller must apply take_changes()
  /// and so stop dispatching for the services that were lost: the next heartbeat acknowledges the
  /// view.
  void set_membership(const MembershipView& membership, TimePoint now);

  /// Replaces the set of declared services.
  void set_services(const std::vector<ServiceName>& services, TimePoint now);

  /// Gives up all services permanently, before the host leaves.
  void release(TimePoint now);

  /// \return share of the service's slots at this time
  SlotShare share(const ServiceName& service, TimePoint now) const;

  /// \return changes since the last call, at most one for each service
  std::vector<ShareChange> take_changes();

  /// \return end of the lease and end of the isolated share, the arguments of limit_share()
  TimePoint lease_until() const;
  TimePoint isolation_until() const;

  /// \return whether this incarnation still has to join. The incarnation increases when a session
  /// ends, so that the next join proves that the ended session no longer dispatches.
  bool must_join() const;
  std::uint64_t incarnation() const;

  /// \return number of services that this host owns according to the applied view
  std::size_t owned_count() const;

  std::uint64_t stable_view() const;

private:
  struct Service
  {
    HostId owner;
    std::uint64_t owner_weight = 0;
    /// View in which this host became the owner.
    std::uint64_t start_view = 0;
    SlotShare share = SlotShare::None;
    /// Departed hosts that may have owned the service and may still dispatch for it.
    std::vector<HostId> predecessors;
  };

  struct Predecessor
  {
    DepartedHost host;
    /// From then on the host no longer dispatches.
    TimePoint isolation_ends;
  };

  struct SentHeartbeat
  {
    std::uint64_t sequence = 0;
    TimePoint time;
  };

  bool lease_valid(TimePoint now) const;
  bool predecessor_may_dispatch(const Service& service, TimePoint now) const;
  SlotShare compute_share(const Service& service, TimePoint now) const;
  void update_shares(TimePoint now);
  void set_share(const ServiceName& name, Service& service, SlotShare share);
  void end_session(std::uint64_t ended_incarnation);
  void update_own_membership(const MembershipView& membership);
  void update_predecessors(const MembershipView& membership, TimePoint now);
  void update_owners(const MembershipView& membership);
  void select_owner_of(const ServiceName& name, Service& service);
  void consider_owner(const ServiceName& name, Service& service, const HostId& host);
  void set_owner(const ServiceName& name,
                 Service& service,
                 const HostId& host,
                 std::uint64_t weight);
  void find_predecessors(const ServiceName& name, Service& service) const;

  OwnershipOptions m_options;
  std::uint64_t m_view = 0;
  std::uint64_t m_stable_view = 0;
  std::uint64_t m_sent_view = 0;
  std::uint64_t m_sequence = 0;
  std::optional<TimePoint> m_last_heartbeat;
  std::deque<SentHeartbeat> m_sent_heartbeats;
  /// Empty until the first heartbeat of the session has been acknowledged.
  std::optional<TimePoint> m_lease_until;
  /// Whether the lease had expired at the last update of the shares.
  bool m_lease_expired = true;
  bool m_member = false;
  bool m_released = false;
  /// Incarnations of the view's entry hosts.
  std::map<HostId, std::uint64_t> m_hosts;
  std::map<HostId, Predecessor> m_departed;
  std::unordered_map<ServiceName, Service> m_services;
  std::set<ServiceName> m_owned;
  std::set<ServiceName> m_changed;
};

} // namespace lovagehold
