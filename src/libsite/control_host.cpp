#include "control_host.h"

#include "lovagehold/file_disk.h"
#include "lovagehold/metrics.h"

#include <boost/asio/post.hpp>

namespace lovagehold {

namespace {

// Fine enough for the heartbeats of the replicated log.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
// Without a leader: coarser ticks let the random election times of two hosts coincide.
constexpr std::chrono::milliseconds kElectionTick{ 10 };
constexpr std::chrono::milliseconds kConsensusHeartbeat{ 100 };
constexpr std::chrono::milliseconds kElectionTimeout{ 450 };
// All control hosts may restart at once; a leader stands again within 0.3 s.
constexpr std::chrono::milliseconds kFirstElectionTimeout{ 100 };
constexpr std::chrono::milliseconds kQuorumTimeout{ 700 };
// A replacement has to vote before its predecessor stops to count as lost, 4 s after its start.
constexpr std::chrono::milliseconds kMemberLostAfter{ 2000 };
constexpr std::chrono::milliseconds kShareInterval{ 500 };
// Hosts whose lease ends are noticed this late at most.
constexpr std::chrono::milliseconds kRefreshInterval{ 100 };
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 500 };
// Longer than the time for which servers may be cut off from control while entry hosts reach them.
constexpr std::chrono::milliseconds kServerLease{ 12000 };
// Operators and servers turn to another host after a second.
constexpr std::chrono::milliseconds kReadTimeout{ 900 };
constexpr std::chrono::milliseconds kProposalTimeout{ 2500 };
constexpr std::chrono::milliseconds kProposalResend{ 400 };
constexpr std::chrono::milliseconds kDirectoryKeep{ 5000 };
constexpr std::chrono::milliseconds kSubscriptionTimeout{ 3000 };
// A starting entry host gets the snapshot and the entries since; 422 servers make a snapshot of 45
// KB.
constexpr std::size_t kSnapshotBytes = std::size_t{ 64 } << 10;

std::string
ip_of(const std::string& address)
{
  return address.substr(0, address.rfind(':'));
}

std::string
port_of(const std::string& address)
{
  return address.substr(address.rfind(':'));
}

Error
unavailable(const std::string& message)
{
  return { .kind = ErrorKind::Unavailable,
           .message = message,
           .remedy = "send the call again to another control host" };
}

ReplicaOptions
replica_options(const SiteSettings& settings)
{
  ReplicaOptions options{ .host = settings.cluster_address,
                          .address = settings.cluster_address,
                          .failure_domain = settings.failure_domain,
                          .may_bootstrap = settings.first_start };
  // All seeds must agree on the founder, whatever the order in which they are told.
  std::vector<std::string> seeds = settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  for (const std::string& seed : seeds) {
    options.members.emplace_back(seed, seed);
  }
  options.consensus = { .heartbeat = kConsensusHeartbeat,
                        .election_timeout = kElectionTimeout,
                        .first_election_timeout = kFirstElectionTimeout,
                        .quorum_timeout = kQuorumTimeout,
                        .voters = 2 * settings.tolerated_losses + 1,
                        .lost_after = kMemberLostAfter };
  options.snapshot_bytes = kSnapshotBytes;
  options.subscription_timeout = kSubscriptionTimeout;
  return options;
}

} // namespace

ControlHost::ControlHost(boost::asio::io_context& context,
                         SiteSettings settings,
                         SiteProtocol protocol,
                         EventLog& log)
  : m_context(context)
  , m_settings(std::move(settings))
  , m_protocol(std::move(protocol))
  , m_log(log)
  , m_link(
      context,
      m_settings.cluster_address,
      log,
      [this](const std::string& from, const ClusterMessage& message) { receive(from, message); })
  , m_control_server(context,
                     [this](const AdminRequest& request, const AdminServer::Reply& reply) {
                       handle(request, reply);
                     })
  , m_directory_server(context,
                       [this](const AdminRequest& request, const AdminServer::Reply& reply) {
                         handle(request, reply);
                       })
  , m_registrar({ .lease = kServerLease })
  , m_directory(EntryDirectoryOptions{})
  , m_attached(EntryDirectoryOptions{})
  , m_timer(context)
{
  const auto send_hook = [this](const std::string& address, const ClusterMessage& message) {
    m_link.send(address, message);
  };
  ReplicaPorts ports{
    .send = send_hook,
    .post =
      [this](std::function<void()> function) { boost::asio::post(m_context, std::move(function)); },
    .report =
      [this](std::string_view event, std::string_view key, const std::string& value) {
        m_log.info(event, { { key, value } });
      },
    .entry_hosts = [this] { return m_named_hosts; }
  };
  m_replica = std::make_unique<Replica>(replica_options(m_settings),
                                        std::move(ports),
                                        std::make_unique<FileDisk>(m_settings.data_folder));
  m_client = std::make_unique<ControlClient>(
    ControlClientOptions{ .control_addresses = { m_settings.cluster_address },
                          .proposal_timeout = kProposalTimeout,
                          .resend_interval = kProposalResend,
                          .follow = false },
    send_hook,
    [](const StateMachine&) {});
}

