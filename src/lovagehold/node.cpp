#include "node.h"

#include "libstate/json_fields.h"
#include "lovagehold/home_selector.h"

#include <boost/asio/post.hpp>

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{ 50 };
constexpr std::chrono::seconds kDrainLimit{ 120 };
constexpr std::size_t kHomeCount = 3;

WallTime
wall_now()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

HostInfo
make_self(const Settings& settings)
{
  return { .id = settings.host,
           .incarnation = static_cast<std::uint64_t>(wall_now().time_since_epoch().count()),
           .failure_domain = settings.failure_domain,
           .caller_address = settings.entry_role ? settings.caller_address : "",
           .cluster_address = settings.cluster_address,
           .admin_address = settings.admin_address };
}

AdminResponse
make_admin_error(const Error& error)
{
  const unsigned status = error.kind == ErrorKind::Conflict          ? 409
                          : error.kind == ErrorKind::InvalidArgument ? 400
                                                                     : 503;
  return { .status = status,
           .body = json{ { "kind", to_string(error.kind) },
                         { "error", error.message },
                         { "remedy", error.remedy } }
                     .dump() };
}

} // namespace

Node::Node(Settings settings)
  : m_settings(std::move(settings))
  , m_self(make_self(m_settings))
  , m_log({ .host = m_settings.host, .level = m_settings.log_level })
  , m_signals(m_context, SIGTERM, SIGINT)
  , m_timer(m_context)
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
  PrimaryLogOptions log_options{ .self = m_settings.host, .data_folder = m_settings.data_folder };
  ControlClientOptions client_options;
  for (const ControlPeer& peer : m_settings.control_peers) {
    log_options.members.emplace_back(peer.id, peer.cluster_address);
    client_options.control_addresses.push_back(peer.cluster_address);
  }
  if (m_settings.control_role) {
    m_primary_log = std::make_unique<PrimaryLog>(std::move(log_options), send_hook);
  }
  m_client = std::make_unique<ControlClient>(
    std::move(client_options), send_hook, [this](const StateMachine& state) { on_applied(state); });
  m_admin = std::make_unique<AdminServer>(
    m_context, [this](const AdminRequest& request, const AdminServer::Reply& reply) {
      handle_admin(request, reply);
    });
  if (!m_settings.entry_role) {
    return;
  }
  EntryPorts ports;
  ports.propose = [this](Command command, ControlClient::Answer answer) {
    boost::asio::post(m_context,
                      [this, command = std::move(command), answer = std::move(answer)]() mutable {
                        propose(command, std::move(answer));
                      });
  };
  ports.send_renewal = [this](const HostInfo& owner, const ServerRenewal& renewal) {
    m_transport->send(owner.cluster_address, encode(ClusterMessage(renewal)));
  };
  ports.key_status = [this](const ServiceName& service, const std::string& key, auto answer) {
    boost::asio::post(m_context, [this, service, key, answer = std::move(answer)] {
      answer(m_client->state().key_status(service, key));
    });
  };
  m_entry =
    std::make_unique<EntryService>(EntryServiceOptions{ .self = m_settings.host,
                                                        .caller_address = m_settings.caller_address,
                                                        .threads = m_settings.threads,
                                                        .limits = m_settings.limits },
                                   std::move(ports),
                                   m_log);
}

Node::~Node()
{
  m_transport->stop();
}

