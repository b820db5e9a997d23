#pragma once

#include "lovagehold/allowance_ledger.h"
#include "lovagehold/routing_config.h"
#include "lovagehold/shared_credit.h"

#include <algorithm>
#include <map>
#include <optional>

namespace lovagehold {

struct AllowanceGateOptions
{
  /// By how much all hosts together may exceed an allowance in each window:
  /// (rate * window + burst) * (1 + overage) + slack.
  std::chrono::milliseconds window{ 5000 };
  double overage = 0.1;
  double slack = 20;
  /// Part of the slack that the ledger uses, see AllowanceLedgerOptions::jitter.
  double jitter = 8;
  /// Requests are admitted without a question only for this time after a message of a control host,
  /// because the account may have been restricted meanwhile. Control hosts answer every 500 ms.
  std::chrono::milliseconds contact_time{ 700 };
  /// A host that was out of contact, or has just started, has been told of the restrictions by this
  /// time after its first contact.
  std::chrono::milliseconds resume_time{ 700 };
  /// Time within which the requests that a host admits by itself are confirmed.
  std::chrono::milliseconds confirm_time{ 150 };
  /// Part of the slack that hosts may use before they notice that they are out of contact, as a sum
  /// over all hosts, and the same for the time after.
  double unconfirmed_part = 0.8;
  double local_part = 0.5;
  /// Part of its share of the rate that a host without contact uses.
  double local_rate = 0.75;
  /// Time constant of the mean rate of an account at this host.
  std::chrono::milliseconds mean_time{ 5000 };
  /// A restriction that is not repeated for this time has ended.
  std::chrono::milliseconds restriction_time{ 3000 };
  /// An account without a request for this time is forgotten.
  std::chrono::seconds retention{ 60 };
};

/// What becomes of a caller's request of a limited account.
struct AllowanceDecision
{
  enum class Outcome
  {
    Admitted,
    Denied,  ///< the account has used its allowance
    Unknown, ///< it can't be told whether the account has allowance left
  };
  Outcome outcome = Outcome::Admitted;
  /// Time after which the caller should return. Set unless the request is admitted.
  std::chrono::milliseconds retry{ 0 };
};

/// How a host treats a request of a limited account.
enum class AllowanceVerdict
{
  Admit, ///< send it, and report the use
  Ask,   ///< ask the ledger
  Deny,  ///< the ledger has denied requests until a time that has not come yet
};

/// Decides for one entry host which requests of limited accounts are sent at once, which need a
/// question to the ledger, and which are admitted while no ledger answers. Not thread-safe.
class AllowanceGate
{
public:
  explicit AllowanceGate(AllowanceGateOptions options = {})
    : m_options(options)
  {
  }

  /// Sets the number of entry hosts that share the allowances.
  void set_hosts(std::size_t hosts) { m_hosts = std::max<std::size_t>(hosts, 1); }

  /// The control host that this host follows has sent something.
  void contact(TimePoint now);

  /// \return whether the followed control host has sent something lately
  bool in_contact(TimePoint now) const { return now - m_contact < m_options.contact_time; }

  /// Replaces the accounts that the control hosts restrict.
  void set_restricted(const std::vector<std::string>& accounts, TimePoint now);

  /// Decides about one request. An admitted one counts as unconfirmed until the ledger knows it.
  AllowanceVerdict decide(const ClientAccount& account, TimePoint now);

  /// Decides about one request without the ledger, which does not answer.
  /// \return whether it may be sent; these requests are not reported
  bool admit_locally(const ClientAccount& account, TimePoint now, std::mt19937_64& random);

  /// The ledger has counted requests that this host admitted.
  /// \param granted requests that it has granted in the same answer
  void confirm(const std::string& account, unsigned requests, unsigned granted, TimePoint now);

  /// Applies the ledger's answer to a question or a report.
  void apply(const std::string& account, const AllowanceAnswer& answer, TimePoint now);

  /// No ledger answers for the account. Requests admitted and not confirmed stay so.
  void unanswered(const std::string& account);

  /// Denial in force for the account.
  struct Denial
  {
    /// See AllowanceAnswer::over.
    bool over = false;
    std::chrono::milliseconds retry{ 0 };
  };
  /// \return the denial that decide() applied; call only after AllowanceVerdict::Deny
  Denial denial(const std::string& account, TimePoint now, std::mt19937_64& random) const;

  bool is_restricted(const std::string& account, TimePoint now) const;

  /// \return number of accounts that this host must ask for
  std::size_t restricted_count(TimePoint now) const;

  /// Forgets accounts that are not used.
  void expire(TimePoint now);

private:
  struct State
  {
    /// Requests admitted by this host that the ledger may not know.
    unsigned unconfirmed = 0;
    /// The last question or report was answered.
    bool answered = true;
    TimePoint answered_at;
    /// The ledger restricted the account, last said at that time.
    std::optional<TimePoint> restricted_at;
    /// Denies without a question until then.
    TimePoint denied_until;
    bool denied_over = false;
    std::chrono::milliseconds denied_retry{ 0 };
    /// Mean of the admitted requests per second.
    double mean_rate = 0;
    TimePoint mean_at;
    std::optional<SharedCredit> local;
    TimePoint last_request;
  };

  State& find(const ClientAccount& account, TimePoint now);
  double spare(const ClientAccount& account) const;
  double unconfirmed_limit(const ClientAccount& account, const State& state, TimePoint now) const;
  double mean_rate(const State& state, TimePoint now) const;
  void count(State& state, unsigned requests, TimePoint now) const;
  bool restricts(const State& state, TimePoint now) const;

  AllowanceGateOptions m_options;
  std::size_t m_hosts = 1;
  TimePoint m_contact;
  /// When contact began.
  TimePoint m_resumed;
  std::map<std::string, State> m_accounts;
  /// Accounts that the control hosts restrict, and when they last said so.
  std::map<std::string, TimePoint> m_restricted;
};

} // namespace lovagehold
