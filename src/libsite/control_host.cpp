#include "control_host.h"

#include "allowance_wiring.h"
#include "control_metrics.h"
#include "control_replies.h"
#include "lovagehold/file_disk.h"
#include "lovagehold/metrics.h"

#include <boost/asio/post.hpp>

namespace lovagehold {

namespace {

// Must be shorter than the heartbeat interval of the replicated log.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
// Tick interval while there is no leader. Coarser ticks would make the random election timeouts of
// two hosts coincide.
constexpr std::chrono::milliseconds kElectionTickInterval{ 10 };
constexpr std::chrono::milliseconds kConsensusHeartbeat{ 100 };
constexpr std::chrono::milliseconds kElectionTimeout{ 450 };
// All control hosts may restart at once; with this timeout a leader is elected within 0.3 s.
constexpr std::chrono::milliseconds kFirstElectionTimeout{ 100 };
constexpr std::chrono::milliseconds kQuorumTimeout{ 700 };
// A replaced host counts as one of the tolerated losses until 4 s after its replacement has
// started, so the replacement must be a voter by then.
constexpr std::chrono::milliseconds kMemberLostTimeout{ 2000 };
constexpr std::chrono::milliseconds kEntryHostShareInterval{ 500 };
// Upper limit on the delay after which an expired entry host is removed from the published
// addresses.
constexpr std::chrono::milliseconds kAddressRefreshInterval{ 100 };
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 500 };
// Short compared with the lease.
constexpr std::chrono::milliseconds kRenewalInterval{ 500 };
// Longer than the time for which a server may be unable to reach control hosts while entry hosts
// can still reach the server.
constexpr std::chrono::milliseconds kServerLease{ 12000 };
// Shorter than the second after which operators and servers try another host.
constexpr std::chrono::milliseconds kReadConfirmTimeout{ 900 };
constexpr std::chrono::milliseconds kProposalTimeout{ 2500 };
constexpr std::chrono::milliseconds kProposalResendInterval{ 400 };
// Time for which callers may cache the addresses of entry hosts; the settings may lower it.
constexpr std::chrono::milliseconds kDirectoryTtl{ 5000 };
constexpr std::chrono::milliseconds kSubscriptionTimeout{ 3000 };
// Leaves of servers that have not joined, which anyone can make up: rate and burst at each control
// host. With 19 control hosts, StateMachineOptions::unknown_departed_limit covers 80 s of them.
constexpr double kUnknownLeavesPerSecond = 2;
constexpr double kUnknownLeaveBurst = 50;
// Log growth after which a snapshot is taken. A starting entry host receives the snapshot and the
// entries after it; a snapshot with 422 servers has 45 KB.
constexpr std::size_t kSnapshotLogBytes = std::size_t{ 64 } << 10;

ReplicaOptions
replica_options(const SiteSettings& settings)
{
  ReplicaOptions options{ .host = settings.cluster_address,
                          .address = settings.cluster_address,
                          .failure_domain = settings.failure_domain,
                          .may_bootstrap = settings.first_start };
  // The first member founds the group, so all seeds must use the same order, however the settings
  // list them.
  std::vector<std::string> seeds = settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  for (const std::string& seed : seeds) {
    options.members.emplace_back(seed, seed);
  }
  options.consensus = { .heartbeat = kConsensusHeartbeat,
                        .election_timeout = kElectionTimeout,
                        .first_election_timeout = kFirstElectionTimeout,
                        .quorum_timeout = kQuorumTimeout,
                        .target_voters = 2 * settings.tolerated_losses + 1,
                        .lost_after = kMemberLostTimeout };
  options.snapshot_bytes = kSnapshotLogBytes;
  options.subscription_timeout = kSubscriptionTimeout;
  options.confirmation_timeout = kReadConfirmTimeout;
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
  , m_control_server(
      context,
      [this](const AdminRequest& request, const AdminServer::Reply& reply) {
        handle_request(request, reply);
      },
      log,
      admin_options(m_settings))
  , m_directory_server(
      context,
      [this](const AdminRequest& request, const AdminServer::Reply& reply) {
        handle_request(request, reply);
      },
      log,
      admin_options(m_settings))
  , m_registrar({ .lease = kServerLease,
                  .limits_cold_servers =
                    [this](const ServiceName& service) { return limits_cold_servers(service); } })
  , m_directory(EntryDirectoryOptions{})
  , m_subscribed_hosts(EntryDirectoryOptions{})
  , m_timer(context)
  , m_suspects({ .quarantine = m_settings.quarantine }, kSubscriptionTimeout)
  , m_evacuations(log, "evacuation_applied")
  , m_allowances(
      allowance_board_options(m_settings, kSubscriptionTimeout),
      { .send = [this](const std::string& address,
                       const ClusterMessage& message) { m_link.send(address, message); },
        .view = [this] { return make_allowance_view(*m_replica, m_directory, Clock::now()); },
        .report = [this](std::string_view event,
                         const std::vector<LogField>& fields) { m_log.info(event, fields); } })
  , m_overflow(decides_overflow(m_settings),
               m_settings.cluster_address,
               [&log](std::string_view event, const auto& fields) { log.info(event, fields); })
  , m_unknown_leaves(kUnknownLeavesPerSecond, kUnknownLeaveBurst, kUnknownLeaveBurst, Clock::now())
{
  const auto send_hook = [this](const std::string& address, const ClusterMessage& message) {
    m_link.send(address, message);
  };
  ReplicaPorts ports{
    .send = send_hook,
    .post =
      [this](std::function<void()> function) { boost::asio::post(m_context, std::move(function)); },
    .report = [this](std::string_view event,
                     const std::vector<LogField>& fields) { m_log.info(event, fields); },
    .entry_hosts = [this] { return m_advertised_host_count; }
  };
  m_replica = std::make_unique<Replica>(replica_options(m_settings),
                                        std::move(ports),
                                        std::make_unique<FileDisk>(m_settings.data_folder));
  m_client = std::make_unique<ControlClient>(
    ControlClientOptions{ .control_addresses = { m_settings.cluster_address },
                          .proposal_timeout = kProposalTimeout,
                          .resend_interval = kProposalResendInterval,
                          .follow = false },
    send_hook,
    [](const StateMachine&) {});
  m_operator_calls = std::make_unique<OperatorCalls>(
    m_protocol, m_settings.failure_domains, *m_replica, *m_client, m_log);
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
  m_settings.max_directory_ttl = settings.max_directory_ttl;
  m_replica->set_seeds(settings.seeds);
}

std::string
ControlHost::render_metrics() const
{
  const TimePoint now = Clock::now();
  const ReplicaStatus replica = m_replica->status();
  const StateMachine& machine = m_replica->machine();
  MetricsText text;
  render_allowance_metrics(text, m_allowances);
  return render_control_metrics({ .replica = replica,
                                  .group = group_status(replica),
                                  .leads = m_replica->leads(),
                                  .routing_version = machine.routing_version(),
                                  .servers = machine.all_servers().size(),
                                  .entry_hosts = m_directory.ready_hosts(now).size(),
                                  .evacuated_domains = machine.evacuations().size(),
                                  .quarantined_fingerprints = m_suspects.quarantined_count(now),
                                  .limited_servers = m_limiter.size(),
                                  .permits_granted = m_permits_granted,
                                  .permits_denied = m_permits_denied,
                                  .routing_conflicts = m_operator_calls->routing_conflicts(),
                                  .dropped_messages = m_link.dropped_messages() }) +
         text.text() + m_overflow.render_metrics(now);
}

GroupStatus
ControlHost::group_status(const ReplicaStatus& replica) const
{
  return make_group_status(
    m_settings.cluster_address, replica, m_settings.tolerated_losses, kQuorumTimeout);
}

SiteStatus
ControlHost::status() const
{
  const ReplicaStatus replica = m_replica->status();
  SiteStatus status{ .host = m_settings.host,
                     .version = m_replica->machine().routing_version(),
                     .ready = replica.in_contact,
                     .state_age = replica.lag,
                     .group = group_status(replica),
                     .evacuations = m_replica->machine().evacuations(),
                     .restricted_accounts = m_allowances.restricted() };
  const auto add = [&](const HostId& id, const std::string& domain, const std::string& address) {
    status.hosts.push_back({ .id = id,
                             .failure_domain = domain,
                             .status_address = with_port_of(address, m_settings.metrics_address) });
  };
  for (const Member& member : replica.membership) {
    const bool is_self = member.address == m_settings.cluster_address;
    add(is_self ? m_settings.host : member.address, member.failure_domain, member.address);
  }
  for (const auto& [presence, age] : m_directory.unexpired_hosts(Clock::now())) {
    add(presence.address, presence.failure_domain, presence.address);
  }
  return status;
}

void
ControlHost::receive(const std::string& from, const ClusterMessage& message)
{
  const TimePoint now = Clock::now();
  if (m_overflow.receive(from, message, now)) {
    return;
  }
  if (const auto* subscribe = std::get_if<Subscribe>(&message)) {
    if (subscribe->presence) {
      m_subscribed_hosts.apply_announcement(*subscribe->presence, now);
      if (m_directory.apply_announcement(*subscribe->presence, now)) {
        m_log.info("entry_host",
                   { { "address", subscribe->presence->address },
                     { "ready", subscribe->presence->ready ? "yes" : "no" } });
        m_share_pending = true;
        m_refresh_pending = true;
      }
      // Not sent while the subscription still asks for a confirmed state: a starting host needs its
      // configuration first, and its link and this host may be busy.
      if (!subscribe->confirm && m_addresses.version != subscribe->directory_version) {
        m_link.send(from, m_addresses);
      }
      send_evidence(from, m_suspects.add_subscriber(from, subscribe->confirm, now));
      m_allowances.add_subscriber(from, subscribe->confirm, now);
    }
    m_replica->receive(from, message);
  } else if (const auto* hosts = std::get_if<EntryHosts>(&message)) {
    for (const EntryHosts::ReportedHost& reported : hosts->hosts) {
      m_refresh_pending =
        m_directory.apply_announcement(reported.presence, now - reported.age) || m_refresh_pending;
    }
    // Tells the replica that the sender runs.
    m_replica->receive(from, message);
  } else if (const auto* renewals = std::get_if<ServerRenewals>(&message)) {
    for (const ServerRenewal& renewal : renewals->renewals) {
      m_registrar.renew(renewal.id, renewal.incarnation, now);
    }
  } else if (const auto* crashes = std::get_if<CrashReports>(&message)) {
    m_suspects.merge(*crashes, now);
  } else if (const auto* permit = std::get_if<PermitRequest>(&message)) {
    handle_permit_request(from, *permit, now);
  } else if (std::holds_alternative<ProposeReply>(message)) {
    m_client->receive(from, message, now);
  } else if (!m_allowances.receive_any(from, message, now)) {
    m_replica->receive(from, message);
  }
}

void
ControlHost::send_evidence(const std::string& address, const CrashReports& reports)
{
  if (!reports.evidence.empty()) {
    m_link.send(address, reports);
  }
}

void
ControlHost::publish_suspects(TimePoint now)
{
  const CrashReports changes = m_suspects.take_changes(now);
  for (const auto& [subscriber, subscribed_at] : m_suspects.subscribers()) {
    send_evidence(subscriber, changes);
  }
}

void
ControlHost::send_to_members(const ClusterMessage& message)
{
  for (const Member& member : m_replica->membership()) {
    if (member.address != m_settings.cluster_address) {
      m_link.send(member.address, message);
    }
  }
}

void
ControlHost::handle_permit_request(const std::string& from,
                                   const PermitRequest& request,
                                   TimePoint now)
{
  const std::vector<std::string> members = member_addresses(m_replica->membership());
  const double share = limiter_share(request.query.service, m_settings.cluster_address, members);
  const PermitAnswer answer = m_limiter.request(request.query, share, now);
  ++(answer.server.empty() ? m_permits_denied : m_permits_granted);
  m_link.send(from, PermitReply{ .id = request.id, .answer = answer });
}

// Updates the addresses that entry hosts serve to callers. Entry hosts serve them so that a control
// host that hangs does not block the callers of its failure domain. The result is cached, because
// every subscription compares its version.
void
ControlHost::refresh_addresses(TimePoint now)
{
  m_addresses.by_domain = m_directory.resolve_all(now);
  m_addresses.version = version_of(m_addresses);
  m_advertised_host_count = m_directory.advertised_count(now);
  m_refreshed_at = now;
  m_refresh_pending = false;
}

void
ControlHost::tick()
{
  const TimePoint now = Clock::now();
  m_replica->tick();
  m_client->tick(now);
  update_leadership(now);
  m_evacuations.update(m_replica->machine());
  // Changes are collected per tick. Otherwise 200 entry hosts that start together would cause 200
  // messages to each control host.
  if (m_refresh_pending || now - m_refreshed_at >= kAddressRefreshInterval) {
    refresh_addresses(now);
  }
  if (m_share_pending || now - m_shared_at >= kEntryHostShareInterval) {
    share_entry_hosts(now);
    m_directory.expire(now);
    m_subscribed_hosts.expire(now);
    m_limiter.expire(now);
    m_suspects.expire(now);
  }
  // Changes are collected per tick, as a failure of many servers is reported by many entry hosts.
  publish_suspects(now);
  m_allowances.tick(now);
  for (const auto& [address, message] :
       m_overflow.tick([this] { return overflow_group(*m_replica); }, now)) {
    m_link.send(address, message);
  }
  if (now - m_renewals_sent_at >= kRenewalInterval) {
    send_renewals(now);
  }
  if (now - m_leases_checked_at >= kLeaseCheckInterval) {
    m_leases_checked_at = now;
    remove_expired_servers(now);
  }
  m_timer.expires_at(now + (m_replica->in_contact() ? kTickInterval : kElectionTickInterval));
  m_timer.async_wait([this](auto error) {
    if (!error) {
      tick();
    }
  });
}

void
ControlHost::update_leadership(TimePoint now)
{
  const bool leads = m_replica->leads();
  if (leads && !m_is_leader) {
    // Another host has tracked the leases until now.
    m_registrar.discard_leases();
    m_leases_checked_at = now;
  }
  m_is_leader = leads;
}

void
ControlHost::share_entry_hosts(TimePoint now)
{
  m_shared_at = now;
  m_share_pending = false;
  // A control host that was restarted or cut off learns of the suspects by this.
  const CrashReports reports = m_suspects.all(now);
  if (!reports.evidence.empty()) {
    send_to_members(reports);
  }
  EntryHosts message;
  for (const auto& [presence, age] : m_subscribed_hosts.unexpired_hosts(now)) {
    message.hosts.push_back(
      { .presence = presence, .age = std::chrono::duration_cast<std::chrono::milliseconds>(age) });
  }
  if (!message.hosts.empty()) {
    send_to_members(message);
  }
}

const std::vector<ServerInfo>&
ControlHost::servers()
{
  const StateMachine& machine = m_replica->machine();
  if (machine.servers_index() != m_servers_index || machine.servers_index() == 0) {
    m_servers = machine.all_servers();
    m_servers_index = machine.servers_index();
  }
  return m_servers;
}

void
ControlHost::remove_expired_servers(TimePoint now)
{
  // On other hosts the check only removes leases of servers that are gone.
  const std::vector<ServerInfo> expired = m_registrar.expired(servers(), now);
  if (!m_is_leader) {
    return;
  }
  for (const ServerInfo& server : expired) {
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
ControlHost::handle_request(const AdminRequest& request, const AdminServer::Reply& reply)
{
  const ControlCall call = m_protocol.decode_call(request);
  std::visit([&](const auto& typed) { handle_call(typed, reply); }, call);
}

void
ControlHost::send_reply(const AdminServer::Reply& reply, const ControlReply& content) const
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
        send_reply(reply, FailedReply{ unavailable(result.error().message) });
      } else {
        send_reply(reply, content);
      }
    },
    Clock::now());
}

