#pragma once

#include "host_session.h"
#include "lovagehold/admin_server.h"
#include "lovagehold/cluster_transport.h"
#include "lovagehold/control_client.h"
#include "lovagehold/entry_service.h"
#include "lovagehold/event_log.h"
#include "lovagehold/replica.h"
#include "lovagehold/settings.h"
#include "session_leader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <optional>

namespace lovagehold {

/// One lovagehold process: creates and connects the components for the roles in its settings.
/// Control logic runs on the thread that calls run(); entry threads post functions to that thread.
class Node
{
public:
  explicit Node(Settings settings);
  ~Node();

  /// Runs until SIGTERM or SIGINT, then drains. \return Unavailable if a listener can't start
  Result<void> run();

private:
  std::unique_ptr<Replica> make_replica();
  void send(const std::string& address, const ClusterMessage& message);
  void receive(const std::string& from, const Bytes& bytes);
  void propose(const Command& command, ControlClient::ResultHandler handler);
  void on_applied(const StateMachine& state);
  void schedule_tick();
  void tick(TimePoint now);
  void tick_leader(TimePoint now);
  void propose_locally(const LeaveHost& leave);
  void handle_admin(const AdminRequest& request, const AdminServer::Reply& reply);
  void submit_change(const AdminRequest& request, const AdminServer::Reply& reply);
  AdminResponse status_page() const;
  AdminResponse metrics_page() const;
  AdminResponse event_page() const;
  void begin_shutdown();
  void finish_shutdown(TimePoint limit);

  Settings m_settings;
  HostInfo m_self;
  EventLog m_log;
  boost::asio::io_context m_context{ 1 };
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  std::unique_ptr<ClusterTransport> m_transport;
  std::unique_ptr<Replica> m_replica;
  std::unique_ptr<ControlClient> m_client;
  std::unique_ptr<EntryService> m_entry;
  std::unique_ptr<HostSession> m_session;
  std::unique_ptr<SessionLeader> m_leader;
  std::unique_ptr<AdminServer> m_admin;
  /// Time of the last message with state from control; empty before the first.
  std::optional<TimePoint> m_last_control_contact;
  /// Client id under which the session table's commands are proposed.
  std::uint64_t m_session_client;
  /// Id of the last of these proposals.
  std::uint64_t m_session_proposals = 0;
  bool m_entry_started = false;
  TimePoint m_last_tick;
};

} // namespace lovagehold