Result<void>
ControlHost::start()
{
  BOOST_OUTCOME_TRYV(m_replica->open());
  BOOST_OUTCOME_TRYV(m_link.start());
  BOOST_OUTCOME_TRYV(m_control_server.start(m_settings.control_address));
  if (!m_settings.directory_address.empty()) {
    BOOST_OUTCOME_TRYV(m_directory_server.start(m_settings.directory_address));
  }
  tick();
  return boost::outcome_v2::success();
}

void
ControlHost::stop()
{
  m_timer.cancel();
  m_link.stop();
}

void
ControlHost::reload(const SiteSettings& settings)
{
  m_settings.seeds = settings.seeds;
  m_settings.max_directory_keep = settings.max_directory_keep;
  m_replica->set_seeds(settings.seeds);
}

std::string
ControlHost::render_metrics() const
{
  const ReplicaStatus status = m_replica->status();
  MetricsText text;
  const auto gauge = [&text](const char* name, const char* help, double value) {
    text.begin(name, "gauge", help);
    text.sample({}, value);
  };
  gauge("lovagehold_leads", "1 if this host leads the control group.", m_replica->leads() ? 1 : 0);
  gauge("lovagehold_in_contact", "1 if this host hears of a leader.", status.in_contact ? 1 : 0);
  gauge("lovagehold_term", "Election term.", static_cast<double>(status.term));
  gauge("lovagehold_commit_index", "Last committed entry.", static_cast<double>(status.commit));
  gauge("lovagehold_applied_index", "Last applied entry.", static_cast<double>(status.applied));
  gauge("lovagehold_group_members",
        "Members of the control group.",
        static_cast<double>(status.membership.size()));
  gauge("lovagehold_routing_version",
        "Version of the routing configuration held.",
        static_cast<double>(m_replica->machine().routing()->version));
  gauge("lovagehold_servers",
        "Servers that requests may go to.",
        static_cast<double>(m_replica->machine().all_servers().size()));
  gauge("lovagehold_entry_hosts",
        "Entry hosts that are ready.",
        static_cast<double>(m_directory.live(Clock::now()).size()));
  return text.text();
}

SiteStatus
ControlHost::status() const
{
  const ReplicaStatus replica = m_replica->status();
  SiteStatus status{ .host = m_settings.host,
                     .version = m_replica->machine().routing()->version,
                     .ready = replica.in_contact };
  const auto add = [&](const HostId& id, const std::string& domain, const std::string& address) {
    status.hosts.push_back({ .id = id,
                             .failure_domain = domain,
                             .status_address = with_port_of(address, m_settings.metrics_address) });
  };
  for (const Member& member : replica.membership) {
    const bool own = member.address == m_settings.cluster_address;
    add(own ? m_settings.host : member.address, member.failure_domain, member.address);
  }
  for (const auto& [presence, age] : m_directory.known(Clock::now())) {
    add(presence.address, presence.failure_domain, presence.address);
  }
  return status;
}

void
ControlHost::receive(const std::string& from, const ClusterMessage& message)
{
  const TimePoint now = Clock::now();
  if (const auto* subscribe = std::get_if<Subscribe>(&message)) {
    if (subscribe->presence) {
      m_attached.heard(*subscribe->presence, now);
      if (m_directory.heard(*subscribe->presence, now)) {
        m_log.info("entry_host",
                   { { "address", subscribe->presence->address },
                     { "ready", subscribe->presence->ready ? "yes" : "no" } });
        m_unshared = true;
        m_unrefreshed = true;
      }
      // A starting host needs its configuration first; its link and this host may be busy.
      if (!subscribe->confirm && m_addresses.version != subscribe->directory_version) {
        m_link.send(from, m_addresses);
      }
    }
    m_replica->receive(from, message);
  } else if (const auto* hosts = std::get_if<EntryHosts>(&message)) {
    for (const EntryHosts::ReportedHost& heard : hosts->hosts) {
      m_unrefreshed = m_directory.heard(heard.presence, now - heard.age) || m_unrefreshed;
    }
  } else if (const auto* renewal = std::get_if<ServerRenewal>(&message)) {
    m_registrar.renew(renewal->id, renewal->incarnation, now);
  } else if (std::holds_alternative<ProposeReply>(message)) {
    m_client->receive(from, message, now);
  } else {
    m_replica->receive(from, message);
  }
}

