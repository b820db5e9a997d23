#pragma once

#include "lovagehold/error.h"
#include "lovagehold/routing_config.h"
#include "lovagehold/server_registrar.h"

#include <variant>

namespace lovagehold {

/// An operator reads the active routing configuration.
struct ReadRoutingCall
{};

/// An operator replaces the routing configuration.
struct ReplaceRoutingCall
{
  RoutingConfig config;
  /// The document as received. It is stored and returned to readers unchanged.
  std::string document;
};

/// A server registers, or renews its registration.
struct HeartbeatCall
{
  ServerHeartbeat heartbeat;
};

/// A server deregisters.
struct LeaveCall
{
  ServerId id;
  /// Incarnation that leaves; 0 if the call does not name one.
  std::uint64_t incarnation = 0;
};

/// An operator orders that no requests are sent to the servers of a failure domain, or withdraws
/// the order.
struct EvacuationCall
{
  std::string failure_domain;
  bool active = true;
};

/// A caller asks for the addresses of entry hosts.
struct ResolveCall
{
  std::string failure_domain;
};

/// The path or the method is not supported.
struct UnknownCall
{};

/// The call cannot be parsed or violates a constraint.
struct RejectedCall
{
  Error error;
};

/// A decoded call of an operator, a server or a caller to a control host.
using ControlCall = std::variant<ReadRoutingCall,
                                 ReplaceRoutingCall,
                                 EvacuationCall,
                                 HeartbeatCall,
                                 LeaveCall,
                                 ResolveCall,
                                 UnknownCall,
                                 RejectedCall>;

/// The active routing configuration, as the document that was received.
struct RoutingReply
{
  std::string document;
};

/// The call has taken effect.
struct AcceptedReply
{};

/// The heartbeat has taken effect.
struct ServerHeartbeatReply
{
  /// "IP:port" to send the next heartbeats to; empty if it does not change.
  std::string next_address;
};

/// Addresses of entry hosts for a caller.
struct AddressesReply
{
  std::vector<std::string> addresses;
  /// Time for which the caller may cache the addresses.
  std::chrono::milliseconds ttl{ 1000 };
};

/// The path or the requested object does not exist.
struct NotFoundReply
{};

/// The call failed. With ErrorKind::InvalidArgument a retry cannot succeed.
struct FailedReply
{
  Error error;
};

/// The reply to a ControlCall, before it is encoded.
using ControlReply = std::variant<RoutingReply,
                                  AcceptedReply,
                                  ServerHeartbeatReply,
                                  AddressesReply,
                                  NotFoundReply,
                                  FailedReply>;

} // namespace lovagehold
