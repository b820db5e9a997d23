#include "lovagehold/allowance_relay.h"

namespace lovagehold {

namespace {

// Numbers from here on belong to questions that are passed on; those of this host are smaller.
constexpr std::uint64_t kFirstId = 2 * RequestNumbers::kMaxFirst;

} // namespace

AllowanceRelay::AllowanceRelay(Send send, AllowanceRelayOptions options)
  : m_send(std::move(send))
  , m_options(options)
{
}

void
AllowanceRelay::set_members(std::vector<std::string> members)
{
  m_selection.set_members(std::move(members));
}

void
AllowanceRelay::forward(const std::string& from, const AllowanceQuery& query, TimePoint now)
{
  expire(now);
  if (query.accounts.size() != 1 || m_pending.size() >= m_options.max_pending) {
    return;
  }
  const std::string limiter = m_selection.select(query.accounts.front().account, now);
  if (limiter.empty()) {
    return;
  }
  const std::uint64_t id = kFirstId + m_numbers.next();
  m_pending[id] = {
    .from = from, .id = query.id, .limiter = limiter, .expires = now + m_options.timeout
  };
  m_send(limiter, AllowanceQuery{ .id = id, .accounts = query.accounts });
}

bool
AllowanceRelay::receive(const AllowanceReply& reply)
{
  if (reply.id < kFirstId) {
    return false;
  }
  const auto found = m_pending.find(reply.id);
  if (found != m_pending.end()) {
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_selection.answered(pending.limiter);
    AllowanceReply passed_on = reply;
    passed_on.id = pending.id;
    m_send(pending.from, passed_on);
  }
  return true;
}

void
AllowanceRelay::expire(TimePoint now)
{
  while (!m_pending.empty() && m_pending.begin()->second.expires <= now) {
    m_selection.timed_out(m_pending.begin()->second.limiter, now);
    m_pending.erase(m_pending.begin());
  }
}

} // namespace lovagehold
