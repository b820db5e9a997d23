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
  /// Cluster addresses of the control hosts; heartbeats go to the first until a reply names the
  /// leader.
  std::vector<std::string> control_addresses;
  /// Routes are rebuilt at most this often while only servers and declarations change.
  std::chrono::milliseconds rebuild_interval{ 50 };
  /// Share of one core that rebuilding may take at most.
  double rebuild_load = 0.02;
};

/// Keeps an entry host's session: heartbeats, joining, shares of the services and the routing view
/// of the entry service. Runs on the control thread; not thread-safe.
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

  /// Takes up applied entries. MembershipView changes act at once; other changes of the routes wait
  /// for the rebuild interval. Entries that change no route cost nothing.
  void applied(const StateMachine& state, TimePoint now);

  void receive(const HeartbeatReply& reply, TimePoint now);

  /// To be called every 50 ms.
  void tick(const StateMachine& state, TimePoint now);

  /// Gives up all services and leaves the membership. \param done called once control has committed
  /// the leave or has not answered in time.
  void leave(std::function<void()> done, TimePoint now);

  const OwnershipTracker& tracker() const;

private:
  void join(TimePoint now);
  void select_control_address(TimePoint now);
  void publish_shares(TimePoint now);
  void rebuild_routes(const StateMachine& state, TimePoint now);
  void report_membership(const MembershipView& membership);

  HostSessionOptions m_options;
  EntryService& m_entry;
  Send m_send;
  Propose m_propose;
  EventLog& m_log;
  OwnershipTracker m_tracker;
  std::string m_control_address;
  std::size_t m_next_address = 0;
  TimePoint m_last_reply;
  bool m_lease_held = false;
  bool m_join_pending = false;
  bool m_leaving = false;
  std::uint64_t m_view = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_routes_index = 0;
  bool m_routes_stale = false;
  TimePoint m_next_rebuild;
  std::map<HostId, std::uint64_t> m_known_hosts;
  HomeTable m_homes;
};

} // namespace lovagehold
