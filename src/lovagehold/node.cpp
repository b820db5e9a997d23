#include "node.h"

#include "admin_pages.h"
#include "lovagehold/address.h"
#include "lovagehold/event_page.h"
#include "lovagehold/file_disk.h"
#include "metrics_page.h"

#include <random>

#include <boost/asio/post.hpp>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };
// A change of the configuration is in force on every connected host within this time at the present
// cluster size. A host without state from control for longer may lack a change.
constexpr std::chrono::seconds kStaleAfter{ 3 };
constexpr std::chrono::milliseconds kDelayedTickThreshold{ 250 };
// The process that this one replaces may still hold an address.
constexpr std::chrono::seconds kListenPatience{ 20 };

WallTime
wall_now()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

HostInfo
make_host_info(const Settings& settings)
{
  return { .id = settings.host,
           .incarnation = static_cast<std::uint64_t>(wall_now().time_since_epoch().count()),
           .failure_domain = settings.failure_domain,
           .caller_address = settings.entry_role ? settings.caller_address : "",
           .cluster_address = settings.cluster_address,
           .admin_address = settings.admin_address };
}

} // namespace

Node::Node(Settings settings)
  : m_settings(std::move(settings))
  , m_self(make_host_info(m_settings))
  , m_log({ .host = m_settings.host, .level = m_settings.log_level })
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_timer(m_context)
  , m_session_client(std::random_device{}())
{
  const auto send_hook = [this](const std::string& address, const ClusterMessage& message) {
    send(address, message);
  };
  m_transport = std::make_unique<ClusterTransport>(
    ClusterTransportOptions{ .listen_address = m_settings.cluster_address },
    [this](const std::string& from, Bytes bytes) {
      boost::asio::post(m_context,
                        [this, from, bytes = std::move(bytes)] { receive(from, bytes); });
    });
  ControlClientOptions client_options{ .address = m_settings.cluster_address };
  for (const ControlPeer& peer : m_settings.control_peers) {
    client_options.control_addresses.push_back(peer.cluster_address);
  }
  HostSessionOptions session_options{ .self = m_self,
                                      .control_addresses = client_options.control_addresses };
  if (m_settings.control_role) {
    m_leader = std::make_unique<SessionLeader>(
      send_hook, [this](const LeaveHost& leave) { propose_locally(leave); }, m_log);
    m_replica = make_replica();
  }
  m_client = std::make_unique<ControlClient>(
    std::move(client_options), send_hook, [this](const StateMachine& state) { on_applied(state); });
  m_admin = std::make_unique<AdminServer>(
    m_context,
    [this](const AdminRequest& request, const AdminServer::Reply& reply) {
      handle_admin(request, reply);
    },
    m_log);
  if (!m_settings.entry_role) {
    return;
  }
  EntryPorts ports;
  ports.propose = [this](Command command, ControlClient::ResultHandler handler) {
    boost::asio::post(m_context,
                      [this, command = std::move(command), handler = std::move(handler)]() mutable {
                        propose(command, std::move(handler));
                      });
  };
  ports.send_renewal = [this](const HostInfo& owner, const ServerRenewal& renewal) {
    m_transport->send(owner.cluster_address, encode(ClusterMessage(renewal), m_log.stamp()));
  };
  ports.key_status = [this](const ServiceName& service, const std::string& key, auto handler) {
    boost::asio::post(m_context, [this, service, key, handler = std::move(handler)] {
      handler(m_client->state().key_status(service, key));
    });
  };
  m_entry =
    std::make_unique<EntryService>(EntryServiceOptions{ .self = m_settings.host,
                                                        .caller_address = m_settings.caller_address,
                                                        .threads = m_settings.threads,
                                                        .limits = m_settings.limits },
                                   std::move(ports),
                                   m_log);
  m_session = std::make_unique<HostSession>(
    std::move(session_options),
    *m_entry,
    send_hook,
    [this](const Command& command, ControlClient::ResultHandler handler) {
      propose(command, std::move(handler));
    },
    m_log);
}

Node::~Node()
{
  m_transport->stop();
}

