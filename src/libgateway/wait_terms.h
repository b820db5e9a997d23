#pragma once

#include "forwarded_request.h"

namespace lovagehold {

/// \param deadline when the caller or the route gives up
/// \return the rank of the request among those that wait for its service, and how long it may wait.
/// Without accounts in the configuration the rank is its priority and arrival.
WaitTerms wait_terms(GatewayContext& context,
                     const GatewayRequest& request,
                     TimePoint deadline,
                     TimePoint now);

/// \return what decides when the caller of a refused request should come back. If the servers are
/// full and the configuration has accounts, a time is reserved for it.
RefusalState refusal_state(GatewayContext& context,
                           const GatewayRequest& request,
                           RefusalCause cause,
                           TimePoint now);

} // namespace lovagehold
