#include "lovagehold/server_selector.h"

#include <cmath>
#include <tuple>

namespace lovagehold {

namespace {

// Costs that differ by less than this are considered equal, as in server_selector.cpp.
constexpr double kEqualCost = 0.02;

} // namespace

std::optional<ServerInfo>
ServerSelector::pick_by_share(TimePoint now,
                              const std::set<ServerId>& tried,
                              std::size_t body_bytes,
                              std::mt19937_64& random) const
{
  enum Rank
  {
    Drawn,         ///< in the drawn domain, with free capacity
    Permitted,     ///< in another permitted domain, with free capacity
    Busy,          ///< in the local domain, without free capacity
    BusyElsewhere, ///< in another permitted domain, without free capacity
  };
  const std::string drawn = m_domains.draw(random);
  // Servers of equal cost are chosen in a random order.
  std::optional<std::tuple<Rank, double, std::uint64_t, const State*>> best;
  for (const auto& [id, state] : m_servers) {
    const std::string& domain = state.info.failure_domain;
    const bool excluded = tried.count(id) > 0 || state.limit || !is_callable(state, now) ||
                          is_ejected(state, now) || needs_share(state, now);
    if (excluded || !m_domains.permits(domain)) {
      continue;
    }
    const bool local = domain == m_options.failure_domain;
    const Rank rank = has_free_capacity(id, now) ? (domain == drawn ? Drawn : Permitted)
                                                 : (local ? Busy : BusyElsewhere);
    const double cost = std::floor(cost_of(state, body_bytes, now) / kEqualCost);
    const std::tuple candidate{ rank, cost, random(), &state };
    if (!best || candidate < *best) {
      best = candidate;
    }
  }
  return best ? std::optional(std::get<const State*>(*best)->info) : std::nullopt;
}

DomainServiceLoad
ServerSelector::take_domain_load(TimePoint now)
{
  DomainServiceLoad load = m_domains.take_traffic(now);
  load.hosts = 1;
  for (const auto& [id, state] : m_servers) {
    if (state.info.failure_domain != m_options.failure_domain) {
      continue;
    }
    const double slots = permitted_slots(state);
    load.listed += slots;
    if (!is_callable(state, now) || is_ejected(state, now) || state.limit ||
        now < state.warmup_until) {
      load.unusable += slots;
    } else if (state.report_time && now - *state.report_time <= m_options.doubtful_report) {
      load.usable += slots;
      load.busy += state.load.running + state.load.waiting;
    }
  }
  return load;
}

} // namespace lovagehold
