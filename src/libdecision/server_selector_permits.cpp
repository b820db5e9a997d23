#include "lovagehold/server_selector.h"

#include <algorithm>
#include <utility>

namespace lovagehold {

namespace {

// Limited servers among which the limiter may choose.
constexpr std::size_t kMaxPermitCandidates = 4;

} // namespace

LimitedServer
ServerSelector::make_candidate(const State& state, TimePoint now)
{
  return { .id = state.info.id,
           .incarnation = state.info.incarnation,
           .limit = *state.limit,
           .age =
             std::chrono::duration_cast<std::chrono::milliseconds>(now - state.limit_named_at) };
}

std::vector<LimitedServer>
ServerSelector::permit_candidates(const std::set<ServerId>& tried,
                                  Duration max_wait,
                                  double max_cost,
                                  TimePoint now) const
{
  std::vector<std::pair<double, const State*>> ranked;
  for (const auto& [id, state] : m_servers) {
    const bool excluded = !state.limit || tried.count(id) > 0 || !is_callable(state, now) ||
                          is_ejected(state, now) || is_denied(state, now + max_wait) ||
                          needs_share(state, now) || !has_free_capacity(id, now);
    if (!excluded && cost_of(state, 0, now) <= max_cost) {
      ranked.emplace_back(cost_of(state, 0, now), &state);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kMaxPermitCandidates));
  std::vector<LimitedServer> candidates;
  candidates.reserve(ranked.size());
  for (const auto& [cost, state] : ranked) {
    candidates.push_back(make_candidate(*state, now));
  }
  return candidates;
}

void
ServerSelector::deny(const std::vector<LimitedServer>& servers, TimePoint until)
{
  for (const LimitedServer& server : servers) {
    const auto found = m_servers.find(server.id);
    if (found != m_servers.end()) {
      found->second.denied_until = until;
    }
  }
}

std::optional<ServerInfo>
ServerSelector::find_callable(const ServerId& id, TimePoint now) const
{
  const auto found = m_servers.find(id);
  const bool callable = found != m_servers.end() && is_callable(found->second, now);
  return callable ? std::optional(found->second.info) : std::nullopt;
}

std::optional<double>
ServerSelector::limit(const ServerId& id) const
{
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? std::nullopt : found->second.limit;
}

std::size_t
ServerSelector::limited_count() const
{
  return static_cast<std::size_t>(
    std::count_if(m_servers.begin(), m_servers.end(), [](const auto& entry) {
      return entry.second.limit && !entry.second.evacuated;
    }));
}

} // namespace lovagehold
