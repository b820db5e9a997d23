#pragma once

#include "cluster_link.h"
#include "lovagehold/control_client.h"
#include "lovagehold/event_log.h"
#include "lovagehold/site.h"
#include "status_page.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// An entry host of a site: follows the control group and forwards callers' requests. Belongs to
/// the thread of its context.
class EntryHost
{
public:
  EntryHost(boost::asio::io_context& context,
            SiteSettings settings,
            SiteProtocol protocol,
            EventLog& log);

  /// Opens the listeners.
  Result<void> start();

  /// Stops to be named to callers and ends once nobody is served any more.
  /// \param done called then, or when the grace period is nearly over
  void begin_shutdown(std::function<void()> done);

  void stop();

  /// Takes up what may change while the process runs.
  void reload(const SiteSettings& settings);

  /// \return the metrics page
  std::string render_metrics() const { return m_gateway.render_metrics(); }

  /// \return what the status page tells; as other hosts the control hosts of the settings
  SiteStatus status() const;

private:
  void receive(const std::string& from, const ClusterMessage& message);
  void on_applied(const StateMachine& state);
  void tick();
  void watch_shutdown();
  bool is_ready() const;
  void answer_directory(const AdminRequest& request, const AdminServer::Reply& reply);

  boost::asio::io_context& m_context;
  SiteSettings m_settings;
  SiteProtocol m_protocol;
  EventLog& m_log;
  ClusterLink m_link;
  Gateway m_gateway;
  std::unique_ptr<ControlClient> m_client;
  AdminServer m_readiness_server;
  boost::asio::steady_timer m_timer;
  boost::asio::steady_timer m_shutdown_timer;
  std::unique_ptr<AdminServer> m_directory_server;
  EntryAddresses m_directory;
  std::uint64_t m_routes_index = 0;
  bool m_was_ready = false;
  bool m_shutting_down = false;
  TimePoint m_shutdown_began;
  std::function<void()> m_done;
};

} // namespace lovagehold
