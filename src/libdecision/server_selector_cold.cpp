#include "lovagehold/server_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagehold {

namespace {

// In requests; see kCapacityTolerance in server_selector.cpp.
constexpr double kSlotTolerance = 0.3;
// A refused caller is told to come back when the credits are full again only if they then admit a
// request with at least this probability.
constexpr double kUsefulCredit = 0.5;

} // namespace

void
ServerSelector::set_cold_share(const ColdServerShareOptions& options, TimePoint now)
{
  const bool was_enabled = m_share.is_enabled();
  m_share.configure(options, now);
  if (m_share.is_enabled() != was_enabled) {
    update_credits(now);
  }
}

void
ServerSelector::set_cold(const ServerId& id,
                         std::uint64_t incarnation,
                         Duration remaining,
                         TimePoint now)
{
  const auto found = m_servers.find(id);
  if (!m_share.is_enabled() || found == m_servers.end() ||
      found->second.info.incarnation != incarnation) {
    return;
  }
  State& state = found->second;
  state.warmup_until =
    std::max(state.held_cold_until, now + std::min<Duration>(remaining, m_options.max_pause));
}

void
ServerSelector::hold_cold(const ServerId& id, Duration duration, TimePoint now)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end()) {
    State& state = found->second;
    state.held_cold_until = std::max(state.held_cold_until, now + duration);
    state.warmup_until = std::max(state.warmup_until, state.held_cold_until);
  }
}

// An entry that arrives late counts from its arrival: too long a time costs a few requests until
// the next health check, too short a one would let too many through.
void
ServerSelector::update_warmup(State& state, const ServerInfo& entry, TimePoint now)
{
  if (entry.warmup_renewals > state.info.warmup_renewals) {
    state.warmup_until = std::max(state.warmup_until, now + entry.warmup);
  }
}

void
ServerSelector::update_credits(TimePoint now)
{
  m_share.retain([this](const ServerId& id) { return m_servers.count(id) > 0; });
  for (const auto& [id, state] : m_servers) {
    m_share.add(id, now);
  }
}

bool
ServerSelector::is_cold(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  return found != m_servers.end() && needs_share(found->second, now);
}

bool
ServerSelector::has_cold(const std::set<ServerId>& tried, TimePoint now) const
{
  return m_share.is_enabled() &&
         std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
           return needs_share(entry.second, now) && is_callable(entry.second, now) &&
                  tried.count(entry.first) == 0;
         });
}

std::size_t
ServerSelector::cold_count(TimePoint now) const
{
  return static_cast<std::size_t>(
    std::count_if(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
      return needs_share(entry.second, now);
    }));
}

bool
ServerSelector::is_ejected(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  return found != m_servers.end() && is_ejected(found->second, now);
}

// All slots of a cold server may be used: few requests are sent to it, and its knee matters less
// than a request that is refused. Without a fresh report it is expected to be idle, unlike in
// busy_of(): what is sent to warm servers says nothing about it.
bool
ServerSelector::has_free_slot(const State& state, TimePoint now) const
{
  if (state.pending_probe && now - *state.pending_probe >= m_options.unanswered_probe) {
    return false;
  }
  double reported = 0;
  if (state.report_time) {
    const std::chrono::duration<double> age = now - *state.report_time;
    reported = (state.load.running + state.load.waiting) *
               std::exp(-age / std::chrono::duration<double>(m_options.report_decay));
  }
  const double busy = std::max<double>(state.in_progress, reported + state.started_since_report);
  return busy + 1 <= slots_of(state) + kSlotTolerance;
}

std::optional<ServerInfo>
ServerSelector::pick_cold(TimePoint now, const std::set<ServerId>& tried, std::mt19937_64& random)
{
  if (!m_share.is_enabled()) {
    return std::nullopt;
  }
  std::vector<const State*> candidates;
  for (const auto& [id, state] : m_servers) {
    if (needs_share(state, now) && tried.count(id) == 0 && !state.limit &&
        is_callable(state, now) && !is_ejected(state, now) && has_free_slot(state, now)) {
      candidates.push_back(&state);
    }
  }
  // All hosts see the same idle servers, so the least loaded one would get the requests of all.
  std::shuffle(candidates.begin(), candidates.end(), random);
  for (const State* state : candidates) {
    if (m_share.take(state->info.id, now, random)) {
      return state->info;
    }
  }
  return std::nullopt;
}

std::vector<LimitedServer>
ServerSelector::cold_permit_candidates(const std::set<ServerId>& tried,
                                       Duration max_wait,
                                       TimePoint now,
                                       std::mt19937_64& random)
{
  if (!m_share.is_enabled()) {
    return {};
  }
  std::vector<const State*> candidates;
  for (const auto& [id, state] : m_servers) {
    if (needs_share(state, now) && tried.count(id) == 0 && state.limit && is_callable(state, now) &&
        !is_ejected(state, now) && !is_denied(state, now + max_wait) && has_free_slot(state, now)) {
      candidates.push_back(&state);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  for (const State* state : candidates) {
    if (m_share.take(state->info.id, now, random)) {
      return { make_candidate(*state, now) };
    }
  }
  return {};
}

std::optional<TimePoint>
ServerSelector::cold_return(TimePoint now) const
{
  std::optional<TimePoint> first_warm;
  std::size_t cold = 0;
  for (const auto& [id, state] : m_servers) {
    if (!is_callable(state, now) || is_denied(state, now)) {
      continue;
    }
    if (!needs_share(state, now)) {
      return std::nullopt;
    }
    ++cold;
    first_warm = std::min(first_warm.value_or(TimePoint::max()), state.warmup_until);
  }
  if (first_warm && m_share.full_credit(cold) >= kUsefulCredit) {
    return std::min(*first_warm, now + m_share.refill_time());
  }
  return first_warm;
}

std::vector<ColdChange>
ServerSelector::take_cold_changes(TimePoint now)
{
  std::vector<ColdChange> changes;
  if (!m_share.is_enabled()) {
    return changes;
  }
  for (auto& [id, state] : m_servers) {
    const bool cold = needs_share(state, now);
    if (std::exchange(state.reported_cold, cold) != cold) {
      const Duration remaining = cold ? state.warmup_until - now : Duration::zero();
      changes.push_back(
        { .server = state.info,
          .remaining = std::chrono::duration_cast<std::chrono::milliseconds>(remaining) });
    }
  }
  return changes;
}

} // namespace lovagehold
