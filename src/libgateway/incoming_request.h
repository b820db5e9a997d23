#pragma once

#include "arriving_body.h"
#include "caller_identity.h"
#include "forwarded_request.h"
#include "libproxy/upload_source.h"

namespace lovagehold {

/// A request of a caller while it is served. Shared by the connection and by what sends the body to
/// a server; keeps the connection alive, from which the body is read.
struct IncomingRequest
{
  IncomingRequest(std::shared_ptr<void> owner, const RequestLimits& request_limits)
    : connection(std::move(owner))
    , limits(request_limits)
  {
  }

  /// The caller's connection.
  std::shared_ptr<void> connection;
  /// Limits in force when the first byte of the request arrived.
  RequestLimits limits;
  RequestParser parser;
  CallerIdentity identity;
  /// Set when the account has been decided; null for a request without an account.
  std::shared_ptr<const ClientAccount> account;
  std::optional<UploadSource> upload;
  /// The body if it is sent to the server while it arrives.
  std::shared_ptr<ArrivingBody> arriving;
  TimePoint arrived;
  /// The whole body is in memory.
  bool buffered = false;

  /// Whether what the caller sends next can't belong to this request.
  bool body_has_ended() const { return buffered || (arriving && arriving->ended()); }

  /// Whether the connection can serve another request: the next byte is not one of this body.
  bool read_whole() const { return arriving || (upload && upload->done()); }
};

using IncomingRequestPtr = std::shared_ptr<IncomingRequest>;

/// \return when the caller of the request stops waiting
TimePoint caller_deadline(const http::request_header<>& header,
                          const GatewayHeaders& names,
                          TimePoint arrived);

/// \return the request as it is forwarded; takes the body that is in memory
GatewayRequest make_gateway_request(GatewayContext& context,
                                    const IncomingRequestPtr& incoming,
                                    const std::shared_ptr<const Route>& route);

} // namespace lovagehold
