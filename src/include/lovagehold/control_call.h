#pragma once

#include "lovagehold/error.h"
#include "lovagehold/routing_config.h"
#include "lovagehold/server_registrar.h"

#include <variant>

namespace lovagehold {

/// The operator reads the routing configuration in force.
struct ReadRoutingCall
{};

/// The operator replaces the routing configuration.
struct ReplaceRoutingCall
{
  RoutingConfig config;
  /// As it was sent; it is read back in this form.
  std::string document;
};

/// A server reports itself.
struct HeartbeatCall
{
  ServerHeartbeat heartbeat;
};

/// A server leaves.
struct LeaveCall
{
  ServerId id;
  /// 0 if the call does not say.
  std::uint64_t incarnation = 0;
};

/// A caller asks where to connect.
struct ResolveCall
{
  std::string failure_domain;
};

/// The path is not served.
struct UnknownCall
{};

/// The call can't be read or breaks a rule.
struct RejectedCall
{
  Error error;
};

/// A call of the operator, a server or a caller at a control host.
using ControlCall = std::variant<ReadRoutingCall,
                                 ReplaceRoutingCall,
                                 HeartbeatCall,
                                 LeaveCall,
                                 ResolveCall,
                                 UnknownCall,
                                 RejectedCall>;

/// The routing configuration as it was sent.
struct RoutingReply
{
  std::string document;
};

/// The call has taken effect.
struct AcceptedReply
{};

/// The heartbeat has taken effect.
struct HeartbeatReplyTo
{
  /// Address for the next heartbeats; empty to leave it as it is.
  std::string next_address;
};

/// Entry hosts for a caller.
struct AddressesReply
{
  std::vector<std::string> addresses;
  std::chrono::milliseconds keep{ 1000 };
};

/// The path or the thing asked for does not exist.
struct NotFoundReply
{};

/// The call failed; InvalidArgument means that sending it again can't succeed.
struct FailedReply
{
  Error error;
};

using ControlReply = std::variant<RoutingReply,
                                  AcceptedReply,
                                  HeartbeatReplyTo,
                                  AddressesReply,
                                  NotFoundReply,
                                  FailedReply>;

} // namespace lovagehold