Result<void>
Node::run()
{
  if (m_replica) {
    BOOST_OUTCOME_TRYV(m_replica->open());
  }
  std::map<std::string, std::string> addresses{ { "listen.cluster", m_settings.cluster_address },
                                                { "listen.admin", m_settings.admin_address } };
  if (m_settings.entry_role) {
    addresses.emplace("listen.callers", m_settings.caller_address);
  }
  BOOST_OUTCOME_TRYV(await_free_addresses(addresses, kListenPatience, [this](const Error& held) {
    m_log.warn("address_held", { { "error", held.message }, { "remedy", held.remedy } });
  }));
  std::string error;
  if (!m_transport->start(error)) {
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = error,
                  .remedy = "stop the process that holds the address or change listen.cluster" };
  }
  BOOST_OUTCOME_TRYV(m_admin->start(m_settings.admin_address));
  m_signals.async_wait([this](auto failed, int) {
    if (!failed) {
      begin_shutdown();
    }
  });
  m_log.info("started",
             { { "failure_domain", m_settings.failure_domain },
               { "callers", m_settings.caller_address },
               { "cluster", m_settings.cluster_address },
               { "admin", m_settings.admin_address } });
  tick(Clock::now());
  m_context.run();
  return boost::outcome_v2::success();
}

std::unique_ptr<Replica>
Node::make_replica()
{
  ReplicaOptions options{ .host = m_settings.host, .address = m_settings.cluster_address };
  for (const ControlPeer& peer : m_settings.control_peers) {
    options.members.emplace_back(peer.id, peer.cluster_address);
  }
  ReplicaPorts ports;
  ports.send = [this](const std::string& address, const ClusterMessage& message) {
    send(address, message);
  };
  ports.post = [this](std::function<void()> function) {
    boost::asio::post(m_context, std::move(function));
  };
  ports.report = [this](std::string_view event, const std::vector<LogField>& fields) {
    m_log.info(event, fields);
  };
  return std::make_unique<Replica>(
    std::move(options), std::move(ports), std::make_unique<FileDisk>(m_settings.data_folder));
}

void
Node::send(const std::string& address, const ClusterMessage& message)
{
  Bytes bytes = encode(message, m_log.stamp());
  if (address != m_settings.cluster_address) {
    m_transport->send(address, std::move(bytes));
    return;
  }
  boost::asio::post(m_context,
                    [this, address, bytes = std::move(bytes)] { receive(address, bytes); });
}

void
Node::receive(const std::string& from, const Bytes& bytes)
{
  const Result<StampedMessage> stamped = decode_stamped_message(bytes);
  if (stamped.has_error()) {
    m_log.warn("message_refused", { { "peer", from }, { "reason", stamped.error().message } });
    return;
  }
  m_log.observe(stamped.value().time);
  const ClusterMessage& message = stamped.value().message;
  if (m_replica) {
    m_replica->receive(from, message);
  }
  m_client->receive(from, message, Clock::now());
  if (std::holds_alternative<Entries>(message) ||
      std::holds_alternative<SnapshotTransfer>(message)) {
    m_last_control_contact = Clock::now();
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message); heartbeat != nullptr && m_leader) {
    m_leader->receive(from, *heartbeat, Clock::now());
  }
  if (const auto* reply = std::get_if<HeartbeatReply>(&message); reply != nullptr && m_session) {
    m_session->receive(*reply, Clock::now());
  }
  const auto* renewal = std::get_if<ServerRenewal>(&message);
  if (renewal != nullptr && m_entry) {
    m_entry->renew(*renewal, Clock::now());
  }
}

void
Node::propose(const Command& command, ControlClient::ResultHandler handler)
{
  m_client->propose(command, std::move(handler), Clock::now());
}

void
Node::on_applied(const StateMachine& state)
{
  const TimePoint now = Clock::now();
  if (m_leader && m_leader->table().leading()) {
    m_leader->set_membership(m_replica->machine().membership(), now);
  }
  if (!m_session) {
    return;
  }
  m_session->applied(state, now);
  if (!m_entry_started) {
    m_entry_started = true;
    const Result<void> started = m_entry->start();
    if (started.has_error()) {
      m_log.warn("entry_failed",
                 { { "reason", started.error().message }, { "remedy", started.error().remedy } });
      m_context.stop();
    }
  }
}

void
Node::schedule_tick()
{
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](auto failed) {
    if (!failed) {
      tick(Clock::now());
    }
  });
}

void
Node::tick(TimePoint now)
{
  if (m_replica) {
    m_replica->tick();
  }
  if (m_last_tick != TimePoint() && now - m_last_tick > kDelayedTickThreshold) {
    // Heartbeats are not processed during the delay, so a delay close to the lease duration lets
    // the lease expire.
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_last_tick);
    m_log.warn("control_thread_delayed", { { "ms", std::to_string(delay.count()) } });
  }
  m_last_tick = now;
  m_client->tick(now);
  tick_leader(now);
  if (m_client->ready() && m_session) {
    m_session->tick(m_client->state(), now);
  }
  schedule_tick();
}

