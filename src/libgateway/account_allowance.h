#pragma once

#include "error_response.h"
#include "gateway_context.h"

namespace lovagehold {

/// Obtains the permission to forward a request of an account, for all of its attempts.
/// \param account null for a request without an account, which is not limited
/// \return the response to a request that must not run
awaitable<std::optional<GatewayErrorResponse>> check_allowance(
  GatewayContext& context,
  std::shared_ptr<const ClientAccount> account);

} // namespace lovagehold