// Entry hosts answer callers that ask where to connect, so that one control host that hangs does
// not hold up the callers of its failure domain. Kept between changes, because every subscription
// compares its version.
void
ControlHost::refresh_addresses(TimePoint now)
{
  m_addresses.by_domain = m_directory.resolve_all(now);
  m_addresses.version = version_of(m_addresses);
  m_named_hosts = m_directory.named(now);
  m_refreshed_at = now;
  m_unrefreshed = false;
}

void
ControlHost::tick()
{
  const TimePoint now = Clock::now();
  m_replica->tick();
  m_client->tick(now);
  watch_leadership(now);
  // Once a tick for all changes: 200 hosts that start together would otherwise cause as many
  // messages to each control host.
  if (m_unrefreshed || now - m_refreshed_at >= kRefreshInterval) {
    refresh_addresses(now);
  }
  if (m_unshared || now - m_shared_at >= kShareInterval) {
    share_entry_hosts(now);
    m_directory.expire(now);
    m_attached.expire(now);
  }
  if (m_led && now - m_leases_at >= kLeaseCheckInterval) {
    m_leases_at = now;
    end_leases(now);
  }
  m_timer.expires_at(now + (m_replica->status().in_contact ? kTickInterval : kElectionTick));
  m_timer.async_wait([this](auto error) {
    if (!error) {
      tick();
    }
  });
}

void
ControlHost::watch_leadership(TimePoint now)
{
  const bool leads = m_replica->leads();
  if (leads && !m_led) {
    // Another host kept the leases until now.
    m_registrar.restart();
    m_leases_at = now;
  }
  m_led = leads;
}

void
ControlHost::share_entry_hosts(TimePoint now)
{
  m_shared_at = now;
  m_unshared = false;
  EntryHosts message;
  for (const auto& [presence, age] : m_attached.known(now)) {
    message.hosts.push_back(
      { .presence = presence, .age = std::chrono::duration_cast<std::chrono::milliseconds>(age) });
  }
  if (message.hosts.empty()) {
    return;
  }
  for (const Member& member : m_replica->status().membership) {
    if (member.address != m_settings.cluster_address) {
      m_link.send(member.address, message);
    }
  }
}

const std::vector<ServerInfo>&
ControlHost::servers()
{
  const StateMachine& machine = m_replica->machine();
  if (machine.routes_index() != m_servers_index || machine.routes_index() == 0) {
    m_servers = machine.all_servers();
    m_servers_index = machine.routes_index();
  }
  return m_servers;
}

void
ControlHost::end_leases(TimePoint now)
{
  for (const ServerInfo& server : m_registrar.expired(servers(), now)) {
    m_log.warn("server_lease_ended", { { "server", server.id }, { "service", server.service } });
    m_client->propose(
      LeaveServer{ .service = server.service,
                   .id = server.id,
                   .incarnation = server.incarnation,
                   .expired = true },
      [](const Result<ApplyResult>&) {},
      now);
  }
}

void
ControlHost::handle(const AdminRequest& request, const AdminServer::Reply& reply)
{
  const ControlCall call = m_protocol.decode_call(request);
  std::visit([&](const auto& typed) { answer(typed, reply); }, call);
}

void
ControlHost::reply_with(const AdminServer::Reply& reply, const ControlReply& content) const
{
  reply(m_protocol.encode_reply(content));
}

void
ControlHost::propose(const Command& command,
                     const ControlReply& content,
                     const AdminServer::Reply& reply)
{
  m_client->propose(
    command,
    [this, content, reply](const Result<ApplyResult>& result) {
      if (result.has_error()) {
        reply_with(reply, FailedReply{ unavailable(result.error().message) });
      } else {
        reply_with(reply, content);
      }
    },
    Clock::now());
}

// Calls back once: with true when the own state contains everything that was acknowledged before,
// or with false if that can't be confirmed in time.
void
ControlHost::confirm(const std::function<void(bool confirmed)>& done)
{
  const auto answered = std::make_shared<bool>(false);
  const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, kReadTimeout);
  // The handler keeps the timer: the group drops its callback when it has no leader.
  timer->async_wait([answered, done, timer](auto error) {
    if (!error && !std::exchange(*answered, true)) {
      done(false);
    }
  });
  m_replica->confirm_leadership([answered, done, timer](TimePoint) {
    if (!std::exchange(*answered, true)) {
      timer->cancel();
      done(true);
    }
  });
}

void
ControlHost::answer(const ReadRoutingCall&, const AdminServer::Reply& reply)
{
  confirm([this, reply](bool confirmed) {
    const auto routing = m_replica->machine().routing();
    if (!confirmed) {
      reply_with(reply, FailedReply{ unavailable("the newest configuration can't be confirmed") });
    } else if (routing->version == 0) {
      reply_with(reply, FailedReply{ unavailable("there is no configuration yet") });
    } else {
      reply_with(reply, RoutingReply{ .document = routing->document });
    }
  });
}

