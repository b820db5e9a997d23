#include "lovagehold/permit_client.h"

namespace lovagehold {

PermitClient::PermitClient(Send send, PermitClientOptions options)
  : m_send(std::move(send))
  , m_options(options)
{
}

void
PermitClient::set_members(std::vector<std::string> members)
{
  m_selection.set_members(std::move(members));
}

void
PermitClient::request(const PermitQuery& query, AnswerHandler handler, TimePoint now)
{
  const std::string limiter = m_selection.select(query.service, now);
  if (limiter.empty()) {
    handler({ .wait = m_options.timeout });
    return;
  }
  const std::uint64_t id = m_numbers.next();
  m_pending[id] = { .limiter = limiter,
                    .handler = std::move(handler),
                    .expires = now + m_options.timeout };
  m_send(limiter, PermitRequest{ .id = id, .query = query });
}

void
PermitClient::receive(const PermitReply& reply)
{
  const auto found = m_pending.find(reply.id);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_selection.answered(pending.limiter);
  pending.handler(reply.answer);
}

void
PermitClient::expire(TimePoint now)
{
  while (!m_pending.empty() && m_pending.begin()->second.expires <= now) {
    const Pending pending = std::move(m_pending.begin()->second);
    m_pending.erase(m_pending.begin());
    m_selection.timed_out(pending.limiter, now);
    pending.handler({ .wait = m_options.timeout });
  }
}

TimePoint
PermitClient::next_expiry() const
{
  return m_pending.empty() ? TimePoint::max() : m_pending.begin()->second.expires;
}

} // namespace lovagehold
