#include "entry_host.h"

#include "allowance_wiring.h"
#include "lovagehold/home_selector.h"
#include "lovagehold/metrics.h"
#include "lovagehold/routing_updates.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 500 };
// Tick interval until the host is ready; callers wait for that after a restart.
constexpr std::chrono::milliseconds kStartupTickInterval{ 50 };
// Another control host is looked for once acknowledged changes may have been missing for this time,
// so that they arrive within 2 s.
constexpr std::chrono::milliseconds kMaxStateAge{ 1000 };
// Until the state is first confirmed, another control host is followed after this time without an
// answer. After a restart of all, the control hosts of the settings answer many entry hosts; one
// that can't be reached at all is left earlier.
constexpr std::chrono::milliseconds kFirstControlTimeout{ 1000 };
// Time for which callers may cache the addresses of entry hosts; the settings may lower it.
constexpr std::chrono::milliseconds kDirectoryTtl{ 5000 };
// Hosts that start together are ready within two seconds, and callers learn of it within another.
constexpr std::chrono::milliseconds kSpreadTime{ 3000 };
constexpr std::chrono::milliseconds kShutdownCheckInterval{ 200 };
// A shutdown takes at least this time, because callers cache an address after it has been
// withdrawn.
constexpr std::chrono::milliseconds kMinShutdownTime{ 5300 };
// Time reserved at the end of the grace period for the last writes.
constexpr std::chrono::milliseconds kShutdownMargin{ 400 };
// Part of the slack of cold servers that all hosts together may save up; the rest covers the random
// spread, see ColdServerShareOptions::depth.
constexpr double kColdShareOfSlack = 5.0 / 32;
// File descriptors reserved for files and for connections to other hosts and servers.
constexpr std::size_t kReservedDescriptors = 900;

// Orders the addresses by the length of the prefix they share with the own address. Hosts of one
// network usually share a prefix; until the failure domains of the control hosts are known, a near
// one is the better first choice. Hosts spread over addresses that are equally near.
std::vector<std::string>
nearest_first(std::vector<std::string> addresses, const std::string& own)
{
  const auto rank = [&own](const std::string& address) {
    const auto common_prefix =
      std::mismatch(address.begin(), address.end(), own.begin(), own.end()).first - address.begin();
    return std::pair(common_prefix, rendezvous_weight(own, address));
  };
  std::sort(addresses.begin(), addresses.end(), [&](const auto& a, const auto& b) {
    return rank(a) > rank(b);
  });
  return addresses;
}

GatewayOptions
gateway_options(const SiteSettings& settings,
                const SiteProtocol& protocol,
                RequestPermit request_permit,
                RequestAllowance request_allowance,
                std::function<void(const CrashEvidence&)> on_crash_evidence)
{
  return { .host = settings.host,
           .failure_domain = settings.failure_domain,
           .listen_address = settings.entry_address,
           .headers = protocol.headers,
           .retry_budget = settings.retry_budget,
           .max_connections = settings.max_descriptors > 2 * kReservedDescriptors
                                ? settings.max_descriptors - kReservedDescriptors
                                : settings.max_descriptors / 2,
           .probes_per_second = settings.probes_per_second,
           .spread_time = kSpreadTime,
           .link_mbps = settings.link_mbps,
           .cold_share_depth = kColdShareOfSlack * settings.warmup.slack,
           .request_permit = std::move(request_permit),
           .request_allowance = std::move(request_allowance),
           .domain_overflow = decides_overflow(settings),
           .crash_suspects = { .quarantine = settings.quarantine },
           .on_crash_evidence = std::move(on_crash_evidence),
           .seed = std::random_device{}() };
}

} // namespace

