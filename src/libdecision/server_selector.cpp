#include "lovagehold/server_selector.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace lovagehold {

namespace {

// Weight of the newest request in the smoothed times.
constexpr double kSmoothing = 0.2;
constexpr double kRelativeSmoothing = 0.4;
// What was learned about a server's speed is forgotten with this time constant.
constexpr std::chrono::milliseconds kRelativeMemory{ 4000 };
// Costs closer than this are equal.
constexpr double kEqualCost = 0.02;
// Servers that answered so many probes without a load report are asked no more.
constexpr unsigned kProbesInVain = 6;
// A choice may need so many probes.
constexpr double kLeastProbeBurst = 6;
// A request that was reported some time ago and has probably ended counts less than a whole one.
constexpr double kRoomTolerance = 0.3;
// One timed-out request marks a server as this much slower than usual.
constexpr double kTimeoutFactor = 4;

double
seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

double
decay(Duration age, Duration memory)
{
  return std::exp(-std::max(0.0, seconds(age)) / seconds(memory));
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
    } else {
      state.cold_until = now + server.warmup;
      state.relative_since = now;
    }
    state.info = server;
  }
  m_servers = std::move(next);
  choose_subset();
}

// Rendezvous hashing: a server that joins or leaves changes the set by one.
void
ServerSelector::choose_subset()
{
  std::vector<std::pair<std::uint64_t, State*>> ranked;
  for (auto& [id, state] : m_servers) {
    state.preferred = false;
    if (state.info.failure_domain == m_options.failure_domain) {
      const std::string key = m_options.host + "|" + id;
      ranked.emplace_back(XXH64(key.data(), key.size(), 0), &state);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < std::min(m_options.subset, ranked.size()); ++i) {
    ranked[i].second->preferred = true;
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
  double busy = state.own;
  if (state.reported) {
    // Requests that were there at the report leave one by one.
    const double reported = state.load.running + state.load.waiting;
    const double known = decay(now - *state.reported, m_options.slowdown_memory);
    busy = std::max<double>(state.own, reported * known + state.begun_since);
  }
  if (state.probed && now - *state.probed >= m_options.unanswered_probe) {
    busy = std::max(busy, slots_of(state) + 1);
  }
  return busy;
}

double
ServerSelector::cost_of(const State& state, std::size_t body_bytes, TimePoint now) const
{
  const double slots = slots_of(state);
  const double busy = busy_of(state, now);
  double slowdown = m_options.usual_slowdown;
  if (state.reported) {
    const double known = decay(now - *state.reported, m_options.slowdown_memory);
    slowdown = m_options.usual_slowdown + (state.load.slowdown - m_options.usual_slowdown) * known;
  }
  const double after = busy + 1;
  double cost = slowdown;
  if (after > m_options.knee * slots) {
    cost *= m_options.knee_slowdown;
  }
  if (after > slots) {
    cost += slowdown * m_options.knee_slowdown * (after - slots) / slots;
  }
  if (now < state.cold_until) {
    cost *= m_options.cold_slowdown;
  }
  const double learned = decay(now - state.relative_since, kRelativeMemory);
  cost *= 1 + (state.relative_time - 1) * learned;
  if (state.info.failure_domain != m_options.failure_domain) {
    cost *= 1 + m_options.remote_cost;
    cost += std::min(1.0, m_options.remote_cost_per_byte * static_cast<double>(body_bytes));
  }
  return cost;
}

bool
ServerSelector::avoided(const State& state, TimePoint now) const
{
  return now < state.avoid_until;
}

std::optional<ServerInfo>
ServerSelector::pick(TimePoint now,
                     const std::set<ServerId>& tried,
                     std::size_t body_bytes,
                     std::mt19937_64& random) const
{
  const State* best = nullptr;
  double best_cost = 0;
  unsigned equal = 0;
  // If every server is avoided, the failures say more about this host or all of them: use all.
  for (const bool avoiding : { true, false }) {
    for (const auto& [id, state] : m_servers) {
      if (tried.count(id) > 0 || (avoiding && avoided(state, now))) {
        continue;
      }
      const double cost = cost_of(state, body_bytes, now);
      if (best == nullptr || cost < best_cost - kEqualCost) {
        best = &state;
        best_cost = cost;
        equal = 1;
      } else if (cost < best_cost + kEqualCost && random() % ++equal == 0) {
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
                              bool near_only,
                              const std::set<ServerId>& tried,
                              std::mt19937_64& random)
{
  std::vector<std::pair<double, const State*>> stale;
  for (const auto& [id, state] : m_servers) {
    const bool fresh =
      state.probed || (state.reported && now - *state.reported < m_options.fresh_report);
    if (tried.count(id) == 0 && !avoided(state, now) && !fresh && (state.preferred || !near_only)) {
      const double noise = std::uniform_real_distribution<double>(0, 0.5)(random);
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

// Requests that wait for room ask again and again, so that the probes need a limit.
std::size_t
ServerSelector::take_probes(std::size_t wanted, TimePoint now)
{
  if (m_probes_in_vain >= kProbesInVain) {
    return 0;
  }
  const double rate = m_options.probes_per_second * m_options.probe_share *
                      static_cast<double>(m_servers.size()) / static_cast<double>(m_hosts);
  const double most = std::max(rate * seconds(m_options.probe_burst), kLeastProbeBurst);
  const double earned = rate * seconds(now - m_probes_at);
  m_probes_left = std::clamp(m_probes_left + earned, 0.0, most);
  m_probes_at = now;
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
    found->second.reported = now;
    found->second.begun_since = 0;
    found->second.probed.reset();
    m_probes_in_vain = 0;
  }
}

void
ServerSelector::avoid(State& state, TimePoint now)
{
  state.avoid_for = state.avoid_for.count() == 0
                      ? m_options.eject_base
                      : std::min(2 * state.avoid_for, m_options.eject_max);
  state.avoid_until = now + state.avoid_for;
}

void
ServerSelector::begin_probe(const ServerId& id, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end() && !found->second.probed) {
    found->second.probed = now;
  }
}

void
ServerSelector::end_probe(const ServerId& id)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    found->second.probed.reset();
    m_probes_in_vain += found->second.reported ? 0 : 1;
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
  state.probed.reset();
  if (unreachable) {
    avoid(state, now);
  } else {
    state.load = { .running = state.info.slots, .waiting = state.info.slots };
    state.reported = now;
    state.begun_since = 0;
  }
}

void
ServerSelector::begin(const ServerId& id, TimePoint)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    ++found->second.own;
    ++found->second.begun_since;
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
  state.own -= state.own > 0 ? 1 : 0;
  const auto learn = [&](double ratio) {
    const double learned = decay(now - state.relative_since, kRelativeMemory);
    const double before = 1 + (state.relative_time - 1) * learned;
    state.relative_time = before + kRelativeSmoothing * (std::min(ratio, 8.0) - before);
    state.relative_since = now;
  };
  const double taken_ms = 1000 * seconds(elapsed);
  switch (end) {
    case AttemptEnd::Served:
      if (m_usual_ms && *m_usual_ms > 0) {
        learn(std::max(0.5, taken_ms / *m_usual_ms));
      }
      m_usual_ms = m_usual_ms ? *m_usual_ms + kSmoothing * (taken_ms - *m_usual_ms) : taken_ms;
      state.failures = 0;
      state.avoid_for = std::chrono::milliseconds(0);
      break;
    case AttemptEnd::Shed:
      state.load.running = std::max(state.load.running, state.info.slots);
      state.load.waiting = std::max(state.load.waiting, state.info.slots);
      state.reported = now;
      break;
    case AttemptEnd::TimedOut:
      learn(kTimeoutFactor);
      [[fallthrough]];
    case AttemptEnd::Failed:
      if (++state.failures >= m_options.failures_to_eject) {
        avoid(state, now);
      }
      break;
    case AttemptEnd::Unreached:
      avoid(state, now);
      break;
    case AttemptEnd::Replaced:
      state.avoid_until = now + m_options.eject_max;
      break;
    case AttemptEnd::Abandoned:
      if (m_usual_ms && taken_ms > *m_usual_ms) {
        learn(taken_ms / *m_usual_ms);
      }
      break;
  }
}

std::optional<Duration>
ServerSelector::usual_time() const
{
  if (!m_usual_ms) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(*m_usual_ms));
}

std::size_t
ServerSelector::in_progress() const
{
  std::size_t sum = 0;
  for (const auto& [id, state] : m_servers) {
    sum += state.own;
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
ServerSelector::has_room(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) {
    return false;
  }
  const double usable = std::max(1.0, std::floor(m_options.knee * slots_of(found->second)));
  return busy_of(found->second, now) + 1 <= usable + kRoomTolerance;
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
  if (found == m_servers.end() || !found->second.reported) {
    return std::nullopt;
  }
  return now - *found->second.reported;
}

} // namespace lovagehold
