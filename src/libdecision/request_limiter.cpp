#include "lovagehold/request_limiter.h"

#include "lovagehold/home_selector.h"

#include <algorithm>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// Members that grant permits for a service: the preferred one and its stand-in.
constexpr std::size_t kLimiters = 2;
// Part of a limit that the stand-in may grant while others still reach the preferred limiter.
constexpr double kStandInShare = 0.25;
// A limiter that did not answer is asked again after this time: control hosts restart in about a
// second.
constexpr milliseconds kAvoidTime{ 1000 };
// Upper limit of the time between two requests, which keeps tiny limits from overflowing.
constexpr std::chrono::hours kMaxInterval{ 1 };

// Smallest number of requests by which a rate is divided.
constexpr double kMinRequests = 1e-9;

Duration
interval_of(double rate)
{
  const std::chrono::duration<double> interval(1 / rate);
  return interval < kMaxInterval ? std::chrono::duration_cast<Duration>(interval)
                                 : Duration(kMaxInterval);
}

milliseconds
time_until(TimePoint time, TimePoint now)
{
  return std::max(std::chrono::ceil<milliseconds>(time - now), milliseconds(0));
}

} // namespace

// Time that has been granted ahead keeps its number of requests.
void
RequestLimiter::change_limit(State& state, double limit, double share, TimePoint now)
{
  if (limit * share > 0 && limit != state.limit) {
    const std::chrono::duration<double> ahead = std::max(state.next - now, Duration::zero());
    const double requests = state.limit > 0 ? ahead.count() * state.limit * share : 1;
    state.next = now + interval_of(limit * share / std::max(requests, kMinRequests));
  }
  state.limit = limit;
}

PermitAnswer
RequestLimiter::request(const PermitQuery& query, double share, TimePoint now)
{
  const LimitedServer* best = nullptr;
  TimePoint best_time;
  State* best_state = nullptr;
  for (const LimitedServer& server : query.candidates) {
    State& state = update(query.service, server, share, now);
    const bool permitted = server.incarnation == state.incarnation && state.limit * share > 0;
    const TimePoint time = std::max(state.next, now);
    if (permitted && (best == nullptr || time < best_time)) {
      best = &server;
      best_time = time;
      best_state = &state;
    }
  }
  if (best == nullptr) {
    return { .wait = m_options.max_retry };
  }
  const milliseconds wait = time_until(best_time, now);
  if (wait > std::min(query.max_wait, m_options.max_wait)) {
    return { .wait = std::min(wait, m_options.max_retry) };
  }
  best_state->next =
    std::max(best_state->next, now - m_options.burst) + interval_of(best_state->limit * share);
  return { .server = best->id, .wait = wait };
}

// Applies what the host knows of the server, which may be older than what other hosts have told.
RequestLimiter::State&
RequestLimiter::update(const ServiceName& service,
                       const LimitedServer& server,
                       double share,
                       TimePoint now)
{
  const auto [entry, is_new] = m_servers.try_emplace({ service, server.id });
  State& state = entry->second;
  const TimePoint named_at = now - server.age;
  if (is_new || server.incarnation > state.incarnation) {
    state = { .incarnation = server.incarnation, .named_at = named_at };
    change_limit(state, server.limit, share, now);
  } else if (server.incarnation == state.incarnation && named_at > state.named_at) {
    change_limit(state, server.limit, share, now);
    state.named_at = named_at;
  }
  state.last_query = now;
  return state;
}

void
RequestLimiter::expire(TimePoint now)
{
  std::erase_if(m_servers, [&](const auto& entry) {
    return now - entry.second.last_query >= m_options.retention;
  });
}

std::vector<std::string>
limiters_of(const ServiceName& service, const std::vector<std::string>& members)
{
  std::vector<std::string> ranked = members;
  std::sort(ranked.begin(), ranked.end(), [&](const std::string& a, const std::string& b) {
    return std::pair(rendezvous_weight(service, a), a) >
           std::pair(rendezvous_weight(service, b), b);
  });
  ranked.resize(std::min(ranked.size(), kLimiters));
  return ranked;
}

double
limiter_share(const ServiceName& service,
              const std::string& member,
              const std::vector<std::string>& members)
{
  const std::vector<std::string> limiters = limiters_of(service, members);
  const auto found = std::find(limiters.begin(), limiters.end(), member);
  if (found == limiters.end()) {
    return 0;
  }
  return found == limiters.begin() ? 1 : kStandInShare;
}

std::string
LimiterSelection::select(const ServiceName& service, TimePoint now) const
{
  for (const std::string& limiter : limiters_of(service, m_members)) {
    const auto avoided = m_avoided_until.find(limiter);
    if (avoided == m_avoided_until.end() || now >= avoided->second) {
      return limiter;
    }
  }
  return "";
}

void
LimiterSelection::timed_out(const std::string& limiter, TimePoint now)
{
  std::erase_if(m_avoided_until, [&](const auto& entry) { return now >= entry.second; });
  m_avoided_until[limiter] = now + kAvoidTime;
}

} // namespace lovagehold
