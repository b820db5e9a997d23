#include "lovagehold/session_table.h"

#include <algorithm>
#include <unordered_set>

namespace lovagehold {

SessionTable::SessionTable(SessionTableOptions options)
  : m_options(options)
{
}

Duration
SessionTable::session_timeout() const
{
  return std::chrono::duration_cast<Duration>(m_options.lease * (1 + m_options.clock_drift));
}

bool
SessionTable::may_answer(TimePoint now) const
{
  return m_leading && now < m_leadership_confirmed + m_options.leadership_validity;
}

void
SessionTable::set_leading(bool leading, TimePoint now)
{
  if (leading == m_leading) {
    return;
  }
  m_leading = leading;
  m_leadership_confirmed = leading ? now : TimePoint::min();
  m_last_tick = now;
  m_reported_stable = 0;
  m_acknowledged.clear();
  for (auto& [id, session] : m_sessions) {
    session.acknowledged = 0;
    session.ended = false;
    session.expires = m_options.wait_after_election ? now + session_timeout() : now;
    ++m_acknowledged[0];
  }
}

bool
SessionTable::leading() const
{
  return m_leading;
}

void
SessionTable::confirm_leadership(TimePoint at)
{
  m_leadership_confirmed = std::max(m_leadership_confirmed, at);
}

void
SessionTable::set_membership(const MembershipView& membership, TimePoint now)
{
  if (membership.view == m_view) {
    return;
  }
  m_view = membership.view;
  std::unordered_set<HostId> present;
  for (const HostMember& member : membership.members) {
    present.insert(member.host.id);
    const auto [found, added] = m_sessions.try_emplace(member.host.id);
    Session& session = found->second;
    if (!added && session.incarnation == member.host.incarnation) {
      continue;
    }
    if (!added) {
      remove_acknowledgement(session.acknowledged);
    }
    session = { .incarnation = member.host.incarnation,
                .joined_view = member.joined_view,
                .expires = now + session_timeout() };
    ++m_acknowledged[0];
  }
  for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
    if (present.count(entry->first) > 0) {
      ++entry;
      continue;
    }
    remove_acknowledgement(entry->second.acknowledged);
    entry = m_sessions.erase(entry);
  }
}

std::optional<HeartbeatReply>
SessionTable::receive(const Heartbeat& heartbeat, TimePoint now)
{
  // After a pause another process may lead, which counts leases from the heartbeats that it
  // received itself. A reply from this process would extend a lease without the knowledge of that
  // leader.
  if (!may_answer(now)) {
    return std::nullopt;
  }
  HeartbeatReply reply{ .sequence = heartbeat.sequence };
  const auto found = m_sessions.find(heartbeat.host);
  const bool live = found != m_sessions.end() && !found->second.ended &&
                    found->second.incarnation == heartbeat.incarnation;
  if (!live) {
    return reply;
  }
  Session& session = found->second;
  session.expires = now + session_timeout();
  acknowledge(session, heartbeat.view);
  m_reported_stable = std::max(m_reported_stable, heartbeat.stable_view);
  reply.lease = m_options.lease;
  // A host that has not applied this view may not know of a departed owner that the view lists.
  if (session.acknowledged >= m_view) {
    reply.stable_view = stable_view();
  }
  return reply;
}

std::vector<LeaveHost>
SessionTable::tick(TimePoint now)
{
  std::vector<LeaveHost> proposals;
  if (!may_answer(now)) {
    return proposals;
  }
  const bool paused = m_last_tick + m_options.max_tick_gap < now;
  m_last_tick = now;
  for (auto& [id, session] : m_sessions) {
    if (paused && !session.ended && m_options.wait_after_election) {
      session.expires = std::max(session.expires, now + session_timeout());
    }
    if (session.expires > now) {
      continue;
    }
    // The command can't be withdrawn, so the session's heartbeats are rejected from now on.
    session.ended = true;
    session.expires = now + session_timeout();
    const std::uint64_t known_view =
      m_reported_stable >= session.joined_view ? m_reported_stable : session.joined_view;
    proposals.push_back({ .id = id,
                          .incarnation = session.incarnation,
                          .acknowledged = std::max(session.acknowledged, known_view) });
  }
  return proposals;
}

std::uint64_t
SessionTable::stable_view() const
{
  if (!m_options.await_acknowledgements) {
    return m_view;
  }
  return m_acknowledged.empty() ? m_view : std::min(m_view, m_acknowledged.begin()->first);
}

std::size_t
SessionTable::session_count() const
{
  return m_sessions.size();
}

void
SessionTable::acknowledge(Session& session, std::uint64_t view)
{
  if (view <= session.acknowledged) {
    return;
  }
  remove_acknowledgement(session.acknowledged);
  session.acknowledged = view;
  ++m_acknowledged[view];
}

void
SessionTable::remove_acknowledgement(std::uint64_t view)
{
  const auto found = m_acknowledged.find(view);
  if (found != m_acknowledged.end() && --found->second == 0) {
    m_acknowledged.erase(found);
  }
}

} // namespace lovagehold
