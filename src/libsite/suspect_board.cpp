#include "suspect_board.h"

namespace lovagehold {

SuspectBoard::SuspectBoard(CrashSuspectsOptions options,
                           std::chrono::milliseconds subscription_timeout)
  : m_suspects(options)
  , m_subscription_timeout(subscription_timeout)
{
}

CrashReports
SuspectBoard::add_subscriber(const std::string& address, bool starting, TimePoint now)
{
  if (starting) {
    m_subscribers.erase(address);
    return {};
  }
  const bool is_new = m_subscribers.insert_or_assign(address, now).second;
  return is_new ? all(now) : CrashReports{};
}

void
SuspectBoard::merge(const CrashReports& reports, TimePoint now)
{
  for (const CrashEvidence& evidence : reports.evidence) {
    if (m_suspects.merge(evidence, now)) {
      m_changed.insert(evidence.request);
    }
  }
}

CrashReports
SuspectBoard::take_changes(TimePoint now)
{
  if (m_changed.empty()) {
    return {};
  }
  CrashReports changes = all(now);
  std::erase_if(changes.evidence, [this](const CrashEvidence& evidence) {
    return m_changed.count(evidence.request) == 0;
  });
  m_changed.clear();
  return changes;
}

void
SuspectBoard::expire(TimePoint now)
{
  m_suspects.expire(now);
  std::erase_if(m_subscribers, [&](const auto& subscriber) {
    return now - subscriber.second >= m_subscription_timeout;
  });
}

} // namespace lovagehold
