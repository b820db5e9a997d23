#pragma once

#include "cluster_link.h"
#include "lovagehold/control_client.h"
#include "lovagehold/entry_directory.h"
#include "lovagehold/event_log.h"
#include "lovagehold/replica.h"
#include "lovagehold/server_registrar.h"
#include "lovagehold/site.h"
#include "status_page.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// A control host of a site: a member of the replicated log that answers operators, servers and
/// callers that ask where to connect. Belongs to the thread of its context.
class ControlHost
{
public:
  ControlHost(boost::asio::io_context& context,
              SiteSettings settings,
              SiteProtocol protocol,
              EventLog& log);

  /// Opens the disk and the listeners.
  Result<void> start();

  /// Closes the connections to other hosts.
  void stop();

  /// Takes up what may change while the process runs.
  void reload(const SiteSettings& settings);

  /// \return the metrics page
  std::string render_metrics() const;

  /// \return what the status page tells, with all members of the group and all entry hosts
  SiteStatus status() const;

private:
  void receive(const std::string& from, const ClusterMessage& message);
  void tick();
  void handle(const AdminRequest& request, const AdminServer::Reply& reply);
  void answer(const ReadRoutingCall& call, const AdminServer::Reply& reply);
  void answer(const ReplaceRoutingCall& call, const AdminServer::Reply& reply);
  void answer(const HeartbeatCall& call, const AdminServer::Reply& reply);
  void answer(const LeaveCall& call, const AdminServer::Reply& reply);
  void answer(const ResolveCall& call, const AdminServer::Reply& reply);
  void answer(const UnknownCall& call, const AdminServer::Reply& reply);
  void answer(const RejectedCall& call, const AdminServer::Reply& reply);
  void reply_with(const AdminServer::Reply& reply, const ControlReply& content) const;
  void propose(const Command& command,
               const ControlReply& content,
               const AdminServer::Reply& reply);
  void confirm(const std::function<void(bool confirmed)>& done);
  bool propose_leave(const LeaveCall& call, const AdminServer::Reply& reply);
  ControlReply heartbeat_reply() const;
  const std::vector<ServerInfo>& servers();
  void share_entry_hosts(TimePoint now);
  void refresh_addresses(TimePoint now);
  void end_leases(TimePoint now);
  void watch_leadership(TimePoint now);

  boost::asio::io_context& m_context;
  SiteSettings m_settings;
  SiteProtocol m_protocol;
  EventLog& m_log;
  ClusterLink m_link;
  std::unique_ptr<Replica> m_replica;
  std::unique_ptr<ControlClient> m_client;
  AdminServer m_control_server;
  AdminServer m_directory_server;
  ServerRegistrar m_registrar;
  EntryDirectory m_directory;
  /// Entry hosts that told this host about themselves.
  EntryDirectory m_attached;
  /// What m_directory names, as told to entry hosts.
  EntryAddresses m_addresses;
  std::size_t m_named_hosts = 0;
  TimePoint m_refreshed_at;
  /// Changes of entry hosts that the other control hosts, or m_addresses, do not have yet.
  bool m_unshared = false;
  bool m_unrefreshed = false;
  boost::asio::steady_timer m_timer;
  std::vector<ServerInfo> m_servers;
  std::uint64_t m_servers_index = 0;
  TimePoint m_shared_at;
  TimePoint m_leases_at;
  bool m_led = false;
};

} // namespace lovagehold
