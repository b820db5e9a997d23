#include "lovagehold/server_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace lovagehold {

namespace {

// Weights of the latest request in the moving averages of the service and of a server.
constexpr double kMeanTimeSmoothing = 0.2;
constexpr double kRelativeTimeSmoothing = 0.4;
// Weight of the latest report in the moving average of the servers' load.
constexpr double kMeanBusySmoothing = 0.1;
// Time constant of the decay of a server's relative time towards 1.
constexpr std::chrono::milliseconds kRelativeTimeDecay{ 4000 };
// Costs that differ by less than this are considered equal.
constexpr double kEqualCost = 0.02;
// Probing stops after this many answered probes without any load report.
constexpr unsigned kMaxProbesWithoutReport = 6;
// The probe budget holds at least this many probes, because a single choice may need them.
constexpr double kMinProbeBurst = 6;
// In requests. Allows for reported requests that have probably ended but whose weight has not
// decayed to 0 yet.
constexpr double kCapacityTolerance = 0.3;
// A timed-out request counts as this multiple of the service's average time.
constexpr double kTimeoutFactor = 4;
// Range to which the time of a served request, relative to the service's average, is limited. The
// upper limit holds for unsuccessful requests too.
constexpr double kMaxRelativeTime = 8;
constexpr double kMinRelativeTime = 0.5;
// Upper limit of the random addition to a server's cost when servers to probe are ordered, so that
// the order varies between servers of similar cost.
constexpr double kProbeCostNoise = 0.5;

double
seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

double
decay(Duration age, Duration time_constant)
{
  return std::exp(-std::max(0.0, seconds(age)) / seconds(time_constant));
}

} // namespace

ServerSelector::ServerSelector(ServerSelectorOptions options)
  : m_options(std::move(options))
{
}

void
ServerSelector::set_servers(const std::vector<ServerInfo>& servers, TimePoint now)
{
  std::map<ServerId, State> next;
  for (const ServerInfo& server : servers) {
    const auto known = m_servers.find(server.id);
    const bool same = known != m_servers.end() &&
                      known->second.info.incarnation == server.incarnation &&
                      known->second.info.address == server.address;
    State& state = next[server.id];
    if (same) {
      state = known->second;
      update_warmup(state, server, now);
    } else {
      state.warmup_until = now + server.warmup;
      state.relative_time_updated = now;
    }
    state.info = server;
    const auto mark = m_leaving.find(server.id);
    if (mark != m_leaving.end()) {
      mark->second.updated_at = now;
    }
    state.leaving = is_marked_leaving(server);
    state.evacuated = m_evacuated.contains(server.failure_domain);
  }
  m_servers = std::move(next);
  update_credits(now);
  expire_leaving_marks(now);
  choose_subset();
}

bool
ServerSelector::is_marked_leaving(const ServerInfo& server) const
{
  const auto mark = m_leaving.find(server.id);
  return mark != m_leaving.end() && server.incarnation <= mark->second.incarnation;
}

void
ServerSelector::expire_leaving_marks(TimePoint now)
{
  std::erase_if(m_leaving, [&](const auto& entry) {
    return now - entry.second.updated_at >= m_options.leaving_retention;
  });
}

void
ServerSelector::mark_leaving(const ServerId& id, std::uint64_t incarnation, TimePoint now)
{
  LeavingMark& mark = m_leaving[id];
  mark = { .incarnation = std::max(mark.incarnation, incarnation), .updated_at = now };
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    found->second.leaving = is_marked_leaving(found->second.info);
  }
}

void
ServerSelector::pause(const ServerId& id, std::uint64_t incarnation, Duration pause, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || found->second.info.incarnation != incarnation) {
    return;
  }
  TimePoint& paused_until = found->second.paused_until;
  paused_until = std::max(paused_until, now + std::min<Duration>(pause, m_options.max_pause));
}

bool
ServerSelector::set_limit(const ServerId& id,
                          std::uint64_t incarnation,
                          std::optional<double> limit,
                          TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || found->second.info.incarnation != incarnation) {
    return false;
  }
  found->second.limit_named_at = now;
  const auto limit_before = std::exchange(found->second.limit, limit);
  if (limit_before.has_value() != limit.has_value()) {
    choose_subset();
  }
  return limit_before != limit;
}

