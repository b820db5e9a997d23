#pragma once

#include "lovagehold/control_client.h"
#include "lovagehold/event_log.h"
#include "lovagehold/replica.h"
#include "lovagehold/routing_updates.h"
#include "lovagehold/site.h"

namespace lovagehold {

/// Serves the calls of operators at a control host: reads and changes the routing configuration and
/// orders evacuations. Not thread-safe.
class OperatorCalls
{
public:
  /// \param replica,client of the control host; outlive this object and the replies to its calls
  OperatorCalls(SiteProtocol protocol,
                std::vector<std::string> failure_domains,
                Replica& replica,
                ControlClient& client,
                EventLog& log);

  void handle(const ReadRoutingCall& call, const AdminServer::Reply& reply);
  void handle(const ReplaceRoutingCall& call, const AdminServer::Reply& reply);
  void handle(const EvacuationCall& call, const AdminServer::Reply& reply);

  /// \return the routing configuration of this host's state; the one before if the state's can't be
  /// read
  const RoutingTable& routing();

  /// \return number of routing changes that were made again, because another version was accepted
  /// in the meantime
  std::uint64_t routing_conflicts() const { return m_routing_conflicts; }

private:
  void send_reply(const AdminServer::Reply& reply, const ControlReply& content) const;
  void propose_routing(const std::shared_ptr<const ReplaceRoutingCall>& call,
                       unsigned attempts,
                       const AdminServer::Reply& reply);
  std::optional<Error> find_mistake(const EvacuationCall& call) const;

  SiteProtocol m_protocol;
  std::vector<std::string> m_failure_domains;
  Replica& m_replica;
  ControlClient& m_client;
  EventLog& m_log;
  /// Routing configuration that the next one is compared with; may be behind the state.
  RoutingTable m_routing;
  std::uint64_t m_routing_conflicts = 0;
};

} // namespace lovagehold
