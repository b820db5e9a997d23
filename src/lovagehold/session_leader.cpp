#include "session_leader.h"

namespace lovagehold {

SessionLeader::SessionLeader(Send send, Propose propose, EventLog& log)
  : m_send(std::move(send))
  , m_propose(std::move(propose))
  , m_log(log)
{
}

void
SessionLeader::set_leading(bool leading, TimePoint now)
{
  if (leading != m_table.leading()) {
    m_log.info("leadership_changed", { { "leading", leading ? "yes" : "no" } });
  }
  m_table.set_leading(leading, now);
}

void
SessionLeader::confirm_leadership(TimePoint at)
{
  m_table.confirm_leadership(at);
}

void
SessionLeader::set_leader_address(const std::string& address)
{
  m_leader_address = address;
}

void
SessionLeader::set_membership(const MembershipView& membership, TimePoint now)
{
  m_table.set_membership(membership, now);
}

void
SessionLeader::receive(const std::string& from, const Heartbeat& heartbeat, TimePoint now)
{
  if (const auto reply = m_table.receive(heartbeat, now)) {
    m_send(from, *reply);
  } else if (!m_table.leading() && !m_leader_address.empty()) {
    m_send(from, HeartbeatReply{ .sequence = heartbeat.sequence, .leader = m_leader_address });
  }
}

void
SessionLeader::tick(TimePoint now)
{
  for (const LeaveHost& leave : m_table.tick(now)) {
    m_log.warn("session_ended",
               { { "peer", leave.id },
                 { "incarnation", std::to_string(leave.incarnation) },
                 { "acknowledged_view", std::to_string(leave.acknowledged) } });
    m_propose(leave);
  }
}

const SessionTable&
SessionLeader::table() const
{
  return m_table;
}

} // namespace lovagehold
