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
  HostId self;
  std::uint64_t incarnation = 1;
  std::chrono::milliseconds heartbeat_interval{ 150 };
  /// Interval while the applied view is not known to be stable, so that a handover between live
  /// hosts does not wait for the regular heartbeats.
  std::chrono::milliseconds handover_interval{ 50 };
  /// Each clock may run this much too fast or too slow.
  double clock_drift = 0.01;
  /// A host cut off from control serves on the isolated share for this long.
  std::chrono::milliseconds isolation_limit{ std::chrono::minutes{ 10 } };
  /// The following are switched off only by tests that prove the checks.
  bool lease_from_send = true;
  bool await_stable_view = true;
  bool await_predecessors = true;
};

/// A service and the share of its servers' slots that this host may use from now on.
struct ShareChange
{
  ServiceName service;
  SlotShare share = SlotShare::None;
};

/// Host side of the ownership leases: decides for each service which share of the slots this host
/// may use. Pure: the time is an argument of each call. Not thread-safe.
class OwnershipTracker
{
public:
  explicit OwnershipTracker(OwnershipOptions options);

  /// To be called at least every 50 ms. \return a heartbeat to send to the leader, if one is due.
  std::optional<Heartbeat> tick(TimePoint now);

  /// Takes up the leader's reply; replies to heartbeats that are not known are ignored.
  void receive(const HeartbeatReply& reply, TimePoint now);

  /// Takes up an applied view. The caller stops the lost services, as take_changes() names them,
  /// before it calls tick() again, because the next heartbeat acknowledges the view.
  void set_membership(const MembershipView& membership, TimePoint now);

  /// Takes up the declared services.
  void set_services(const std::vector<ServiceName>& services, TimePoint now);

  /// Gives up all services for good, before the host leaves.
  void release(TimePoint now);

  /// \return share of the service's slots at this time.
  SlotShare share(const ServiceName& service, TimePoint now) const;

  /// \return changes since the last call, each service once.
  std::vector<ShareChange> take_changes();

  /// \return end of the lease and of the isolated share, as limit_share() takes them.
  TimePoint lease_until() const;
  TimePoint isolation_until() const;

  /// \return whether this incarnation still has to join. The incarnation grows when a session has
  /// ended, so that joining again proves that the earlier session dispatches nothing.
  bool must_join() const;
  std::uint64_t incarnation() const;

  /// \return services whose owner, by the applied view, is this host.
  std::size_t owned_count() const;

  std::uint64_t stable_view() const;

private:
  struct Service
  {
    HostId owner;
    std::uint64_t owner_weight = 0;
    /// View in which this host saw itself become the owner.
    std::uint64_t start_view = 0;
    SlotShare share = SlotShare::None;
    std::vector<HostId> predecessors;
  };

  struct Predecessor
  {
    DepartedHost host;
    TimePoint isolation_ends;
  };

  struct SentHeartbeat
  {
    std::uint64_t sequence = 0;
    TimePoint time;
  };

  bool lease_valid(TimePoint now) const;
  bool predecessor_may_dispatch(const Service& service, TimePoint now) const;
  SlotShare decide(const Service& service, TimePoint now) const;
  void refresh(TimePoint now);
  void set_share(const ServiceName& name, Service& service, SlotShare share);
  void end_session(std::uint64_t ended_incarnation);
  void update_membership_of_self(const MembershipView& membership);
  void update_predecessors(const MembershipView& membership, TimePoint now);
  void update_owners(const MembershipView& membership);
  void select_owner_of(const ServiceName& name, Service& service);
  void offer_owner(const ServiceName& name, Service& service, const HostId& host);
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
  std::deque<SentHeartbeat> m_sent;
  /// Empty until the first heartbeat of the session was acknowledged.
  std::optional<TimePoint> m_lease_until;
  bool m_lapsed = true;
  bool m_member = false;
  bool m_released = false;
  /// Entry hosts of the view by id, with their incarnation.
  std::map<HostId, std::uint64_t> m_hosts;
  std::map<HostId, Predecessor> m_departed;
  std::unordered_map<ServiceName, Service> m_services;
  std::set<ServiceName> m_owned;
  std::set<ServiceName> m_changed;
};

} // namespace lovagehold
