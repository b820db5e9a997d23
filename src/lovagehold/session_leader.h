#pragma once

#include "lovagehold/event_log.h"
#include "lovagehold/session_table.h"

#include <functional>
#include <string>

namespace lovagehold {

/// Answers the heartbeats of hosts on a control host and ends expired sessions, using a
/// SessionTable. Not thread-safe.
class SessionLeader
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  /// Appends the command to this process's own log only, see SessionTable.
  using Propose = std::function<void(const LeaveHost&)>;

  SessionLeader(Send send, Propose propose, EventLog& log);

  /// Sets whether this process leads. To be called with true only after all entries of earlier
  /// leaders have been applied.
  void set_leading(bool leading, TimePoint now);

  /// Records that a majority has confirmed this process as leader by a request sent at \p at.
  void confirm_leadership(TimePoint at);

  /// Sets the cluster address of the leader, to which hosts are redirected while this process does
  /// not lead.
  void set_leader_address(const std::string& address);

  void set_membership(const MembershipView& membership, TimePoint now);
  void receive(const std::string& from, const Heartbeat& heartbeat, TimePoint now);

  /// Proposes to end expired sessions. To be called every 50 ms.
  void tick(TimePoint now);

  const SessionTable& table() const;

private:
  Send m_send;
  Propose m_propose;
  EventLog& m_log;
  SessionTable m_table;
  std::string m_leader_address;
};

} // namespace lovagehold
