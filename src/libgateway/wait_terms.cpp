#include "wait_terms.h"

namespace lovagehold {

namespace {

// Share of accounts without a rate, and of all requests without an account together: that of an
// account with a rate of one request per second.
constexpr double kDefaultShare = 1;

} // namespace

WaitTerms
wait_terms(GatewayContext& context,
           const GatewayRequest& request,
           TimePoint deadline,
           TimePoint now)
{
  const Route& route = *request.route;
  WaitTerms terms{ .request = { .priority = request.priority(),
                                .route_priority = route.priority,
                                .arrived = request.arrived },
                   .usual_end =
                     context.admission.latest_start(now, route.target_latency, deadline) };
  if (!context.has_accounts()) {
    return terms;
  }
  if (request.account != nullptr) {
    terms.request.account = request.account->name;
    terms.request.share = request.account->rate > 0 ? request.account->rate : kDefaultShare;
  }
  const Duration work =
    context.selector(request.service).mean_request_time().value_or(Duration{ 0 });
  terms.request.meets_until = request.arrived - request.age + route.target_latency - work;
  terms.in_time_end = context.admission.latest_start(
    std::min(terms.request.meets_until, deadline - work), std::chrono::milliseconds(0), deadline);
  terms.follows_queue = true;
  return terms;
}

RefusalState
refusal_state(GatewayContext& context,
              const GatewayRequest& request,
              RefusalCause cause,
              TimePoint now)
{
  const ServerSelector& selector = context.selector(request.service);
  WaitingQueue& queue = context.queues[request.service];
  const bool books = cause == RefusalCause::ServersFull && context.has_accounts();
  return { .pause_end = selector.is_callable_until(now, now) ? selector.cold_return(now)
                                                             : selector.earliest_return(now),
           .mean_request_time = selector.mean_request_time(),
           .waiting = queue.size(),
           .servers = selector.size(),
           .caller_deadline = request.caller_deadline,
           .opens_after = books ? queue.book_return(now) : std::nullopt };
}

} // namespace lovagehold