void
ControlHost::handle_call(const LeaveCall& call, const AdminServer::Reply& reply)
{
  leave(call, AcceptedReply{}, reply);
}

// Acknowledges the leave of a server once no announcement of the same incarnation can join it any
// more, however late it arrives and at whichever control host.
void
ControlHost::leave(const LeaveCall& call,
                   const ControlReply& content,
                   const AdminServer::Reply& reply)
{
  if (m_replica->machine().has_left("", call.id, call.incarnation)) {
    send_reply(reply, content);
    return;
  }
  if (propose_leave(call, content, reply)) {
    return;
  }
  // The server may have joined through another host: the state of this host may be behind.
  confirm_state(*m_replica, [this, call, content, reply](bool confirmed) {
    if (!confirmed) {
      send_reply(
        reply,
        FailedReply{ unavailable("this host can't confirm that its list of servers is current") });
    } else if (!propose_leave(call, content, reply)) {
      propose_unknown_leave(call, content, reply);
    }
  });
}

// \return whether the call ends a known server
bool
ControlHost::propose_leave(const LeaveCall& call,
                           const ControlReply& content,
                           const AdminServer::Reply& reply)
{
  for (const ServerInfo& server : servers()) {
    const bool matches =
      server.id == call.id && (call.incarnation == 0 || call.incarnation >= server.incarnation);
    if (matches) {
      const std::uint64_t incarnation = std::max(call.incarnation, server.incarnation);
      m_log.info("server_leaves",
                 { { "server", server.id },
                   { "service", server.service },
                   { "incarnation", std::to_string(incarnation) } });
      propose(LeaveServer{ .id = server.id, .incarnation = incarnation }, content, reply);
      return true;
    }
  }
  return false;
}