EntryHost::EntryHost(boost::asio::io_context& context,
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
      [this](const std::string& from, const ClusterMessage& message) { receive(from, message); },
      [this](const std::string& address) { m_client->unreachable(address, Clock::now()); })
  , m_permits([this](const std::string& address, const ClusterMessage& message) {
    m_link.send(address, message);
  })
  , m_allowances([this](const std::string& address,
                        const ClusterMessage& message) { m_link.send(address, message); },
                 allowance_client_options(m_settings,
                                          m_log,
                                          [this] { return choose_peer(m_directory, m_settings); }))
  , m_allowance_relay([this](const std::string& address, const ClusterMessage& message) {
    m_link.send(address, message);
  })
  , m_gateway(context,
              gateway_options(
                m_settings,
                m_protocol,
                [this](const PermitQuery& query, PermitClient::AnswerHandler handler) {
                  request_permit(query, std::move(handler));
                },
                [this](const std::shared_ptr<const ClientAccount>& account,
                       AllowanceClient::Handler handler) {
                  request_allowance(account, std::move(handler));
                },
                [this](const CrashEvidence& evidence) { send_crash_evidence(evidence); }),
              log)
  , m_overflow(context,
               m_gateway,
               m_settings.failure_domain,
               [this](const std::string& address, const ClusterMessage& message) {
                 m_link.send(address, message);
               })
  , m_readiness_server(
      context,
      [this](const AdminRequest&, const AdminServer::Reply& reply) {
        reply({ .status = is_ready() ? 200U : 503U });
      },
      log,
      admin_options(m_settings))
  , m_evacuations(log, "evacuation_in_force")
  , m_timer(context)
  , m_shutdown_timer(context)
  , m_permit_timer(context)
  , m_allowance_timer(context)
{
  ControlClientOptions options{
    .control_addresses = nearest_first(m_settings.seeds, m_settings.cluster_address),
    .subscribe_interval = kStartupTickInterval,
    .subscription_timeout = kFirstControlTimeout,
    .renew_interval = kTickInterval,
    .max_state_age = kMaxStateAge,
    .address = m_settings.cluster_address,
    .failure_domain = m_settings.failure_domain,
    .on_source =
      [this](const std::string& address, const char* reason) {
        m_log.info("control_followed", { { "control", address }, { "reason", reason } });
      },
    .on_entry_hosts =
      [this](std::uint64_t hosts) {
        m_gateway.set_entry_hosts(hosts);
        m_allowances.set_hosts(hosts);
      },
    .on_control_hosts =
      [this](const std::vector<ControlAddress>& hosts) {
        std::vector<std::string> members;
        members.reserve(hosts.size());
        for (const ControlAddress& host : hosts) {
          members.push_back(host.address);
        }
        m_control_hosts = members;
        m_allowances.set_members(members);
        m_allowance_relay.set_members(members);
        m_permits.set_members(std::move(members));
      },
    .presence = [this]() -> std::optional<EntryPresence> {
      return EntryPresence{ .address = m_settings.entry_address,
                            .failure_domain = m_settings.failure_domain,
                            .ready = is_ready() };
    },
    .directory_version = [this] { return m_directory.version; }
  };
  m_client = std::make_unique<ControlClient>(
    std::move(options),
    [this](const std::string& address, const ClusterMessage& message) {
      m_link.send(address, message);
    },
    [this](const StateMachine&) { schedule_update(); });
}

Result<void>
EntryHost::start()
{
  BOOST_OUTCOME_TRYV(m_link.start());
  BOOST_OUTCOME_TRYV(m_gateway.start());
  BOOST_OUTCOME_TRYV(m_readiness_server.start(m_settings.readiness_address));
  if (!m_settings.directory_address.empty()) {
    m_directory_server = std::make_unique<AdminServer>(
      m_context,
      [this](const AdminRequest& request, const AdminServer::Reply& reply) {
        handle_directory_request(request, reply);
      },
      m_log,
      admin_options(m_settings));
    BOOST_OUTCOME_TRYV(m_directory_server->start(m_settings.directory_address));
  }
  if (decides_overflow(m_settings)) {
    m_overflow.start();
  }
  tick();
  return boost::outcome_v2::success();
}

void
EntryHost::stop()
{
  m_timer.cancel();
  m_overflow.stop();
  m_shutdown_timer.cancel();
  m_permit_timer.cancel();
  m_allowance_timer.cancel();
  m_link.stop();
}

void
EntryHost::reload(const SiteSettings& settings)
{
  m_settings.seeds = settings.seeds;
  m_settings.shutdown_grace = settings.shutdown_grace;
  m_settings.max_directory_ttl = settings.max_directory_ttl;
  m_client->set_seeds(nearest_first(m_settings.seeds, m_settings.cluster_address));
}

std::string
EntryHost::render_metrics() const
{
  MetricsText text;
  text.begin("lovagehold_applied_index", "gauge", "Last applied entry of the control group's log.");
  text.sample({}, static_cast<double>(m_client->state().applied_index()));
  text.begin("lovagehold_state_age_seconds",
             "gauge",
             "Time since which acknowledged changes may be missing.");
  text.sample({}, seconds_or_infinity(m_client->state_age(Clock::now())));
  text.begin(
    "lovagehold_dropped_messages_total", "counter", "Messages to other hosts that were dropped.");
  text.sample({}, static_cast<double>(m_link.dropped_messages()));
  render_allowance_metrics(text, m_allowances, Clock::now());
  return m_gateway.render_metrics() + text.text();
}