bool
ServerSelector::is_callable(const State& state, TimePoint now)
{
  return !state.leaving && !state.evacuated && now >= state.paused_until;
}

bool
ServerSelector::is_denied(const State& state, TimePoint time)
{
  return state.limit && time < state.denied_until;
}

bool
ServerSelector::is_callable_until(TimePoint latest, TimePoint now) const
{
  return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
    return is_callable(entry.second, now) && !is_denied(entry.second, latest);
  });
}

std::optional<TimePoint>
ServerSelector::earliest_return(TimePoint now) const
{
  std::optional<TimePoint> earliest;
  for (const auto& [id, state] : m_servers) {
    const TimePoint returns =
      std::max(state.paused_until, is_denied(state, now) ? state.denied_until : now);
    if (!state.leaving && !state.evacuated && now < returns) {
      earliest = std::min(earliest.value_or(TimePoint::max()), returns);
    }
  }
  return earliest;
}

// Rendezvous hashing: a server that joins or leaves changes at most one member of the subset.
// Limited servers come last, because few requests may be sent to them, whatever their load is.
void
ServerSelector::choose_subset()
{
  const bool elsewhere = prefers_other_domains();
  std::vector<std::tuple<bool, std::uint64_t, State*>> ranked;
  for (auto& [id, state] : m_servers) {
    state.preferred = false;
    if (!state.evacuated && (elsewhere || state.info.failure_domain == m_options.failure_domain)) {
      const std::string key = m_options.host + "|" + id;
      ranked.emplace_back(state.limit.has_value(), XXH64(key.data(), key.size(), 0), &state);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < std::min(m_options.subset, ranked.size()); ++i) {
    std::get<State*>(ranked[i])->preferred = true;
  }
}

double
ServerSelector::slots_of(const State& state)
{
  return std::max(1U, state.load.slots > 0 ? state.load.slots : state.info.slots);
}

double
ServerSelector::busy_of(const State& state, TimePoint now) const
{
  // The older a report, the more the server is expected to be loaded like the others. If all are, a
  // server without a fresh report must not look idle.
  // Only for a domain that shares send requests to, the load of its servers tells more.
  const std::string& domain = state.info.failure_domain;
  double expected = m_domains.is_fresh(now) && m_domains.sends_to(domain)
                      ? m_domains.mean_busy(domain)
                      : m_mean_busy;
  if (state.report_time) {
    const double reported = state.load.running + state.load.waiting;
    const double weight = decay(now - *state.report_time, m_options.report_decay);
    expected += (reported - expected) * weight;
  }
  double busy = std::max<double>(state.in_progress, expected + state.started_since_report);
  if (state.pending_probe && now - *state.pending_probe >= m_options.unanswered_probe) {
    busy = std::max(busy, slots_of(state) + 1);
  }
  return busy;
}

double
ServerSelector::cost_of(const State& state, std::size_t body_bytes, TimePoint now) const
{
  const double slots = slots_of(state);
  const double busy = busy_of(state, now);
  double slowdown = m_options.default_slowdown;
  if (state.report_time) {
    const double weight = decay(now - *state.report_time, m_options.report_decay);
    slowdown =
      m_options.default_slowdown + (state.load.slowdown - m_options.default_slowdown) * weight;
  }
  const double busy_after = busy + 1;
  double cost = slowdown;
  if (busy_after > m_options.knee * slots) {
    cost *= m_options.knee_slowdown;
  }
  if (busy_after > slots) {
    cost += slowdown * m_options.knee_slowdown * (busy_after - slots) / slots;
  }
  if (now < state.warmup_until) {
    cost *= m_options.warmup_slowdown;
  }
  const double weight = decay(now - state.relative_time_updated, kRelativeTimeDecay);
  cost *= 1 + (state.relative_time - 1) * weight;
  if (state.info.failure_domain != m_options.failure_domain) {
    cost *= 1 + m_options.remote_cost;
    cost += std::min(1.0, m_options.remote_cost_per_byte * static_cast<double>(body_bytes));
  }
  return cost;
}

bool
ServerSelector::is_ejected(const State& state, TimePoint now) const
{
  return now < state.ejected_until;
}

std::optional<ServerInfo>
ServerSelector::pick(TimePoint now,
                     const std::set<ServerId>& tried,
                     std::size_t body_bytes,
                     std::mt19937_64& random) const
{
  if (m_domains.is_fresh(now)) {
    if (auto server = pick_by_share(now, tried, body_bytes, random)) {
      return server;
    }
  }
  const State* best = nullptr;
  double best_cost = 0;
  unsigned equal_count = 0;
  // If every server is ejected, the cause is probably this host or common to all servers, so the
  // second pass ignores ejection.
  for (const bool skip_ejected : { true, false }) {
    for (const auto& [id, state] : m_servers) {
      const bool excluded =
        tried.count(id) > 0 || state.limit || !is_callable(state, now) || needs_share(state, now);
      if (excluded || (skip_ejected && is_ejected(state, now))) {
        continue;
      }
      const double cost = cost_of(state, body_bytes, now);
      if (best == nullptr || cost < best_cost - kEqualCost) {
        best = &state;
        best_cost = cost;
        equal_count = 1;
      } else if (cost < best_cost + kEqualCost && random() % ++equal_count == 0) {
        best = &state;
        best_cost = std::min(cost, best_cost);
      }
    }
    if (best != nullptr) {
      return best->info;
    }
  }
  return std::nullopt;
}

std::vector<ServerInfo>
ServerSelector::probe_targets(TimePoint now,
                              std::size_t count,
                              bool preferred_only,
                              const std::set<ServerId>& tried,
                              std::mt19937_64& random)
{
  std::vector<std::pair<double, const State*>> stale;
  for (const auto& [id, state] : m_servers) {
    const bool fresh = state.pending_probe ||
                       (state.report_time && now - *state.report_time < m_options.fresh_report);
    if (tried.count(id) == 0 && is_callable(state, now) && !is_ejected(state, now) && !fresh &&
        (state.preferred || !preferred_only)) {
      const double noise = std::uniform_real_distribution<double>(0, kProbeCostNoise)(random);
      stale.emplace_back(cost_of(state, 0, now) + noise, &state);
    }
  }
  std::sort(
    stale.begin(), stale.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  const std::size_t allowed = take_probes(std::min(count, stale.size()), now);
  std::vector<ServerInfo> targets;
  for (std::size_t i = 0; i < allowed; ++i) {
    targets.push_back(stale[i].second->info);
  }
  return targets;
}

// Requests that wait for a free slot call probe_targets() repeatedly, so the probes need a limit.
std::size_t
ServerSelector::take_probes(std::size_t wanted, TimePoint now)
{
  if (m_probes_without_report >= kMaxProbesWithoutReport) {
    return 0;
  }
  const double rate = m_options.probes_per_second * m_options.probe_share *
                      static_cast<double>(m_servers.size() - evacuated_count()) /
                      static_cast<double>(m_hosts);
  const double max_probes = std::max(rate * seconds(m_options.probe_burst), kMinProbeBurst);
  const double added = rate * seconds(now - m_probes_updated);
  m_probes_left = std::clamp(m_probes_left + added, 0.0, max_probes);
  m_probes_updated = now;
  const std::size_t taken = std::min(wanted, static_cast<std::size_t>(m_probes_left));
  m_probes_left -= static_cast<double>(taken);
  return taken;
}

void
ServerSelector::report(const ServerId& id, const LoadReport& load, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    found->second.load = load;
    found->second.report_time = now;
    found->second.started_since_report = 0;
    found->second.pending_probe.reset();
    m_probes_without_report = 0;
    m_mean_busy += kMeanBusySmoothing * (load.running + load.waiting - m_mean_busy);
    if (m_options.domain_overflow) {
      m_domains.add_report(found->second.info.failure_domain, load.running + load.waiting);
    }
  }
}

void
ServerSelector::eject(State& state, TimePoint now)
{
  state.ejection_time = state.ejection_time.count() == 0
                          ? m_options.eject_base
                          : std::min(2 * state.ejection_time, m_options.eject_max);
  state.ejected_until = now + state.ejection_time;
}

void
ServerSelector::begin_probe(const ServerId& id, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end() && !found->second.pending_probe) {
    found->second.pending_probe = now;
  }
}

