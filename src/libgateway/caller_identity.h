#pragma once

#include "error_response.h"
#include "lovagehold/account_table.h"
#include "lovagehold/gateway.h"

#include <memory>
#include <optional>
#include <string>

namespace lovagehold {

/// Whose request it is, or why that is not accepted.
struct IdentityDecision
{
  /// Null for a request without an account.
  std::shared_ptr<const ClientAccount> account;
  /// The response to a request that must not run.
  std::optional<GatewayErrorResponse> refusal;
};

/// The account key that a caller sent. Takes it out of the header, so that nothing that sees the
/// header later can pass it on or log it. The key can't be read from this class.
class CallerIdentity
{
public:
  CallerIdentity() = default;

  /// Removes the key and the account that the caller sent from the header.
  /// \param names without a name for the key header no request has a key
  CallerIdentity(http::fields& header, const GatewayHeaders& names);

  /// Decides with the configuration in force. Without accounts every request is anonymous.
  IdentityDecision decide(const AccountTable& accounts, const Route& route) const;

private:
  /// Key headers in the request. More than one is as wrong as an unknown key: a server behind
  /// another proxy might see the other one.
  std::size_t m_count = 0;
  std::string m_key;
};

} // namespace lovagehold
