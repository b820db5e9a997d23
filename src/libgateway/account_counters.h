#pragma once

#include "error_response.h"
#include "lovagehold/account_table.h"
#include "lovagehold/metrics.h"

#include <array>
#include <map>

namespace lovagehold {

/// Counts requests and refusals by account and kind of the route. The number of series is bounded:
/// accounts beyond the limit share one set of counters, those that the configuration no longer has
/// make room for new ones, and no label is taken from a request. Not thread-safe.
class AccountCounters
{
public:
  /// \param max_accounts accounts with counters of their own
  explicit AccountCounters(std::size_t max_accounts = 256)
    : m_max_accounts(max_accounts)
  {
  }

  /// \param account null for a request without an account
  /// \param table the accounts of the configuration in force
  void count_request(const ClientAccount* account, RouteKind kind, const AccountTable& table);
  void count_refusal(const ClientAccount* account,
                     RouteKind kind,
                     RefusalCause cause,
                     const AccountTable& table);

  /// Adds the series; nothing if no request has been counted.
  void render(MetricsText& text) const;

private:
  static constexpr std::size_t kKinds = 3;

  struct Counts
  {
    std::array<std::uint64_t, kKinds> requests{};
    std::array<std::array<std::uint64_t, kRefusalCauses>, kKinds> refusals{};
  };

  Counts& counts_of(const ClientAccount* account, const AccountTable& table);

  std::size_t m_max_accounts;
  Counts m_anonymous;
  Counts m_others;
  std::map<std::string, Counts, std::less<>> m_by_account;
  bool m_used = false;
};

} // namespace lovagehold