SiteStatus
EntryHost::status() const
{
  SiteStatus status{ .host = m_settings.host,
                     .version = m_gateway.version(),
                     .ready = is_ready(),
                     .state_age = m_client->state_age(Clock::now()),
                     .services = m_gateway.services(),
                     .evacuations = m_evacuations.evacuations() };
  for (const std::string& seed : m_settings.seeds) {
    status.hosts.push_back(
      { .id = seed, .status_address = with_port_of(seed, m_settings.metrics_address) });
  }
  return status;
}

bool
EntryHost::is_ready() const
{
  return !m_shutting_down && m_client->ready() && m_gateway.version() > 0;
}

void
EntryHost::receive(const std::string& from, const ClusterMessage& message)
{
  if (const auto* addresses = std::get_if<EntryAddresses>(&message)) {
    if (addresses->version != m_directory.version) {
      m_directory_changed_at = Clock::now();
    }
    m_directory = *addresses;
    return;
  }
  if (const auto* permit = std::get_if<PermitReply>(&message)) {
    m_permits.receive(*permit);
    return;
  }
  if (const auto* allowance = std::get_if<AllowanceReply>(&message)) {
    if (!m_allowance_relay.receive(*allowance)) {
      m_allowances.receive(*allowance, Clock::now());
      await_allowances();
    }
    return;
  }
  if (const auto* question = std::get_if<AllowanceQuery>(&message)) {
    m_allowance_relay.forward(from, *question, Clock::now());
    return;
  }
  if (const auto* restricted = std::get_if<RestrictedAccounts>(&message)) {
    m_allowances.receive(*restricted, Clock::now());
    return;
  }
  if (const auto* crashes = std::get_if<CrashReports>(&message)) {
    m_gateway.add_crash_evidence(crashes->evidence, Clock::now());
    return;
  }
  if (const auto* shares = std::get_if<DomainShares>(&message)) {
    m_overflow.receive(*shares, Clock::now());
    return;
  }
  if (std::holds_alternative<Entries>(message)) {
    m_allowances.contact(Clock::now());
    m_overflow.follow(from);
  }
  m_client->receive(from, message, Clock::now());
}

void
EntryHost::handle_directory_request(const AdminRequest& request, const AdminServer::Reply& reply)
{
  const ControlCall call = m_protocol.decode_call(request);
  const auto* resolve = std::get_if<ResolveCall>(&call);
  if (resolve == nullptr) {
    reply(m_protocol.encode_reply(NotFoundReply{}));
    return;
  }
  const auto requested = m_directory.by_domain.find(resolve->failure_domain);
  const auto found =
    requested != m_directory.by_domain.end() ? requested : m_directory.by_domain.begin();
  if (found == m_directory.by_domain.end() || found->second.empty()) {
    reply(m_protocol.encode_reply(FailedReply{ { .kind = ErrorKind::Unavailable,
                                                 .message = "no entry host is known to be ready",
                                                 .remedy = "retry on another host" } }));
    return;
  }
  const auto max_ttl = std::min(kDirectoryTtl, m_settings.max_directory_ttl);
  reply(m_protocol.encode_reply(
    AddressesReply{ .addresses = found->second,
                    .ttl = directory_ttl(Clock::now() - m_directory_changed_at, max_ttl) }));
}

// Messages that have already arrived are applied to the state first, so that versions which one
// of them supersedes are not decoded.
void
EntryHost::schedule_update()
{
  if (!std::exchange(m_update_scheduled, true)) {
    boost::asio::post(m_context, [this] {
      m_update_scheduled = false;
      apply_state();
    });
  }
}

void
EntryHost::apply_state()
{
  const TimePoint now = Clock::now();
  apply_routing();
  apply_evacuations(now);
  apply_servers(now);
  if (is_ready() != m_was_ready) {
    m_was_ready = is_ready();
    m_log.info("readiness", { { "ready", m_was_ready ? "yes" : "no" } });
    m_client->announce(now);
  }
}

