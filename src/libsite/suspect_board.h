#pragma once

#include "lovagehold/cluster_message.h"

#include <map>
#include <set>

namespace lovagehold {

/// The evidence on requests that crash their servers, as a control host collects it and passes it
/// on to the entry hosts that subscribe to it. Not thread-safe.
class SuspectBoard
{
public:
  /// \param subscription_timeout after which a subscriber that has not renewed is forgotten
  SuspectBoard(CrashSuspectsOptions options, std::chrono::milliseconds subscription_timeout);

  /// An entry host subscribes or renews its subscription.
  /// \param starting the host does not have a confirmed state yet
  /// \return what to send to it: all evidence if it is new or has restarted, nothing otherwise
  CrashReports add_subscriber(const std::string& address, bool starting, TimePoint now);

  /// Adds the evidence of another host.
  void merge(const CrashReports& reports, TimePoint now);

  /// \return the evidence to send to all subscribers: what has changed since the last call
  CrashReports take_changes(TimePoint now);

  /// \return all evidence that other hosts should have
  CrashReports all(TimePoint now) const { return { m_suspects.shared_evidence(now) }; }

  /// \return cluster addresses of the subscribers, with the time of their last subscription
  const std::map<std::string, TimePoint>& subscribers() const { return m_subscribers; }

  /// \return number of requests that are quarantined
  std::size_t quarantined_count(TimePoint now) const { return m_suspects.quarantined_count(now); }

  /// Forgets outdated evidence and subscribers.
  void expire(TimePoint now);

private:
  CrashSuspects m_suspects;
  std::chrono::milliseconds m_subscription_timeout;
  std::set<RequestFingerprint> m_changed;
  std::map<std::string, TimePoint> m_subscribers;
};

} // namespace lovagehold
