#pragma once

#include "lovagehold/allowance_gate.h"
#include "lovagehold/cluster_message.h"
#include "lovagehold/log_field.h"
#include "lovagehold/request_numbers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lovagehold {

struct AllowanceClientOptions
{
  AllowanceGateOptions gate;
  /// A control host without an answer for this time is taken for unreachable. Small hosts, which
  /// get their processor time in slices of 100 ms, answer within two of them.
  std::chrono::milliseconds timeout{ 200 };
  /// Least time between two reports to a control host.
  std::chrono::milliseconds report_interval{ 100 };
  /// Time after which a caller should return whose request the host can't decide about: another
  /// host may be in contact.
  std::chrono::milliseconds unknown_retry{ 100 };
  /// \return the cluster address of another entry host, which passes questions on while this host
  /// can't reach the control hosts; empty if none is known. May be empty: there is no such host.
  std::function<std::string()> peer;
  /// Called for each event to be logged. May be empty.
  std::function<void(std::string_view event, const std::vector<LogField>& fields)> report;
  std::uint64_t seed = 1;
};

/// Requests of limited accounts since the client was created.
struct AllowanceCounters
{
  /// Admitted at once, without a question.
  std::uint64_t admitted = 0;
  /// Answered by a control host.
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  /// Control hosts could not tell whether the account is over its allowance.
  std::uint64_t unknown = 0;
  /// Denied at once, because a control host has denied requests until a later time.
  std::uint64_t denied_again = 0;
  /// Decided by the host itself, because no control host answered.
  std::uint64_t admitted_locally = 0;
  std::uint64_t refused_locally = 0;
  /// Messages sent to control hosts, those of them that went through another entry host, and those
  /// without an answer.
  std::uint64_t queries = 0;
  std::uint64_t relayed = 0;
  std::uint64_t timeouts = 0;
};

/// Obtains an entry host's decisions about requests of limited accounts: reports those that it
/// admits by itself to the responsible control hosts, and asks them for the others. Not
/// thread-safe.
class AllowanceClient
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  using Handler = std::function<void(const AllowanceDecision&)>;

  AllowanceClient(Send send, AllowanceClientOptions options);

  /// Sets the cluster addresses of the control group's members.
  void set_members(std::vector<std::string> members);

  /// Sets the number of entry hosts that callers are directed to.
  void set_hosts(std::size_t hosts);

  /// Decides about one request of an account.
  /// \param version of the routing configuration that the account is from
  /// \param handler called once, from this call or from a later one of receive() or tick()
  void request(const std::shared_ptr<const ClientAccount>& account,
               std::uint64_t version,
               Handler handler,
               TimePoint now);

  /// Handles the answer of a control host; late ones are ignored.
  void receive(const AllowanceReply& reply, TimePoint now);

  /// Handles the restrictions that the followed control host knows.
  void receive(const RestrictedAccounts& message, TimePoint now);

  /// The followed control host has sent something.
  void contact(TimePoint now) { m_gate.contact(now); }

  /// Sends what is due and ends the questions without an answer in time.
  void tick(TimePoint now);

  /// \return when tick() is to be called next; TimePoint::max() if nothing is pending
  TimePoint next_tick() const;

  const AllowanceCounters& counters() const { return m_counters; }

  /// \return number of accounts that this host must ask for
  std::size_t restricted_count(TimePoint now) const { return m_gate.restricted_count(now); }

private:
  struct Account
  {
    std::shared_ptr<const ClientAccount> account;
    std::uint64_t version = 0;
    /// Requests admitted and not reported.
    unsigned unsent = 0;
    /// Those of them that have been reported without an answer.
    unsigned repeated = 0;
    /// Handlers of the requests that a control host has been asked for, and of later ones.
    std::vector<Handler> asked;
    std::vector<Handler> waiting;
    TimePoint last_request;

    /// Makes those that were asked for wait again, before later ones.
    void wait_again();
  };
  /// Where a question is sent.
  struct Target
  {
    std::string address;
    /// The address is that of another entry host.
    bool relayed = false;
  };
  struct Sent
  {
    Target target;
    std::vector<AccountRequests> accounts;
    TimePoint expires;
  };

  void update_hosts();
  static AccountRequests take_unsent(const std::string& name, Account& state);
  std::optional<Target> select_target(const std::string& name, TimePoint now);
  void ask(const std::string& name, TimePoint now);
  void send(const Target& target, std::vector<AccountRequests> accounts, TimePoint now);
  void fail(const Sent& sent, TimePoint now);
  void send_reports(TimePoint now);
  void give_up(const std::string& name, TimePoint now);
  void retry(const AccountRequests& requests, TimePoint now);
  void resolve(const AccountRequests& requests, const AllowanceAnswer& answer, TimePoint now);
  void decide_waiting(const std::string& name, TimePoint now);
  void deny(const std::string& name, const Handler& handler, TimePoint now);
  void set_local(bool local);
  void expire(TimePoint now);

  Send m_send;
  AllowanceClientOptions m_options;
  AllowanceGate m_gate;
  LimiterSelection m_selection;
  std::mt19937_64 m_random;
  std::size_t m_advertised_hosts = 1;
  std::size_t m_known_hosts = 0;
  std::map<std::string, Account> m_accounts;
  /// Accounts with requests that are not reported.
  std::set<std::string> m_unsent;
  /// By id; expires grows with the id.
  std::map<std::uint64_t, Sent> m_sent;
  /// Earliest time of the next report, by control host.
  std::map<std::string, TimePoint> m_report_at;
  TimePoint m_next_report = TimePoint::max();
  TimePoint m_expired_at;
  RequestNumbers m_numbers;
  /// Entry host that passes questions on; empty if none has been chosen.
  std::string m_peer;
  /// The last question was not answered by any control host.
  bool m_local = false;
  AllowanceCounters m_counters;
};

} // namespace lovagehold
