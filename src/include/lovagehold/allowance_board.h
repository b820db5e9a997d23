#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/log_field.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace lovagehold {

/// What a control host knows of its group and of the entry hosts.
struct AllowanceView
{
  /// Cluster addresses of the control group's members.
  std::vector<std::string> members;
  /// The host is in contact with a majority of the group. Others may count the requests otherwise.
  bool in_contact = false;
  /// Number of entry hosts that share the allowances, and of those that are known to reach control.
  std::size_t hosts = 0;
  std::size_t reached_hosts = 0;
};

struct AllowanceBoardOptions
{
  /// Cluster address of this host.
  std::string address;
  AllowanceLedgerOptions ledger;
  /// A subscriber that has not renewed for this time is forgotten.
  std::chrono::milliseconds subscription_timeout{ 3000 };
  /// Part of its share of the rate that an entry host without contact uses, see
  /// AllowanceGateOptions::local_rate.
  double local_rate = 0.75;
  /// Part of the entry hosts that may be out of reach without an effect: the slack covers their
  /// shares, and single hosts restart at any time.
  double ignored_part = 0.05;
  /// Interval of the messages to the other control host that is responsible for an account.
  std::chrono::milliseconds share_interval{ 100 };
  /// The other control host is silent if nothing arrives from it for this time. Until it is clear
  /// which side of a partition has the majority, each grants half of the rate.
  std::chrono::milliseconds silence{ 350 };
  std::chrono::milliseconds uncertain_time{ 1650 };
  /// The restrictions are repeated at this interval, and those of another control host end if it
  /// does not repeat them.
  std::chrono::milliseconds repeat_interval{ 500 };
  std::chrono::milliseconds restriction_time{ 3000 };
  /// Accounts without requests for this time cause no messages.
  std::chrono::milliseconds active_time{ 5000 };
  std::uint64_t seed = 1;
};

/// Connections of an AllowanceBoard to its host.
struct AllowanceBoardPorts
{
  std::function<void(const std::string& address, const ClusterMessage&)> send;
  std::function<AllowanceView()> view;
  /// Called for each event to be logged.
  std::function<void(std::string_view event, const std::vector<LogField>& fields)> report;
};

/// A control host's part in the allowances: counts the requests of the accounts that it is
/// responsible for, and tells all hosts which accounts are restricted. Sends nothing as long as no
/// request of a limited account is reported. Not thread-safe.
class AllowanceBoard
{
public:
  AllowanceBoard(AllowanceBoardOptions options, AllowanceBoardPorts ports);

  /// An entry host subscribes or renews its subscription. A new one is sent the restrictions.
  /// \param starting the host does not have a confirmed state yet
  void add_subscriber(const std::string& address, bool starting, TimePoint now);

  /// Handles a message of an entry host or of another control host.
  void receive(const std::string& from, const AllowanceQuery& query, TimePoint now);
  void receive(const std::string& from, const AllowanceUse& use, TimePoint now);
  void receive(const std::string& from, const RestrictedAccounts& message, TimePoint now);

  /// Handles a message if it is one of those above.
  /// \return whether it is
  bool receive_any(const std::string& from, const ClusterMessage& message, TimePoint now);

  /// To be called every 50 ms.
  void tick(TimePoint now);

  /// \return the accounts that any control host restricts
  std::set<std::string> restricted() const;

  /// \return number of accounts whose requests this host counts
  std::size_t size() const { return m_ledger.size(); }

  /// Requests since the start that this host granted, denied as beyond the allowance, and could not
  /// tell of, and those that entry hosts reported.
  struct Counters
  {
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
    std::uint64_t unknown = 0;
    std::uint64_t reported = 0;
  };
  const Counters& counters() const { return m_counters; }

private:
  struct Partner
  {
    TimePoint heard;
    /// When the first of the accounts in use that are shared with it came into use.
    TimePoint since;
    TimePoint used_at;
  };
  struct RemoteSet
  {
    std::set<std::string> accounts;
    TimePoint heard;
  };

  void refresh_view(TimePoint now);
  AllowanceReply::Item answer(const AccountRequests& requests, TimePoint now);
  std::vector<std::string> responsible_for(const std::string& account) const;
  std::string partner_of(const std::vector<std::string>& responsible) const;
  double share_of(const std::string& partner, TimePoint now);
  void share_uses(TimePoint now);
  void publish(TimePoint now);
  void log_changes(const std::set<std::string>& restricted);

  AllowanceBoardOptions m_options;
  AllowanceBoardPorts m_ports;
  AllowanceLedger m_ledger;
  std::mt19937_64 m_random;
  AllowanceView m_view;
  TimePoint m_viewed_at;
  /// Requests counted since they were last shared.
  std::map<std::string, unsigned> m_uses;
  std::map<std::string, Partner> m_partners;
  std::map<std::string, RemoteSet> m_remote;
  std::map<std::string, TimePoint> m_subscribers;
  /// As last logged, and as last published.
  std::set<std::string> m_logged;
  std::set<std::string> m_published;
  TimePoint m_shared_at;
  TimePoint m_repeated_at;
  Counters m_counters;
};

} // namespace lovagehold
