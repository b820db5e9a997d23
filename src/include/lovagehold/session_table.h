#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/membership.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagehold {

struct SessionTableOptions
{
  std::chrono::milliseconds lease{ 600 };
  /// Each clock may run this much too fast or too slow. The host ends its lease early by this
  /// share and the leader ends the session late by it, so the host is always first.
  double clock_drift = 0.01;
  /// Heartbeats are acknowledged only this long after the leadership was last confirmed. Must be
  /// below the time that followers wait before they elect another leader, less the drift.
  std::chrono::milliseconds leadership_validity{ 500 };
  /// A longer gap between two calls of tick() means that the leader was paused: the heartbeats of
  /// that time may still wait to be received, so every session gets a full lease again.
  std::chrono::milliseconds longest_tick_gap{ 250 };
  /// A new leader ends no session before one lease has passed.
  bool wait_after_election = true;
  /// Whether a view is reported as stable only once all sessions have acknowledged it.
  bool await_acknowledgements = true;
};

/// Leader side of the ownership leases: the sessions of all member hosts. Pure: the time is an
/// argument of each call. Not thread-safe. A heartbeat costs one hash lookup.
///
/// The process that leads must have applied all entries of earlier leaders before it calls
/// set_leading(true), and must put the proposals of tick() into its own log only: a proposal that
/// another leader commits later could end a session that this leader has renewed.
class SessionTable
{
public:
  explicit SessionTable(SessionTableOptions options = {});

  /// Takes up or gives up leadership. Both forget all sessions; the members get a full lease.
  void set_leading(bool leading, TimePoint now);

  bool leading() const;

  /// A majority accepted this process as leader for a message that was sent at the given time.
  void confirm_leadership(TimePoint at);

  /// Takes up a view. New members get a full lease.
  void set_membership(const MembershipView& membership, TimePoint now);

  /// Renews the session of the host.
  /// \return the reply; nothing if this process may not answer as leader.
  std::optional<HeartbeatReply> receive(const Heartbeat& heartbeat, TimePoint now);

  /// \return proposals that end the sessions without a heartbeat for one lease. A proposal is
  /// repeated after each lease until the host is no longer a member.
  std::vector<LeaveHost> tick(TimePoint now);

  /// \return highest view that every live session has acknowledged.
  std::uint64_t stable_view() const;

  std::size_t session_count() const;

private:
  struct Session
  {
    std::uint64_t incarnation = 0;
    std::uint64_t joined_view = 0;
    std::uint64_t acknowledged = 0;
    TimePoint expires;
    bool ended = false;
  };

  Duration lease_of_leader() const;
  bool may_answer(TimePoint now) const;
  void acknowledge(Session& session, std::uint64_t view);
  void remove_acknowledgement(std::uint64_t view);

  SessionTableOptions m_options;
  bool m_leading = false;
  TimePoint m_confirmed = TimePoint::min();
  TimePoint m_last_tick = TimePoint::min();
  std::uint64_t m_view = 0;
  /// Highest stable view that any host reported; holds for sessions that joined before it.
  std::uint64_t m_reported_stable = 0;
  std::unordered_map<HostId, Session> m_sessions;
  /// Number of sessions by acknowledged view; nearly always one or two views.
  std::map<std::uint64_t, std::size_t> m_acknowledged;
};

} // namespace lovagehold
