#include "request_log.h"

#include <fmt/format.h>

namespace lovagehold {

namespace {

void
count_refusal(GatewayContext& context,
              const ClientAccount* account,
              const Route& route,
              const std::optional<RefusalCause>& cause)
{
  if (cause && context.has_accounts()) {
    context.account_counters.count_refusal(
      account, route.kind, *cause, context.routing->accounts());
  }
}

void
record_latency(GatewayContext& context,
               const ServiceName& service,
               const Route& route,
               unsigned status,
               Duration latency)
{
  const RequestClass request_class =
    route.kind == RouteKind::Idempotent ? RequestClass::Urgent : RequestClass::NonIdempotent;
  RequestOutcome outcome = RequestOutcome::Served;
  // The status is 0 if the caller disconnected before a response was sent.
  if (status == 0) {
    outcome = RequestOutcome::Aborted;
  } else if (status == 503) {
    outcome = RequestOutcome::Refused;
  } else if (status >= 500) {
    outcome = RequestOutcome::Unknown;
  }
  context.metrics.record(service, request_class, outcome, latency);
}

} // namespace

void
record_request(GatewayContext& context,
               const Route& route,
               const ClientAccount* account,
               const RequestEnd& end,
               const ForwardedRequest& forwarded)
{
  const Duration latency = Clock::now() - end.arrived;
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(latency);
  const bool abandoned = forwarded.abandoned();
  const bool failed = end.status >= 500 || abandoned;
  std::vector<LogField> fields = {
    { "id", end.id },
    { "route", route.name },
    { "service", forwarded.service() },
    { "request", fmt::format("{:016x}", forwarded.fingerprint()) },
    { "routing", std::to_string(context.routing->version()) },
    { "status", abandoned ? "caller_left" : std::to_string(end.status) },
    { "ms", std::to_string(elapsed.count()) },
    { "timeout_ms", std::to_string(route.timeout.count()) },
    { "attempts", forwarded.describe_attempts() },
    { "budget_left", fmt::format("{:.1f}", forwarded.budget_left()) },
    { "reason", failed ? forwarded.error_response().reason : "" },
    { "detail", failed ? forwarded.error_response().detail : "" }
  };
  if (account != nullptr) {
    fields.emplace_back("account", account->name);
  }
  // The log limits the rate of each event separately, so failures have an event of their own that
  // successful requests never displace.
  if (failed) {
    context.log.warn("request_failed", fields);
  } else {
    context.log.info("request", fields);
  }
  record_latency(context, forwarded.service(), route, end.status, latency);
  if (context.has_accounts()) {
    context.account_counters.count_request(account, route.kind, context.routing->accounts());
  }
  if (!abandoned && forwarded.response() == nullptr) {
    count_refusal(context, account, route, forwarded.error_response().cause);
  }
}

void
record_refusal(GatewayContext& context,
               const IncomingRequest& request,
               const Route* route,
               const GatewayErrorResponse& error_response)
{
  const auto& header = request.parser.get();
  const std::uint64_t version = context.routing ? context.routing->version() : 0;
  std::vector<LogField> fields = { { "id",
                                     std::string(header[context.options.headers.request_id]) },
                                   { "caller_host", std::string(header[http::field::host]) },
                                   { "target", std::string(header.target()) },
                                   { "routing", std::to_string(version) },
                                   { "status", std::to_string(error_response.status) },
                                   { "reason", error_response.reason } };
  if (request.account != nullptr) {
    fields.emplace_back("account", request.account->name);
  }
  context.log.warn("request_refused", fields);
  if (route != nullptr) {
    count_refusal(context, request.account.get(), *route, error_response.cause);
  }
}

void
log_rejected_request(GatewayContext& context, const RequestFault& fault)
{
  context.log.warn("request_rejected",
                   { { "status", std::to_string(static_cast<unsigned>(fault.status)) },
                     { "error", fault.error } });
}

} // namespace lovagehold
