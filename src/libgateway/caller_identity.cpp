#include "caller_identity.h"

namespace lovagehold {

namespace {

GatewayErrorResponse
refuse(RefusalCause cause, const char* reason)
{
  return { .status = 401, .reason = reason, .cause = cause };
}

} // namespace

CallerIdentity::CallerIdentity(http::fields& header, const GatewayHeaders& names)
{
  if (!names.account_key.empty()) {
    m_count = header.count(names.account_key);
    m_key = std::string(header[names.account_key]);
    header.erase(names.account_key);
  }
  if (!names.account.empty()) {
    header.erase(names.account);
  }
}

IdentityDecision
CallerIdentity::decide(const AccountTable& accounts, const Route& route) const
{
  if (!accounts.requires_key()) {
    return {};
  }
  if (m_count == 0) {
    if (route.open) {
      return {};
    }
    return { .refusal = refuse(RefusalCause::MissingKey, "the request has no account key") };
  }
  auto account = m_count == 1 ? accounts.find_by_key(m_key) : nullptr;
  if (account == nullptr) {
    return { .refusal = refuse(RefusalCause::UnknownKey,
                               m_count == 1 ? "no account has the key of the request"
                                            : "the request has more than one account key") };
  }
  return { .account = std::move(account) };
}

} // namespace lovagehold
