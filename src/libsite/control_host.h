#pragma once

#include "cluster_link.h"
#include "evacuation_report.h"
#include "group_status.h"
#include "libdecision/token_bucket.h"
#include "lovagehold/allowance_board.h"
#include "lovagehold/control_client.h"
#include "lovagehold/entry_directory.h"
#include "lovagehold/event_log.h"
#include "lovagehold/replica.h"
#include "lovagehold/server_registrar.h"
#include "lovagehold/site.h"
#include "operator_calls.h"
#include "overflow_board.h"
#include "status_page.h"
#include "suspect_board.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// A control host: a member of the replicated control group that serves operators, servers, and
/// callers that look up entry hosts. Runs on the context's thread.
class ControlHost
{
public:
  ControlHost(boost::asio::io_context& context,
              SiteSettings settings,
              SiteProtocol protocol,
              EventLog& log);

  /// Opens the log storage and the listeners.
  Result<void> start();

  /// Closes the connections to other hosts.
  void stop();

  /// Applies the settings that may change while the process runs.
  void reload(const SiteSettings& settings);

  /// \return the metrics in the Prometheus text format
  std::string render_metrics() const;

  /// \return the content of the status page, with all members of the group and all entry hosts
  SiteStatus status() const;

private:
  void receive(const std::string& from, const ClusterMessage& message);
  void tick();
  void handle_request(const AdminRequest& request, const AdminServer::Reply& reply);
  template<class OperatorCall>
  void handle_call(const OperatorCall& call, const AdminServer::Reply& reply)
  {
    m_operator_calls->handle(call, reply);
  }
  void handle_call(const HeartbeatCall& call, const AdminServer::Reply& reply);
  void handle_call(const LeaveCall& call, const AdminServer::Reply& reply);
  void handle_call(const ResolveCall& call, const AdminServer::Reply& reply);
  void handle_call(const UnknownCall& call, const AdminServer::Reply& reply);
  void handle_call(const RejectedCall& call, const AdminServer::Reply& reply);
  void send_reply(const AdminServer::Reply& reply, const ControlReply& content) const;
  void propose(const Command& command,
               const ControlReply& content,
               const AdminServer::Reply& reply);
  void leave(const LeaveCall& call, const ControlReply& content, const AdminServer::Reply& reply);
  bool propose_leave(const LeaveCall& call,
                     const ControlReply& content,
                     const AdminServer::Reply& reply);
  void propose_unknown_leave(const LeaveCall& call,
                             const ControlReply& content,
                             const AdminServer::Reply& reply);
  ControlReply heartbeat_reply(const ServerInfo& server) const;
  void renew_warmup(const ServerHeartbeat& heartbeat, TimePoint now);
  bool limits_cold_servers(const ServiceName& service);
  void send_renewals(TimePoint now);
  void await_current_state(const HeartbeatCall& call, const AdminServer::Reply& reply);
  const std::vector<ServerInfo>& servers();
  void share_entry_hosts(TimePoint now);
  void refresh_addresses(TimePoint now);
  void publish_suspects(TimePoint now);
  void send_evidence(const std::string& address, const CrashReports& reports);
  void send_to_members(const ClusterMessage& message);
  void handle_permit_request(const std::string& from, const PermitRequest& request, TimePoint now);
  void remove_expired_servers(TimePoint now);
  void update_leadership(TimePoint now);
  GroupStatus group_status(const ReplicaStatus& replica) const;

  boost::asio::io_context& m_context;
  SiteSettings m_settings;
  SiteProtocol m_protocol;
  EventLog& m_log;
  ClusterLink m_link;
  std::unique_ptr<Replica> m_replica;
  std::unique_ptr<ControlClient> m_client;
  std::unique_ptr<OperatorCalls> m_operator_calls;
  AdminServer m_control_server;
  AdminServer m_directory_server;
  ServerRegistrar m_registrar;
  /// All known entry hosts.
  EntryDirectory m_directory;
  /// Entry hosts that subscribe to this host. Their presence is shared with the other control
  /// hosts.
  EntryDirectory m_subscribed_hosts;
  /// The addresses in m_directory as sent to entry hosts.
  EntryAddresses m_addresses;
  /// Grants the requests to limited servers of the services that fall to this host.
  RequestLimiter m_limiter;
  /// Number of entry hosts whose addresses are advertised to callers.
  std::size_t m_advertised_host_count = 0;
  /// When m_addresses was last updated.
  TimePoint m_refreshed_at;
  /// Entry hosts changed, and the other control hosts have not been notified yet.
  bool m_share_pending = false;
  /// Entry hosts changed, and m_addresses has not been updated yet.
  bool m_refresh_pending = false;
  boost::asio::steady_timer m_timer;
  /// Servers of the replicated state as of m_servers_index.
  std::vector<ServerInfo> m_servers;
  std::uint64_t m_servers_index = 0;
  /// When the subscribed entry hosts were last sent to the other control hosts.
  TimePoint m_shared_at;
  /// Heartbeats received since m_renewals_sent_at, by server.
  std::map<ServerId, ServerRenewal> m_renewals;
  /// When the leader was last sent the renewals.
  TimePoint m_renewals_sent_at;
  /// When the leases of the servers were last checked for expiry.
  TimePoint m_leases_checked_at;
  /// Requests that may have crashed their servers, as entry hosts report.
  SuspectBoard m_suspects;
  EvacuationReport m_evacuations;
  /// Counts the requests of limited accounts that fall to this host.
  AllowanceBoard m_allowances;
  /// Traffic between failure domains.
  OverflowBoard m_overflow;
  /// Permits granted and denied since the start, for the metrics.
  std::uint64_t m_permits_granted = 0;
  std::uint64_t m_permits_denied = 0;
  /// Limits the leaves of servers that have not joined.
  TokenBucket m_unknown_leaves;
  /// Whether this host led the group at the last tick.
  bool m_is_leader = false;
  /// The state has included all that was committed at some time since the start.
  bool m_state_current = false;
  /// Heartbeats that arrived before that.
  std::vector<std::pair<HeartbeatCall, AdminServer::Reply>> m_early_heartbeats;
};

} // namespace lovagehold
