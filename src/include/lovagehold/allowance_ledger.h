#pragma once

#include "lovagehold/types.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace lovagehold {

/// The limit of an account, as the host that reports a use or asks for a request knows it.
struct AllowanceLimit
{
  /// Requests per second from all hosts together.
  double rate = 0;
  /// Requests beyond the rate at once.
  double burst = 0;
  /// Version of the routing configuration that the limit is from; the highest one holds.
  std::uint64_t version = 0;

  bool operator==(const AllowanceLimit&) const = default;
};

/// Answer of a ledger to a host that asks for some requests of an account.
struct AllowanceAnswer
{
  /// Number of the requests that may be sent.
  unsigned granted = 0;
  /// Set if the others are denied because the account has used its allowance. Otherwise the ledger
  /// can't tell whether it has.
  bool over = false;
  /// Time until the next request can be granted. Before, it makes no sense to ask again.
  std::chrono::milliseconds wait{ 0 };
  /// Time after which the callers of the denied requests should return, at least \p wait. Longer
  /// the more requests are denied, so that the callers do not all return for the same token.
  std::chrono::milliseconds retry{ 0 };
  /// Hosts must ask for each request of the account.
  bool restricted = false;
};

struct AllowanceLedgerOptions
{
  /// Window for which the uses beyond an allowance are remembered.
  std::chrono::milliseconds window{ 5000 };
  /// Requests by which a bucket is deeper than the burst, so that jitter of the arrivals does not
  /// cause denials.
  double jitter = 8;
  /// The same as a time at the account's rate, which holds if it is more: with 8 alone, a rate of
  /// 150 per second without a burst was used to 0.93 only, as answers take up to 100 ms.
  std::chrono::milliseconds jitter_time{ 100 };
  /// A denied request is known to be beyond the allowance only if the account exceeds it by the
  /// requests of this time: after a failure, requests that have waited arrive together.
  std::chrono::milliseconds known_time{ 400 };
  /// Tokens of a new bucket: another ledger may just have granted a burst. With 8, an account with
  /// a limit of 1 per second exceeded its bound when two ledgers started within a window.
  double initial = 4;
  /// An account is restricted below this part of its depth, and no longer after it has been above
  /// the second one for some time.
  double restrict_below = 0.3;
  double release_above = 0.7;
  std::chrono::milliseconds release_after{ 2000 };
  /// Time after which a ledger notices that hosts can't reach it. Their shares of this time are
  /// deducted when it does.
  std::chrono::milliseconds share_delay{ 1600 };
  /// Uses arrive with this delay at most. Tokens that were discarded in that time from a full
  /// bucket pay for them.
  std::chrono::milliseconds report_delay{ 100 };
  /// Upper limits of AllowanceAnswer::wait and of the time that AllowanceAnswer::retry adds to it.
  std::chrono::milliseconds max_wait{ 5000 };
  std::chrono::milliseconds max_spread{ 1000 };
  /// Wait that is named if the ledger can't tell whether the account is over its allowance.
  std::chrono::milliseconds unsure_wait{ 100 };
  /// An account without a message for this time is forgotten.
  std::chrono::seconds retention{ 60 };
};

/// Counts the requests of limited accounts over all hosts, with a token bucket for each account.
/// A ledger that not all hosts can reach grants a part of the rate only and leaves the rest to the
/// others. Not thread-safe.
class AllowanceLedger
{
public:
  explicit AllowanceLedger(AllowanceLedgerOptions options = {})
    : m_options(options)
  {
  }

  /// Counts requests that other hosts admitted; the account may fall into debt.
  /// \param repeated those of them that may have been counted before, by this ledger or another
  void use(const std::string& account,
           const AllowanceLimit& limit,
           unsigned requests,
           unsigned repeated,
           TimePoint now);

  /// Asks for some requests of an account.
  AllowanceAnswer query(const std::string& account,
                        const AllowanceLimit& limit,
                        unsigned requests,
                        TimePoint now,
                        std::mt19937_64& random);

  /// Sets the part of the account's limit that this ledger may grant, in [0, 1]; 1 for a new
  /// account. What others may have used of the rest before is deducted, except for an account that
  /// is new at \p now. No effect if the account is unknown.
  void set_share(const std::string& account, double share, TimePoint now);

  /// Advances the restrictions, and forgets accounts that are not used.
  /// \return whether a restriction began or ended since the last call
  bool update(TimePoint now);

  bool is_restricted(const std::string& account) const;

  /// \return the restricted accounts, in ascending order
  std::vector<std::string> restricted() const;

  /// \return the accounts with a message in the last \p time and their limits
  std::vector<std::pair<std::string, AllowanceLimit>> active(Duration time, TimePoint now) const;

  /// \return number of accounts that are known
  std::size_t size() const { return m_accounts.size(); }

  /// \return requests that could be granted at once; negative if the account is in debt. For tests.
  double level(const std::string& account, TimePoint now);

private:
  struct Bucket
  {
    double level = 0;
    /// Tokens discarded since the bucket is full, for uses that are reported late.
    double spilled = 0;
    TimePoint spilled_at;
  };
  struct State
  {
    AllowanceLimit limit;
    /// What may be granted: the part of the limit that falls to this ledger.
    Bucket grantable;
    /// What the account would have left if all of its requests were granted, as far as this ledger
    /// knows them. Decides whether a denied request was beyond the allowance.
    Bucket known;
    TimePoint created;
    TimePoint updated;
    double share = 1;
    bool restricted = false;
    /// When the level was last too low for the end of the restriction.
    TimePoint low_at;
    TimePoint last_message;
    /// Requests denied in about the last second.
    double denied = 0;
    TimePoint denied_at;
  };

  double depth(const State& state) const;
  double known_depth(const State& state) const;
  State& find(const std::string& account, const AllowanceLimit& limit, TimePoint now);
  void refill(Bucket& bucket, double rate, double depth, Duration elapsed, TimePoint now) const;
  void refill(State& state, TimePoint now) const;
  void charge(Bucket& bucket, double requests, bool reported, TimePoint now) const;
  void update_restriction(State& state, TimePoint now);

  AllowanceLedgerOptions m_options;
  std::map<std::string, State> m_accounts;
  /// A restriction began or ended since update().
  bool m_changed = false;
};

} // namespace lovagehold
