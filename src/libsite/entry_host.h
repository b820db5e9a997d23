#pragma once

#include "cluster_link.h"
#include "evacuation_report.h"
#include "lovagehold/allowance_client.h"
#include "lovagehold/allowance_relay.h"
#include "lovagehold/control_client.h"
#include "lovagehold/event_log.h"
#include "lovagehold/permit_client.h"
#include "lovagehold/site.h"
#include "overflow_reporter.h"
#include "status_page.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// An entry host: follows the state of the control group and forwards callers' requests to servers.
/// Runs on the context's thread.
class EntryHost
{
public:
  EntryHost(boost::asio::io_context& context,
            SiteSettings settings,
            SiteProtocol protocol,
            EventLog& log);

  /// Opens the listeners.
  Result<void> start();

  /// Reports this host as not ready, so that callers are sent elsewhere, and serves the remaining
  /// requests.
  /// \param done called when no connection is left, or shortly before the grace period ends
  void begin_shutdown(std::function<void()> done);

  void stop();

  /// Applies the settings that may change while the process runs.
  void reload(const SiteSettings& settings);

  /// \return the metrics in the Prometheus text format
  std::string render_metrics() const;

  /// \return the content of the status page; its other hosts are the control hosts of the settings
  SiteStatus status() const;

private:
  void receive(const std::string& from, const ClusterMessage& message);
  void schedule_update();
  void apply_state();
  void apply_routing();
  void apply_evacuations(TimePoint now);
  void apply_servers(TimePoint now);
  void tick();
  void send_crash_evidence(const CrashEvidence& evidence);
  void request_permit(const PermitQuery& query, PermitClient::AnswerHandler handler);
  void await_permits();
  void request_allowance(const std::shared_ptr<const ClientAccount>& account,
                         AllowanceClient::Handler handler);
  void await_allowances();
  void check_shutdown();
  bool is_ready() const;
  void handle_directory_request(const AdminRequest& request, const AdminServer::Reply& reply);

  boost::asio::io_context& m_context;
  SiteSettings m_settings;
  SiteProtocol m_protocol;
  EventLog& m_log;
  ClusterLink m_link;
  /// Cluster addresses of all control hosts.
  std::vector<std::string> m_control_hosts;
  PermitClient m_permits;
  AllowanceClient m_allowances;
  /// For entry hosts that can't reach the control hosts.
  AllowanceRelay m_allowance_relay;
  Gateway m_gateway;
  OverflowReporter m_overflow;
  std::unique_ptr<ControlClient> m_client;
  AdminServer m_readiness_server;
  EvacuationReport m_evacuations;
  boost::asio::steady_timer m_timer;
  boost::asio::steady_timer m_shutdown_timer;
  /// Runs while permits are pending.
  boost::asio::steady_timer m_permit_timer;
  /// Runs while allowances are pending.
  boost::asio::steady_timer m_allowance_timer;
  std::unique_ptr<AdminServer> m_directory_server;
  /// Addresses of entry hosts by failure domain, as received from control.
  EntryAddresses m_directory;
  /// When the addresses last changed.
  TimePoint m_directory_changed_at;
  /// StateMachine::servers_index() of the servers passed to the gateway.
  std::uint64_t m_servers_index = 0;
  bool m_update_scheduled = false;
  bool m_was_ready = false;
  bool m_shutting_down = false;
  TimePoint m_shutdown_started;
  std::function<void()> m_on_shutdown_done;
};

} // namespace lovagehold
