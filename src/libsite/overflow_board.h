#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/log_field.h"
#include "lovagehold/metrics.h"
#include "lovagehold/replica.h"

#include <functional>

namespace lovagehold {

/// What a control host does for the traffic between failure domains: it collects the load that
/// entry hosts report, passes the sums to the leader or, as the leader, decides, and passes the
/// shares on. Time is an argument. Not thread-safe.
class OverflowBoard
{
public:
  /// A message to another host.
  struct Outgoing
  {
    std::string address;
    ClusterMessage message;
  };

  /// State of the control group as this host sees it.
  struct Group
  {
    bool leads = false;
    std::uint64_t term = 0;
    /// Empty if unknown.
    std::string leader;
    /// Addresses of all members, this host included.
    std::vector<std::string> members;
  };

  using Report = std::function<void(std::string_view event, const std::vector<LogField>& fields)>;

  /// \param enabled if false, no message is sent and messages of other hosts are ignored
  /// \param address of this host
  /// \param report writes log lines
  OverflowBoard(bool enabled,
                std::string address,
                Report report,
                DomainOverflowOptions options = {});

  /// \return whether the message is one for this object
  bool receive(const std::string& from, const ClusterMessage& message, TimePoint now);

  /// To be called about every 50 ms.
  /// \param group called only if there is something to do
  /// \return messages to be sent
  std::vector<Outgoing> tick(const std::function<Group()>& group, TimePoint now);

  /// \return metrics in the Prometheus text format; empty if disabled
  std::string render_metrics(TimePoint now) const;

private:
  using DomainLoads = std::map<std::string, std::map<ServiceName, DomainServiceLoad>>;

  struct ReceivedLoad
  {
    DomainLoad load;
    TimePoint received;
  };

  struct SentShares
  {
    std::vector<ServiceShares> services;
    TimePoint decided;
  };

  /// An entry host that reports to this host.
  struct Subscriber
  {
    std::string domain;
    /// When it last reported each service.
    std::map<ServiceName, TimePoint> services;
    SentShares sent;
  };

  void subscribe(const std::string& from, const DomainLoad& load, TimePoint now);
  Duration age_of(const ReceivedLoad& report, TimePoint now) const;
  DomainLoads sum_loads(bool with_combined, TimePoint now) const;
  void add_silent_domains(DomainLoads& loads, TimePoint now) const;
  void decide(const Group& group, TimePoint now);
  void report_reasons(const ServiceShares& shares);
  void send_to_leader(const Group& group, std::vector<Outgoing>& messages, TimePoint now);
  void send_to_members(const Group& group, std::vector<Outgoing>& messages, TimePoint now);
  DomainShares shares_for(const Subscriber& subscriber, TimePoint now) const;
  void send_to_entry_hosts(std::vector<Outgoing>& messages, TimePoint now);
  void expire(TimePoint now);
  bool has_fresh_shares(TimePoint now) const;

  bool m_enabled;
  std::string m_address;
  Report m_report;
  DomainOverflowOptions m_options;
  DomainOverflow m_overflow;
  /// Latest report of each entry host that follows this host, and of each control host.
  std::map<std::string, ReceivedLoad> m_loads;
  /// The last report to the leader was not empty.
  bool m_reported = false;
  /// The shares last received or decided.
  DomainShares m_shares;
  TimePoint m_decided_at;
  /// The decision that the entry hosts were last sent.
  TimePoint m_passed_on;
  std::map<std::string, Subscriber> m_subscribers;
  /// What the members were last sent.
  SentShares m_sent_to_members;
  TimePoint m_ticked_at;
  /// Set while this host leads.
  std::optional<TimePoint> m_leads_since;
  std::map<std::pair<ServiceName, std::string>, OverflowReason> m_reasons;
};

/// \return the state of the control group as the replica sees it
OverflowBoard::Group overflow_group(const Replica& replica);

} // namespace lovagehold