void
ServerSelector::end_probe(const ServerId& id)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    found->second.pending_probe.reset();
    m_probes_without_report += found->second.report_time ? 0 : 1;
  }
}

void
ServerSelector::probe_failed(const ServerId& id, bool unreachable, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) {
    return;
  }
  State& state = found->second;
  state.pending_probe.reset();
  if (unreachable) {
    eject(state, now);
  } else {
    state.load = { .running = state.info.slots, .waiting = state.info.slots };
    state.report_time = now;
    state.started_since_report = 0;
  }
}

void
ServerSelector::begin(const ServerId& id, TimePoint)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    ++found->second.in_progress;
    ++found->second.started_since_report;
  }
}

void
ServerSelector::end(const ServerId& id, AttemptEnd end, Duration elapsed, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) {
    return;
  }
  State& state = found->second;
  state.in_progress -= state.in_progress > 0 ? 1 : 0;
  const auto add_relative_time = [&](double ratio) {
    const double weight = decay(now - state.relative_time_updated, kRelativeTimeDecay);
    const double before = 1 + (state.relative_time - 1) * weight;
    state.relative_time =
      before + kRelativeTimeSmoothing * (std::min(ratio, kMaxRelativeTime) - before);
    state.relative_time_updated = now;
  };
  const double elapsed_ms = 1000 * seconds(elapsed);
  if (m_options.domain_overflow) {
    const bool slow =
      end == AttemptEnd::Served && m_mean_ms && elapsed_ms > kTimeoutFactor * *m_mean_ms;
    const bool failed = end == AttemptEnd::Failed || end == AttemptEnd::Unreached ||
                        end == AttemptEnd::TimedOut || slow;
    const bool judged = failed || end == AttemptEnd::Served;
    m_domains.add_attempt(state.info.failure_domain, elapsed, judged, failed);
  }
  switch (end) {
    case AttemptEnd::Served:
      if (m_mean_ms && *m_mean_ms > 0) {
        add_relative_time(std::max(kMinRelativeTime, elapsed_ms / *m_mean_ms));
      }
      m_mean_ms =
        m_mean_ms ? *m_mean_ms + kMeanTimeSmoothing * (elapsed_ms - *m_mean_ms) : elapsed_ms;
      state.failures = 0;
      state.ejection_time = std::chrono::milliseconds(0);
      break;
    case AttemptEnd::Shed:
      state.load.running = std::max(state.load.running, state.info.slots);
      state.load.waiting = std::max(state.load.waiting, state.info.slots);
      state.report_time = now;
      state.started_since_report = 0;
      break;
    case AttemptEnd::TimedOut:
      add_relative_time(kTimeoutFactor);
      [[fallthrough]];
    case AttemptEnd::Failed:
      if (++state.failures >= m_options.failures_to_eject) {
        eject(state, now);
      }
      break;
    case AttemptEnd::Unreached:
      eject(state, now);
      break;
    case AttemptEnd::Replaced:
      state.ejected_until = now + m_options.eject_max;
      break;
    case AttemptEnd::Abandoned:
      if (m_mean_ms && elapsed_ms > *m_mean_ms) {
        add_relative_time(elapsed_ms / *m_mean_ms);
      }
      break;
  }
}

std::optional<Duration>
ServerSelector::mean_request_time() const
{
  if (!m_mean_ms) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(*m_mean_ms));
}

std::size_t
ServerSelector::in_progress() const
{
  std::size_t sum = 0;
  for (const auto& [id, state] : m_servers) {
    sum += state.in_progress;
  }
  return sum;
}

double
ServerSelector::cost(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? 0 : cost_of(found->second, 0, now);
}

bool
ServerSelector::has_free_capacity(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) {
    return false;
  }
  return busy_of(found->second, now) + 1 <= permitted_slots(found->second) + kCapacityTolerance;
}

// Above this number a server takes another request, but slows down.
double
ServerSelector::permitted_slots(const State& state) const
{
  return std::max(1.0, std::floor(m_options.knee * slots_of(state)));
}

LoadReport
ServerSelector::last_report(const ServerId& id) const
{
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? LoadReport{} : found->second.load;
}

std::optional<Duration>
ServerSelector::report_age(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || !found->second.report_time) {
    return std::nullopt;
  }
  return now - *found->second.report_time;
}

} // namespace lovagehold
