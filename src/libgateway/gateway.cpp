#include "lovagehold/gateway.h"

#include "caller_connection.h"
#include "cold_server_log.h"
#include "domain_traffic.h"
#include "lovagehold/connection_acceptor.h"

#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>

namespace lovagehold {

namespace {

// Time before the process exits at which the remaining requests are answered. Leaves a busy host
// the time to write the responses.
constexpr std::chrono::milliseconds kShutdownAnswerTime{ 200 };

} // namespace

struct Gateway::Impl
{
  Impl(asio::io_context& io, GatewayOptions options, EventLog& log)
    : context(std::make_shared<GatewayContext>(io, std::move(options), log))
    , acceptor(io,
               { .on_connection = [this](tcp::socket socket) { serve(std::move(socket)); },
                 .close_idle = [this] { return context->close_idle_caller(); } })
  {
  }

  void serve(tcp::socket socket)
  {
    const bool full = context->connections >= context->options.max_connections;
    if (full && !context->close_idle_caller()) {
      ++context->counters.connections_refused;
      return;
    }
    asio::co_spawn(context->io,
                   serve_caller(context, std::move(socket)),
                   context->report_exceptions("caller_connection"));
  }

  std::shared_ptr<GatewayContext> context;
  ConnectionAcceptor acceptor;
};

Gateway::Gateway(asio::io_context& context, GatewayOptions options, EventLog& log)
  : m_impl(std::make_shared<Impl>(context, std::move(options), log))
{
}

Gateway::~Gateway() = default;

Result<void>
Gateway::start()
{
  return m_impl->acceptor.start(m_impl->context->options.listen_address, "the address for callers");
}

void
Gateway::set_routing(const RoutingConfig& config)
{
  GatewayContext& context = *m_impl->context;
  if (!context.routing) {
    context.spread_until = Clock::now() + context.options.spread_time;
  }
  context.routing.emplace(config, context.random());
  for (asio::steady_timer* waiter : context.routing_waiters) {
    waiter->cancel();
  }
}

bool
Gateway::change_routing(const RoutingChange& change)
{
  GatewayContext& context = *m_impl->context;
  return context.routing && context.routing->apply(change);
}

void
Gateway::count_routing_change(Duration elapsed)
{
  ++m_impl->context->counters.routing_changes;
  m_impl->context->counters.routing_change_time += elapsed;
}

void
Gateway::set_servers(const std::vector<ServerInfo>& servers, TimePoint now)
{
  std::map<ServiceName, std::vector<ServerInfo>> by_service;
  for (const ServerInfo& server : servers) {
    by_service[server.service].push_back(server);
  }
  for (auto& [service, selector] : m_impl->context->selectors) {
    by_service.try_emplace(service);
  }
  for (const auto& [service, members] : by_service) {
    set_servers(service, members, now);
  }
}

void
Gateway::set_servers(const ServiceName& service,
                     const std::vector<ServerInfo>& servers,
                     TimePoint now)
{
  m_impl->context->selector(service).set_servers(servers, now);
}

void
Gateway::set_evacuated(std::set<std::string> domains, TimePoint now)
{
  GatewayContext& context = *m_impl->context;
  context.evacuated = std::move(domains);
  for (auto& [name, selector] : context.selectors) {
    const auto service = context.routing ? context.routing->service(name) : nullptr;
    selector.set_evacuated(
      context.evacuated, service ? service->warmup : std::chrono::milliseconds(0), now);
  }
  // Waiting requests may have no server left, or a server of a domain that is no longer evacuated.
  for (auto& [service, queue] : context.queues) {
    queue.wake_first();
  }
}

void
Gateway::set_entry_hosts(std::size_t hosts)
{
  GatewayContext& context = *m_impl->context;
  context.entry_hosts = hosts;
  context.host_count.report(hosts, Clock::now());
  for (auto& [service, budget] : context.budgets) {
    budget.set_hosts(hosts);
  }
  for (auto& [service, selector] : context.selectors) {
    selector.set_hosts(hosts);
  }
}

void
Gateway::add_crash_evidence(const std::vector<CrashEvidence>& evidence, TimePoint now)
{
  CrashSuspects& suspects = m_impl->context->suspects;
  suspects.expire(now);
  for (const CrashEvidence& item : evidence) {
    const bool was_quarantined = suspects.quarantined_until(item.request, now).has_value();
    suspects.merge(item, now);
    const auto until = suspects.quarantined_until(item.request, now);
    if (until.has_value() != was_quarantined) {
      m_impl->context->log.warn(
        until ? "request_quarantined" : "request_released",
        { { "request", fmt::format("{:016x}", item.request) },
          { "service", item.service },
          { "crashes", std::to_string(suspects.crashes(item.request, now)) } });
    }
  }
}

std::map<ServiceName, DomainServiceLoad>
Gateway::take_domain_loads(TimePoint now)
{
  return lovagehold::take_domain_loads(*m_impl->context, now);
}

void
Gateway::set_domain_shares(const std::vector<ServiceShares>& shares, TimePoint as_of)
{
  lovagehold::set_domain_shares(*m_impl->context, shares, as_of);
}

void
Gateway::begin_shutdown(TimePoint deadline, TimePoint now)
{
  GatewayContext& context = *m_impl->context;
  context.shutdown = { .begin = now, .end = deadline - kShutdownAnswerTime };
  context.shutting_down = true;
  for (const auto& [number, caller] : context.idle_callers) {
    caller->cancel();
  }
  for (asio::steady_timer* waiter : context.forwarding_waiters) {
    waiter->cancel();
  }
}

std::size_t
Gateway::in_progress() const
{
  return m_impl->context->in_progress;
}

std::size_t
Gateway::connections() const
{
  return m_impl->context->connections;
}

std::uint64_t
Gateway::version() const
{
  return m_impl->context->routing ? m_impl->context->routing->version() : 0;
}

const GatewayCounters&
Gateway::counters() const
{
  return m_impl->context->counters;
}

std::vector<GatewayServiceStatus>
Gateway::services() const
{
  std::vector<GatewayServiceStatus> services;
  for (const auto& [name, selector] : m_impl->context->selectors) {
    services.push_back(
      { .name = name, .servers = selector.size(), .in_progress = selector.in_progress() });
  }
  return services;
}

std::string
Gateway::render_metrics() const
{
  const GatewayContext& context = *m_impl->context;
  MetricsText text;
  const auto add = [&text](const char* name, const char* type, const char* help, double value) {
    text.begin(name, type, help);
    text.sample({}, value);
  };
  const GatewayCounters& counters = context.counters;
  const auto count = [&add](const char* name, const char* help, std::uint64_t value) {
    add(name, "counter", help, static_cast<double>(value));
  };
  count("lovagehold_caller_requests_total", "Requests of callers.", counters.requests);
  count("lovagehold_served_total", "Responses passed on whole.", counters.served);
  count("lovagehold_refused_total", "Requests refused with 503.", counters.refused);
  count("lovagehold_failed_total", "Requests that ended otherwise.", counters.failed);
  count("lovagehold_abandoned_total", "Requests whose caller left.", counters.abandoned);
  count("lovagehold_retries_total", "Attempts after a failed one.", counters.retries);
  count("lovagehold_hedges_total", "Attempts beside a slow one.", counters.hedges);
  count("lovagehold_probes_total", "Health checks sent.", counters.probes);
  count("lovagehold_connections_refused_total",
        "Connections of callers closed at once because there are too many.",
        counters.connections_refused);
  count("lovagehold_exceptions_total",
        "Exceptions that ended the serving of a connection, an attempt or a probe.",
        counters.exceptions);
  count("lovagehold_server_connections_total",
        "Connections opened to servers.",
        counters.server_connections);
  count(
    "lovagehold_server_crashes_total", "Attempts whose server crashed.", counters.server_crashes);
  count("lovagehold_quarantined_requests_total",
        "Requests not sent because they crash their servers.",
        counters.quarantined);
  count("lovagehold_permits_requested_total",
        "Permits for limited servers that were asked for.",
        counters.permits_requested);
  count("lovagehold_permits_granted_total",
        "Permits for limited servers that were granted.",
        counters.permits_granted);
  count("lovagehold_routing_changes_total",
        "Changes of the routing configuration put in force.",
        counters.routing_changes);
  add("lovagehold_routing_change_seconds_total",
      "counter",
      "Time spent on changes of the routing configuration.",
      std::chrono::duration<double>(counters.routing_change_time).count());
  add("lovagehold_requests_in_progress",
      "gauge",
      "Requests being served.",
      static_cast<double>(context.in_progress));
  std::size_t limited = 0;
  for (const auto& [service, selector] : context.selectors) {
    limited += selector.limited_count();
  }
  add("lovagehold_quarantined_fingerprints",
      "gauge",
      "Different requests that are quarantined.",
      static_cast<double>(context.suspects.quarantined_count(Clock::now())));
  add("lovagehold_limited_servers",
      "gauge",
      "Servers that name a request limit.",
      static_cast<double>(limited));
  add("lovagehold_evacuated_domains",
      "gauge",
      "Failure domains that are evacuated.",
      static_cast<double>(context.evacuated.size()));
  std::size_t waiting = 0;
  for (const auto& [service, queue] : context.queues) {
    waiting += queue.size();
  }
  add("lovagehold_requests_waiting",
      "gauge",
      "Requests that wait for room at a server.",
      static_cast<double>(waiting));
  add("lovagehold_caller_connections",
      "gauge",
      "Connections of callers.",
      static_cast<double>(context.connections));
  add("lovagehold_routing_version",
      "gauge",
      "Version of the routing configuration in force.",
      static_cast<double>(version()));
  context.account_counters.render(text);
  render_cold_metrics(context, text, Clock::now());
  add_domain_metrics(context, text);
  return text.text() + context.metrics.render();
}

} // namespace lovagehold