void
EntryHost::apply_routing()
{
  const StateMachine& state = m_client->state();
  const std::uint64_t old_version = m_gateway.version();
  if (state.routing_version() <= old_version) {
    return;
  }
  const std::string version = std::to_string(state.routing_version());
  const TimePoint begin = Clock::now();
  const auto update = find_routing_update(state, old_version, m_protocol.decode_routing);
  if (update.has_error()) {
    m_log.warn("routing_unreadable",
               { { "version", version }, { "error", update.error().message } });
    return;
  }
  if (update.value().config) {
    m_gateway.set_routing(*update.value().config);
  }
  for (const auto& change : update.value().changes) {
    m_gateway.change_routing(*change);
  }
  const Duration elapsed = Clock::now() - begin;
  m_gateway.count_routing_change(elapsed);
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
  m_log.info("routing_in_force",
             { { "version", version },
               { "from", std::to_string(old_version) },
               { "whole", update.value().config ? "yes" : "no" },
               { "index", std::to_string(state.applied_index()) },
               { "us", std::to_string(us) } });
}

void
EntryHost::apply_evacuations(TimePoint now)
{
  if (m_evacuations.update(m_client->state())) {
    std::set<std::string> domains;
    for (const auto& [domain, index] : m_evacuations.evacuations()) {
      domains.insert(domain);
    }
    m_gateway.set_evacuated(std::move(domains), now);
  }
}

void
EntryHost::apply_servers(TimePoint now)
{
  const StateMachine& state = m_client->state();
  if (const auto services = state.services_changed_since(m_servers_index)) {
    for (const ServiceName& service : *services) {
      m_gateway.set_servers(service, state.servers(service), now);
    }
  } else {
    m_gateway.set_servers(state.all_servers(), now);
  }
  m_servers_index = state.servers_index();
}

void
EntryHost::tick()
{
  const TimePoint now = Clock::now();
  m_client->tick(now);
  m_timer.expires_at(m_client->ready() ? m_client->next_tick() : now + kStartupTickInterval);
  m_timer.async_wait([this](auto error) {
    if (!error) {
      tick();
    }
  });
}

// All control hosts are told, so that none of them has to pass it on to the others.
void
EntryHost::send_crash_evidence(const CrashEvidence& evidence)
{
  for (const std::string& control : m_control_hosts) {
    m_link.send(control, CrashReports{ { evidence } });
  }
}

void
EntryHost::request_permit(const PermitQuery& query, PermitClient::AnswerHandler handler)
{
  const bool idle = m_permits.next_expiry() == TimePoint::max();
  m_permits.request(query, std::move(handler), Clock::now());
  if (idle) {
    await_permits();
  }
}

void
EntryHost::await_permits()
{
  const TimePoint next = m_permits.next_expiry();
  if (next == TimePoint::max()) {
    return;
  }
  m_permit_timer.expires_at(next);
  m_permit_timer.async_wait([this](auto error) {
    if (!error) {
      m_permits.expire(Clock::now());
      await_permits();
    }
  });
}

void
EntryHost::request_allowance(const std::shared_ptr<const ClientAccount>& account,
                             AllowanceClient::Handler handler)
{
  m_allowances.request(account, m_gateway.version(), std::move(handler), Clock::now());
  await_allowances();
}

void
EntryHost::await_allowances()
{
  const TimePoint next = m_allowances.next_tick();
  if (next == TimePoint::max() || next == m_allowance_timer.expiry()) {
    return;
  }
  m_allowance_timer.expires_at(next);
  m_allowance_timer.async_wait([this](auto error) {
    if (!error) {
      m_allowances.tick(Clock::now());
      await_allowances();
    }
  });
}

void
EntryHost::begin_shutdown(std::function<void()> done)
{
  m_shutting_down = true;
  m_on_shutdown_done = std::move(done);
  m_shutdown_started = Clock::now();
  m_gateway.begin_shutdown(m_shutdown_started + m_settings.shutdown_grace - kShutdownMargin,
                           m_shutdown_started);
  m_client->announce(m_shutdown_started);
  m_log.info("shutdown_begins",
             { { "requests", std::to_string(m_gateway.in_progress()) },
               { "connections", std::to_string(m_gateway.connections()) } });
  check_shutdown();
}

void
EntryHost::check_shutdown()
{
  const Duration elapsed = Clock::now() - m_shutdown_started;
  const bool idle = m_gateway.in_progress() == 0 && m_gateway.connections() == 0;
  if ((elapsed >= kMinShutdownTime && idle) ||
      elapsed >= m_settings.shutdown_grace - kShutdownMargin) {
    m_on_shutdown_done();
    return;
  }
  m_shutdown_timer.expires_after(kShutdownCheckInterval);
  m_shutdown_timer.async_wait([this](auto error) {
    if (!error) {
      check_shutdown();
    }
  });
}

} // namespace lovagehold
