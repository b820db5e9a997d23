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
  /// Maximum relative rate error of each clock. The host shortens its lease by it and the leader
  /// extends the session by it, so that the lease always ends before the session.
  double clock_drift = 0.01;
  /// Heartbeats are answered only for this time after the leadership was last confirmed. Must be
  /// shorter than the time that followers wait before they elect another leader, less the drift.
  std::chrono::milliseconds leadership_validity{ 500 };
  /// A longer gap between two calls of tick() means that the leader was paused. Heartbeats sent
  /// during the pause may not have been received yet, so every session gets a full lease again.
  std::chrono::milliseconds max_tick_gap{ 250 };
  /// Whether a new leader, or one that was paused, waits for one lease before it ends sessions.
  bool wait_after_election = true;
  /// Whether a view is reported as stable only once all sessions have acknowledged it.
  bool await_acknowledgements = true;
};

/// Leader side of the ownership leases: the sessions of all member hosts. A heartbeat costs one
/// hash lookup. Reads no clock: the time is an argument of each call. Not thread-safe.
///
/// A process must have applied all entries of earlier leaders before it calls set_leading(true). It
/// must append the commands that tick() returns to its own log and never forward them: another
/// leader could commit them after this leader has renewed the session.
class SessionTable
{
public:
  explicit SessionTable(SessionTableOptions options = {});

  /// Sets whether this process leads. A change discards all acknowledgements and gives every member
  /// a full lease.
  void set_leading(bool leading, TimePoint now);

  bool leading() const;

  /// Records that a majority has confirmed this process as leader by a request sent at \p at.
  void confirm_leadership(TimePoint at);

  /// Updates the sessions to the members of a view. New members get a full lease.
  void set_membership(const MembershipView& membership, TimePoint now);

  /// Renews the session of the host.
  /// \return the reply; nothing if this process may not answer as leader
  std::optional<HeartbeatReply> receive(const Heartbeat& heartbeat, TimePoint now);

  /// \return commands that end the sessions without a heartbeat for one lease. A command is
  /// repeated after each lease until the host is no longer a member.
  std::vector<LeaveHost> tick(TimePoint now);

  /// \return highest view that every live session has acknowledged
  std::uint64_t stable_view() const;

  std::size_t session_count() const;

private:
  struct Session
  {
    std::uint64_t incarnation = 0;
    std::uint64_t joined_view = 0;
    /// Highest view that the host has acknowledged.
    std::uint64_t acknowledged = 0;
    TimePoint expires;
    /// A command to end the session has been proposed.
    bool ended = false;
  };

  /// Lease with a margin for clock drift.
  Duration session_timeout() const;
  bool may_answer(TimePoint now) const;
  void acknowledge(Session& session, std::uint64_t view);
  void remove_acknowledgement(std::uint64_t view);

  SessionTableOptions m_options;
  bool m_leading = false;
  TimePoint m_leadership_confirmed = TimePoint::min();
  TimePoint m_last_tick = TimePoint::min();
  std::uint64_t m_view = 0;
  /// Highest stable view that any host has reported. Sessions that joined in or before this view
  /// have acknowledged it.
  std::uint64_t m_reported_stable = 0;
  std::unordered_map<HostId, Session> m_sessions;
  /// Number of sessions by acknowledged view. Has nearly always one or two keys.
  std::map<std::uint64_t, std::size_t> m_acknowledged;
};

} // namespace lovagehold
