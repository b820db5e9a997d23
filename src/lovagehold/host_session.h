#pragma once

#include "lovagehold/entry_service.h"
#include "lovagehold/event_log.h"
#include "lovagehold/home_table.h"
#include "lovagehold/ownership_tracker.h"

#include <functional>
#include <string>

namespace lovagehold {

struct HostSessionOptions
{
  HostInfo self;
  /// Cluster addresses of the control hosts. Heartbeats are sent to the first one until a reply
  /// names the leader; without replies the next ones are tried.
  std::vector<std::string> control_addresses;
  /// Minimum time between rebuilds of the routes while only servers and declarations change.
  std::chrono::milliseconds rebuild_interval{ 50 };
  /// Maximum share of one core spent on rebuilding the routes.
  double rebuild_load = 0.02;
};

/// Maintains an entry host's session with control: joins the membership, sends heartbeats, and
/// updates the slot shares and the routing view of the entry service. Runs on the control thread;
/// not thread-safe.
class HostSession
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  using Propose =
    std::function<void(const Command&, std::function<void(const Result<ApplyResult>&)>)>;

  HostSession(HostSessionOptions options,
              EntryService& entry,
              Send send,
              Propose propose,
              EventLog& log);

  /// Processes newly applied entries. Membership changes take effect immediately; other changes of
  /// the routes wait for the rebuild interval. Entries that change no route cost nothing.
  void applied(const StateMachine& state, TimePoint now);

  void receive(const HeartbeatReply& reply, TimePoint now);

  /// Sends a heartbeat and rebuilds the routes if due. To be called every 50 ms.
  void tick(const StateMachine& state, TimePoint now);

  /// Gives up all services and leaves the membership.
  /// \param done called once control has committed the leave or has not answered in time
  void leave(std::function<void()> done, TimePoint now);

  const OwnershipTracker& tracker() const;

private:
  void join(TimePoint now);
  void select_control_address(TimePoint now);
  void publish_shares(TimePoint now);
  void rebuild_routes(const StateMachine& state, TimePoint now);
  void log_membership_changes(const MembershipView& membership);

  HostSessionOptions m_options;
  EntryService& m_entry;
  Send m_send;
  Propose m_propose;
  EventLog& m_log;
  OwnershipTracker m_tracker;
  std::string m_control_address;
  std::size_t m_next_address = 0;
  TimePoint m_last_reply;
  /// Whether the lease was valid when the shares were last published.
  bool m_lease_held = false;
  bool m_join_pending = false;
  bool m_leaving = false;
  std::uint64_t m_view = 0;
  std::uint64_t m_revision = 0;
  /// Index of the last processed entry that changed the routes.
  std::uint64_t m_routes_index = 0;
  bool m_routes_stale = false;
  TimePoint m_next_rebuild;
  /// Incarnations of the members whose joins have been logged.
  std::map<HostId, std::uint64_t> m_known_hosts;
  HomeTable m_homes;
};

} // namespace lovagehold
