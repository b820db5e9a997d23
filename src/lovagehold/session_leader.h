#pragma once

#include "lovagehold/event_log.h"
#include "lovagehold/session_table.h"

#include <functional>
#include <string>

namespace lovagehold {

/// Runs the session table on a control host. Not thread-safe.
class SessionLeader
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  /// Puts the command into this process's own log only; see SessionTable.
  using Propose = std::function<void(const LeaveHost&)>;

  SessionLeader(Send send, Propose propose, EventLog& log);

  /// Tells whether this process leads. To be called with true only after all entries of earlier
  /// leaders have been applied.
  void set_leading(bool leading, TimePoint now);

  /// A majority accepted this process as leader for a message that was sent at the given time.
  void confirm_leadership(TimePoint at);

  /// Cluster address of the leader, which other hosts are told when this process does not lead.
  void set_leader_address(const std::string& address);

  void set_membership(const MembershipView& membership, TimePoint now);
  void receive(const std::string& from, const Heartbeat& heartbeat, TimePoint now);

  /// Ends sessions; to be called every 50 ms.
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