void
ControlHost::propose_unknown_leave(const LeaveCall& call,
                                   const ControlReply& content,
                                   const AdminServer::Reply& reply)
{
  // Without an incarnation, nothing tells a delayed announcement from that of a later start.
  const bool remembered = call.incarnation != 0;
  const bool accepted = !remembered || m_unknown_leaves.try_take(1, Clock::now());
  m_log.info("server_leaves",
             { { "server", call.id },
               { "service", "unknown" },
               { "incarnation", std::to_string(call.incarnation) },
               { "accepted", accepted ? "yes" : "no" } });
  if (!accepted) {
    send_reply(reply, FailedReply{ unavailable("too many servers leave that have not joined") });
  } else if (remembered) {
    propose(LeaveServer{ .id = call.id, .incarnation = call.incarnation }, content, reply);
  } else {
    send_reply(reply, content);
  }
}

void
ControlHost::handle_call(const ResolveCall& call, const AdminServer::Reply& reply)
{
  AddressesReply content{ .addresses = m_directory.resolve(call.failure_domain, Clock::now()),
                          .ttl = std::min(kDirectoryTtl, m_settings.max_directory_ttl) };
  if (content.addresses.empty()) {
    send_reply(reply, FailedReply{ unavailable("no entry host is ready") });
  } else {
    send_reply(reply, content);
  }
}

void
ControlHost::handle_call(const UnknownCall&, const AdminServer::Reply& reply)
{
  send_reply(reply, NotFoundReply{});
}

void
ControlHost::handle_call(const RejectedCall& call, const AdminServer::Reply& reply)
{
  m_log.warn("call_rejected", { { "error", call.error.message }, { "remedy", call.error.remedy } });
  send_reply(reply, FailedReply{ call.error });
}

} // namespace lovagehold
