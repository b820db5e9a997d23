#include "server_admission.h"

#include "cold_server_log.h"

#include <limits>
#include <utility>

namespace lovagehold {

ServerAdmission::ServerAdmission(GatewayContext& context,
                                 ServiceName service,
                                 std::shared_ptr<const RoutedService> config)
  : m_context(context)
  , m_service(std::move(service))
  , m_config(std::move(config))
{
  selector(Clock::now());
}

// Applies the configuration of the service first, which may have changed since the last request.
ServerSelector&
ServerAdmission::selector(TimePoint now)
{
  ServerSelector& selector = m_context.selector(m_service);
  selector.set_cold_share({ .rate = m_config ? m_config->warmup_rate : 0,
                            .depth = m_context.options.cold_share_depth,
                            .hosts = m_context.host_count.value(now) },
                          now);
  log_cold_changes(m_context, selector, now);
  return selector;
}

awaitable<bool>
ServerAdmission::obtain_permit(const std::set<ServerId>& tried, double max_cost, TimePoint latest)
{
  const TimePoint now = Clock::now();
  m_server.clear();
  m_share_taken = false;
  if (now >= latest || !m_context.options.request_permit) {
    co_return false;
  }
  PermitQuery query{ .service = m_service,
                     .candidates =
                       selector(now).permit_candidates(tried, latest - now, max_cost, now),
                     .max_wait =
                       std::chrono::duration_cast<std::chrono::milliseconds>(latest - now) };
  bool share_taken = false;
  if (query.candidates.empty() && max_cost == std::numeric_limits<double>::max()) {
    query.candidates =
      selector(now).cold_permit_candidates(tried, latest - now, now, m_context.random);
    share_taken = !query.candidates.empty();
  }
  if (query.candidates.empty()) {
    co_return false;
  }
  ++m_context.counters.permits_requested;
  // The handler may be called after this coroutine has been destroyed.
  const auto timer = std::make_shared<asio::steady_timer>(m_context.io, TimePoint::max());
  const auto answer = std::make_shared<std::optional<PermitAnswer>>();
  m_context.options.request_permit(query, [answer, timer](const PermitAnswer& received) {
    *answer = received;
    timer->cancel();
  });
  boost::system::error_code ignored;
  if (!*answer) {
    co_await timer->async_wait(capture(ignored));
  }
  const PermitAnswer permit = answer->value_or(PermitAnswer{});
  if (permit.server.empty()) {
    m_context.selector(m_service).deny(query.candidates, Clock::now() + permit.wait);
    co_return false;
  }
  ++m_context.counters.permits_granted;
  if (permit.wait.count() > 0) {
    timer->expires_after(permit.wait);
    co_await timer->async_wait(capture(ignored));
  }
  m_server = permit.server;
  m_share_taken = share_taken;
  co_return true;
}

bool
ServerAdmission::obtain_share(const std::set<ServerId>& tried, TimePoint latest, TimePoint now)
{
  if (now >= latest) {
    return false;
  }
  ServerSelector& servers = selector(now);
  if (!servers.has_cold(tried, now)) {
    return false;
  }
  const auto server = servers.pick_cold(now, tried, m_context.random);
  if (!server) {
    m_context.counters.cold_waits += std::exchange(m_has_waited, true) ? 0 : 1;
    return false;
  }
  m_server = server->id;
  m_share_taken = true;
  return true;
}

std::optional<ServerInfo>
ServerAdmission::take_server(TimePoint now)
{
  const ServerId permitted = std::exchange(m_server, {});
  const bool share_taken = std::exchange(m_share_taken, false);
  const ServerSelector& servers = m_context.selector(m_service);
  // The server may have turned cold while the request waited for its permit to become valid.
  if (permitted.empty() || (servers.is_cold(permitted, now) && !share_taken)) {
    return std::nullopt;
  }
  return servers.find_callable(permitted, now);
}

RefusalCause
ServerAdmission::refusal_cause(TimePoint now) const
{
  const ServerSelector& servers = m_context.selector(m_service);
  if (servers.has_cold({}, now)) {
    return RefusalCause::ServersCold;
  }
  return servers.limited_count() > 0 ? RefusalCause::LimitsUsedUp : RefusalCause::NoServer;
}

const char*
ServerAdmission::describe_refusal(TimePoint now) const
{
  switch (refusal_cause(now)) {
    case RefusalCause::ServersCold:
      return "the service's servers are warming up";
    case RefusalCause::LimitsUsedUp:
      return "the request limits of the servers are used up";
    default:
      return "no server of the service is available";
  }
}

} // namespace lovagehold