// This process acts as leader only after a majority has confirmed its leadership and it has applied
// all entries of earlier leaders. Each confirmation extends the time for which it may answer
// heartbeats.
void
Node::tick_leader(TimePoint now)
{
  if (!m_leader) {
    return;
  }
  m_leader->set_leader_address(m_replica->status().leader_address);
  if (!m_replica->leads()) {
    m_leader->set_leading(false, now);
    return;
  }
  m_replica->confirm_leadership([this](std::optional<TimePoint> requested_at) {
    if (requested_at) {
      m_leader->set_membership(m_replica->machine().membership(), Clock::now());
      m_leader->set_leading(true, Clock::now());
      m_leader->confirm_leadership(*requested_at);
    }
  });
  m_leader->tick(now);
}

// Proposes to the local replica only: another leader may have renewed the session, so the command
// must not reach it.
void
Node::propose_locally(const LeaveHost& leave)
{
  const Propose message{ .client = m_session_client,
                         .id = ++m_session_proposals,
                         .lowest_pending = m_session_proposals,
                         .command = encode(Command(leave)) };
  m_replica->receive(m_settings.cluster_address, message);
}

void
Node::handle_admin(const AdminRequest& request, const AdminServer::Reply& reply)
{
  if (request.path == "/status") {
    reply(status_page());
  } else if (request.path == "/metrics") {
    reply(metrics_page());
  } else if (request.path == "/events") {
    reply(event_page());
  } else if (request.path == "/config/changes" && request.method == "POST") {
    submit_change(request, reply);
  } else if (auto page = make_state_page(request, m_client->state())) {
    reply(std::move(*page));
  } else {
    reply(make_admin_error({ .kind = ErrorKind::NotFound,
                             .message = "no page " + request.method + " " + request.path,
                             .remedy = "use lovagectl of the same version" }));
  }
}

void
Node::submit_change(const AdminRequest& request, const AdminServer::Reply& reply)
{
  const Result<SubmitChange> change = parse_change(request);
  if (change.has_error()) {
    reply(make_admin_error(change.error()));
    return;
  }
  propose(change.value(),
          [reply](const Result<ApplyResult>& result) { reply(make_change_response(result)); });
}

AdminResponse
Node::status_page() const
{
  StatusInput input{ .host = m_settings.host,
                     .ready = m_client->ready(),
                     .stale = m_last_control_contact &&
                              Clock::now() - *m_last_control_contact > kStaleAfter };
  if (m_entry) {
    for (const auto& [name, stats] : m_entry->services().stats(Clock::now())) {
      const SlotShare share = m_entry->services().share(name, Clock::now());
      input.services.push_back({ .name = name, .share = to_string(share), .stats = stats });
    }
  }
  return make_status_page(input, m_client->state());
}

AdminResponse
Node::metrics_page() const
{
  const TimePoint now = Clock::now();
  ProcessMetrics metrics{ .revision = m_client->state().configuration()->revision,
                          .view = m_client->state().view(),
                          .bytes_sent = m_transport->bytes_sent(),
                          .bytes_received = m_transport->bytes_received() };
  if (m_session) {
    metrics.stable_view = m_session->tracker().stable_view();
    metrics.stale = now >= m_session->tracker().lease_until();
    metrics.owned_services = m_session->tracker().owned_count();
  }
  if (m_leader) {
    metrics.leading = m_leader->table().leading();
    metrics.sessions = metrics.leading ? m_leader->table().session_count() : 0;
  }
  return { .content_type = "text/plain; version=0.0.4",
           .body = render_metrics(metrics, m_entry.get(), now) };
}

AdminResponse
Node::event_page() const
{
  return make_event_page(m_log.recent());
}

void
Node::begin_shutdown()
{
  m_log.info("shutdown_started");
  if (!m_session) {
    m_context.stop();
    return;
  }
  // The grace period serves callers that still use this host's address.
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(m_context, m_settings.shutdown_grace);
  m_session->leave([this] { m_log.info("released"); }, Clock::now());
  timer->async_wait([this, timer](auto) {
    m_entry->drain();
    finish_shutdown(Clock::now() + m_settings.shutdown_limit);
  });
}

void
Node::finish_shutdown(TimePoint limit)
{
  const std::size_t in_flight = m_entry->in_flight();
  if (in_flight == 0 || Clock::now() >= limit) {
    m_log.info("stopped", { { "cut_off", std::to_string(in_flight) } });
    m_entry->stop();
    m_context.stop();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, kTickInterval);
  timer->async_wait([this, timer, limit](auto) { finish_shutdown(limit); });
}

} // namespace lovagehold
