#pragma once

#include "lovagehold/routing_change.h"

#include <map>
#include <memory>
#include <string_view>

namespace lovagehold {

/// \return the digest of an account key, as a configuration holds it
KeyDigest digest_of(std::string_view key);

/// The accounts of a routing configuration by name and by key. Accounts are shared with the
/// requests that use them, so that a change leaves those of a running request as they were. Not
/// thread-safe.
class AccountTable
{
public:
  /// Whether requests need a key, except on open routes.
  bool requires_key() const { return m_requires_key; }

  /// \return the account that holds the key; null if there is none
  std::shared_ptr<const ClientAccount> find_by_key(std::string_view key) const;

  /// \return the account; null if there is none with this name
  std::shared_ptr<const ClientAccount> find(std::string_view name) const;

  std::size_t size() const { return m_accounts.size(); }

  /// All accounts by name.
  const std::map<std::string, std::shared_ptr<const ClientAccount>, std::less<>>& accounts() const
  {
    return m_accounts;
  }

  /// Adds to \p change what makes this table equal to the accounts of the configuration.
  void add_difference(const RoutingConfig& config, RoutingChange& change) const;

  /// Applies the accounts of a change. A key may move from one account to another in one change.
  void apply(const RoutingChange& change);

private:
  bool m_requires_key = false;
  std::map<std::string, std::shared_ptr<const ClientAccount>, std::less<>> m_accounts;
  std::map<KeyDigest, std::shared_ptr<const ClientAccount>> m_by_key;
};

} // namespace lovagehold