Result<void>
Node::run()
{
  if (m_primary_log) {
    BOOST_OUTCOME_TRYV(m_primary_log->open());
  }
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

void
Node::send(const std::string& address, const ClusterMessage& message)
{
  Bytes bytes = encode(message);
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
  const Result<ClusterMessage> message = decode_message(bytes);
  if (message.has_error()) {
    m_log.warn("message_refused", { { "peer", from }, { "reason", message.error().message } });
    return;
  }
  if (m_primary_log) {
    m_primary_log->receive(from, message.value());
  }
  m_client->receive(from, message.value(), Clock::now());
  const auto* renewal = std::get_if<ServerRenewal>(&message.value());
  if (renewal != nullptr && m_entry) {
    m_entry->renew(*renewal, Clock::now());
  }
}

void
Node::propose(const Command& command, ControlClient::Answer answer)
{
  m_client->propose(command, std::move(answer), Clock::now());
}

std::shared_ptr<const RoutingView>
Node::make_view(const StateMachine& state) const
{
  auto view = std::make_shared<RoutingView>();
  view->self = m_settings.host;
  const auto configuration = state.configuration();
  view->revision = configuration->revision;
  const std::vector<HostInfo> hosts = state.hosts();
  for (const auto& [name, declaration] : configuration->services) {
    view->routes[name] = { .declaration = declaration,
                           .homes = select_homes(name, hosts, kHomeCount),
                           .servers = state.servers(name),
                           .share = SlotShare::Full };
  }
  return view;
}

void
Node::on_applied(const StateMachine& state)
{
  if (!m_entry) {
    return;
  }
  m_entry->update(make_view(state), Clock::now());
  if (!m_entry_started) {
    m_entry_started = true;
    const Result<void> started = m_entry->start();
    if (started.has_error()) {
      m_log.warn("entry_failed",
                 { { "reason", started.error().message }, { "remedy", started.error().remedy } });
      m_context.stop();
    }
  }
  announce_host();
}

void
Node::announce_host()
{
  if (m_host_announced) {
    return;
  }
  m_host_announced = true;
  propose(JoinHost{ m_self },
          [this](const Result<ApplyResult>& result) { m_host_announced = result.has_value(); });
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
  m_client->tick(now);
  if (m_client->ready() && m_entry && !m_leaving) {
    announce_host();
  }
  schedule_tick();
}

void
Node::handle_admin(const AdminRequest& request, const AdminServer::Reply& reply)
{
  if (request.path == "/status") {
    reply(status_page());
  } else if (request.path == "/events") {
    reply(event_page());
  } else if (request.path == "/config/changes" && request.method == "POST") {
    submit_change(request, reply);
  } else {
    reply({ .status = 404, .body = R"({"error":"no such page"})" });
  }
}

void
Node::submit_change(const AdminRequest& request, const AdminServer::Reply& reply)
{
  SubmitChange change;
  try {
    const json fields = json::parse(request.body);
    fields.at("file").get_to(change.file_name);
    fields.at("content").get_to(change.content);
  } catch (const std::exception& exception) {
    reply(make_admin_error({ .kind = ErrorKind::InvalidArgument,
                             .message = exception.what(),
                             .remedy = "send JSON with file and content" }));
    return;
  }
  const Result<std::uint64_t> number = change_number(change.file_name);
  if (number.has_error()) {
    reply(make_admin_error(number.error()));
    return;
  }
  change.number = number.value();
  propose(change, [reply](const Result<ApplyResult>& result) {
    if (result.has_error() || result.value().error) {
      reply(make_admin_error(result.has_error() ? result.error() : *result.value().error));
      return;
    }
    reply({ .body = json{ { "revision", result.value().revision } }.dump() });
  });
}

AdminResponse
Node::status_page() const
{
  json services = json::object();
  if (m_entry) {
    for (const auto& [name, stats] : m_entry->services().stats(Clock::now())) {
      services[name] = { { "queued_urgent", stats.queued_urgent },
                         { "queued_patient", stats.queued_patient },
                         { "in_flight", stats.in_flight },
                         { "servers", stats.servers },
                         { "eligible_servers", stats.eligible_servers } };
    }
  }
  const StateMachine& state = m_client->state();
  const json page = {
    { "host", m_settings.host },          { "revision", state.configuration()->revision },
    { "applied", state.applied_index() }, { "ready", m_client->ready() },
    { "hosts", state.hosts() },           { "services", services }
  };
  return { .body = page.dump() };
}

AdminResponse
Node::event_page() const
{
  json events = json::array();
  for (const Event& event : m_log.recent()) {
    json fields = json::object();
    for (const auto& [key, value] : event.fields) {
      fields[key] = value;
    }
    events.push_back({ { "time_ms", event.time.time_since_epoch().count() },
                       { "host", event.host },
                       { "event", event.name },
                       { "fields", fields } });
  }
  return { .body = events.dump() };
}

void
Node::begin_shutdown()
{
  m_leaving = true;
  m_log.info("shutdown_started");
  if (!m_entry) {
    m_context.stop();
    return;
  }
  const LeaveHost leave{ .id = m_self.id, .incarnation = m_self.incarnation, .released = true };
  propose(leave, [this](const Result<ApplyResult>&) {
    m_entry->drain();
    finish_shutdown(Clock::now() + kDrainLimit);
  });
}

void
Node::finish_shutdown(TimePoint give_up)
{
  if (m_entry->in_flight() == 0 || Clock::now() >= give_up) {
    m_log.info("stopped", { { "cut_off", std::to_string(m_entry->in_flight()) } });
    m_entry->stop();
    m_context.stop();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, kTickInterval);
  timer->async_wait([this, timer, give_up](auto) { finish_shutdown(give_up); });
}

} // namespace lovagehold
