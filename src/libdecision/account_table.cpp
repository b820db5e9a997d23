#include "lovagehold/account_table.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <set>

namespace lovagehold {

KeyDigest
digest_of(std::string_view key)
{
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  return digest;
}

std::shared_ptr<const ClientAccount>
AccountTable::find_by_key(std::string_view key) const
{
  // The search compares digests, whose order says nothing about a key. The final comparison takes
  // the same time for all of them.
  const KeyDigest digest = digest_of(key);
  const auto found = m_by_key.lower_bound(digest);
  const bool equal = found != m_by_key.end() &&
                     CRYPTO_memcmp(found->first.data(), digest.data(), digest.size()) == 0;
  return equal ? found->second : nullptr;
}

std::shared_ptr<const ClientAccount>
AccountTable::find(std::string_view name) const
{
  const auto found = m_accounts.find(name);
  return found == m_accounts.end() ? nullptr : found->second;
}

void
AccountTable::add_difference(const RoutingConfig& config, RoutingChange& change) const
{
  if (config.requires_key != m_requires_key) {
    change.requires_key = config.requires_key;
  }
  std::set<std::string_view> names;
  for (const ClientAccount& account : config.accounts) {
    const auto known = find(account.name);
    const bool first = names.insert(account.name).second;
    if (first && (known == nullptr || *known != account)) {
      change.accounts.push_back(account);
    }
  }
  for (const auto& [name, account] : m_accounts) {
    if (names.count(name) == 0) {
      change.removed_accounts.push_back(name);
    }
  }
}

void
AccountTable::apply(const RoutingChange& change)
{
  m_requires_key = change.requires_key.value_or(m_requires_key);
  // All keys of changed accounts are removed before any is added, since one may have moved.
  const auto remove_keys = [this](const std::string& name) {
    const auto known = m_accounts.find(name);
    if (known != m_accounts.end()) {
      for (const KeyDigest& key : known->second->keys) {
        m_by_key.erase(key);
      }
    }
  };
  for (const std::string& name : change.removed_accounts) {
    remove_keys(name);
    m_accounts.erase(name);
  }
  for (const ClientAccount& account : change.accounts) {
    remove_keys(account.name);
  }
  for (const ClientAccount& account : change.accounts) {
    const auto shared = std::make_shared<const ClientAccount>(account);
    m_accounts[account.name] = shared;
    for (const KeyDigest& key : account.keys) {
      m_by_key[key] = shared;
    }
  }
}

} // namespace lovagehold
