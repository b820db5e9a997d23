#pragma once

#include "forwarded_request.h"
#include "incoming_request.h"
#include "libproxy/framing.h"

namespace lovagehold {

/// How a request that was forwarded ended.
struct RequestEnd
{
  std::string id;
  /// Of the response; 0 if the caller left before one was sent.
  unsigned status = 0;
  TimePoint arrived;
};

/// Logs and counts a request that was forwarded.
void record_request(GatewayContext& context,
                    const Route& route,
                    const ClientAccount* account,
                    const RequestEnd& end,
                    const ForwardedRequest& forwarded);

/// Logs and counts a request that is refused before a server is selected.
/// \param route null if the route is not known
void record_refusal(GatewayContext& context,
                    const IncomingRequest& request,
                    const Route* route,
                    const GatewayErrorResponse& error_response);

/// Logs a request that can't be read.
void log_rejected_request(GatewayContext& context, const RequestFault& fault);

} // namespace lovagehold