void
ControlHost::answer(const ReplaceRoutingCall& call, const AdminServer::Reply& reply)
{
  const auto held = m_replica->machine().routing();
  m_log.info("routing_received",
             { { "version", std::to_string(call.config.version) },
               { "held", std::to_string(held->version) },
               { "bytes", std::to_string(call.document.size()) } });
  if (call.config.version <= held->version) {
    reply_with(reply, AcceptedReply{});
    return;
  }
  propose(ReplaceRouting{ .version = call.config.version, .document = call.document },
          AcceptedReply{},
          reply);
}

ControlReply
ControlHost::heartbeat_reply() const
{
  // The leader keeps the leases, so heartbeats go there directly.
  const std::string leader = m_replica->status().leader_address;
  const bool elsewhere = !leader.empty() && leader != m_settings.cluster_address;
  return HeartbeatReplyTo{ .next_address =
                             elsewhere ? ip_of(leader) + port_of(m_settings.control_address) : "" };
}

void
ControlHost::answer(const HeartbeatCall& call, const AdminServer::Reply& reply)
{
  const TimePoint now = Clock::now();
  const ServerInfo& server = call.heartbeat.server;
  if (!m_replica->status().in_contact) {
    // The server has to turn to a host whose group hears of it.
    reply_with(reply, FailedReply{ unavailable("this host has no contact to the control group") });
    return;
  }
  const HeartbeatEffect effect = m_registrar.heartbeat(call.heartbeat, servers(), now);
  if (effect == HeartbeatEffect::None) {
    const std::string leader = m_replica->status().leader_address;
    if (!leader.empty() && leader != m_settings.cluster_address) {
      m_link.send(leader,
                  ServerRenewal{ .service = server.service,
                                 .id = server.id,
                                 .incarnation = server.incarnation });
    }
    reply_with(reply, heartbeat_reply());
    return;
  }
  m_log.info(effect == HeartbeatEffect::Join ? "server_joins" : "server_drains",
             { { "server", server.id },
               { "service", server.service },
               { "address", server.address },
               { "incarnation", std::to_string(server.incarnation) },
               { "sequence", std::to_string(call.heartbeat.sequence) } });
  if (effect == HeartbeatEffect::Leave) {
    propose(
      LeaveServer{ .service = server.service, .id = server.id, .incarnation = server.incarnation },
      heartbeat_reply(),
      reply);
    return;
  }
  for (const ServerInfo& gone : ServerRegistrar::replaced_by(call.heartbeat, servers())) {
    m_client->propose(
      LeaveServer{ .service = gone.service, .id = gone.id, .incarnation = gone.incarnation },
      [](const Result<ApplyResult>&) {},
      now);
  }
  propose(JoinServer{ server }, heartbeat_reply(), reply);
}

void
ControlHost::answer(const LeaveCall& call, const AdminServer::Reply& reply)
{
  if (propose_leave(call, reply)) {
    return;
  }
  // The server may have joined on another host: this host's state may be behind.
  confirm([this, call, reply](bool confirmed) {
    if (!confirmed) {
      reply_with(reply, FailedReply{ unavailable("the group's servers can't be confirmed") });
    } else if (!propose_leave(call, reply)) {
      m_log.info("server_leaves", { { "server", call.id }, { "service", "unknown" } });
      reply_with(reply, AcceptedReply{});
    }
  });
}

bool
ControlHost::propose_leave(const LeaveCall& call, const AdminServer::Reply& reply)
{
  for (const ServerInfo& server : servers()) {
    const bool meant =
      server.id == call.id && (call.incarnation == 0 || call.incarnation >= server.incarnation);
    if (meant) {
      m_log.info("server_leaves", { { "server", server.id }, { "service", server.service } });
      propose(LeaveServer{ .service = server.service,
                           .id = server.id,
                           .incarnation = server.incarnation },
              AcceptedReply{},
              reply);
      return true;
    }
  }
  return false;
}

void
ControlHost::answer(const ResolveCall& call, const AdminServer::Reply& reply)
{
  AddressesReply content{ .addresses = m_directory.resolve(call.failure_domain, Clock::now()),
                          .keep = std::min(kDirectoryKeep, m_settings.max_directory_keep) };
  if (content.addresses.empty()) {
    reply_with(reply, FailedReply{ unavailable("no entry host is ready") });
  } else {
    reply_with(reply, content);
  }
}

void
ControlHost::answer(const UnknownCall&, const AdminServer::Reply& reply)
{
  reply_with(reply, NotFoundReply{});
}

void
ControlHost::answer(const RejectedCall& call, const AdminServer::Reply& reply)
{
  m_log.warn("call_rejected", { { "error", call.error.message }, { "remedy", call.error.remedy } });
  reply_with(reply, FailedReply{ call.error });
}

} // namespace lovagehold
