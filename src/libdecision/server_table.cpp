#include "server_table.h"

#include <algorithm>

namespace lovagehold {

namespace {

// A server without any request or probe for this long is probed, as nothing else shows whether it
// still works.
constexpr std::chrono::seconds kIdleProbeDelay{ 10 };
constexpr std::chrono::seconds kSlowStartIdleProbeDelay{ 1 };
// A server this many times slower than the median is put on probation.
constexpr int kStragglerFactor = 3;
// Hysteresis: probation ends below this multiple of the median, so that a server doesn't flap.
constexpr int kRecoveredFactor = 2;
// At most one server in this many is on probation, but always one may be.
constexpr std::size_t kProbationDivisor = 3;
// A probe without a result counts as unhealthy after this time.
constexpr std::chrono::seconds kProbeTimeout{ 2 };
// An attempt without a response that ran this many times longer than the expected service time
// counts as a failure of its server.
constexpr int kOverdueFactor = 3;
// A server on probation stops ranking last after this time without a sample, because only new
// samples can end the probation.
constexpr std::chrono::milliseconds kProbationSampleInterval{ 500 };

// \return a bucket that holds one probe at most and is refilled at the rate of the probe budget
TokenBucket
make_probe_bucket(const DispatcherOptions& options, TimePoint now)
{
  const double cost = std::chrono::duration<double>(options.probe_cost).count();
  return { cost > 0 ? options.probe_budget / cost : 0, 1, 0, now };
}

} // namespace

ServerTable::ServerTable(const DispatcherOptions& options)
  : m_options(options)
  , m_rotation(options.seed)
{
}

void
ServerTable::set(const ServerInfo& info, TimePoint now)
{
  const auto found = m_index.find(info.id);
  if (found != m_index.end()) {
    ServerState& server = m_servers[found->second];
    if (server.info.incarnation != info.incarnation) {
      server.begin_slow_start(now);
    }
    server.info = info;
    server.leaving = false;
    server.last_renewal = now;
    update_summary(found->second);
    return;
  }
  ServerState server(info, make_probe_bucket(m_options, now), now);
  // Servers announced within the first renewal lifetime were already serving under the previous
  // owner. A slow start of all of them would cost two thirds of the capacity.
  if (!m_first_join) {
    m_first_join = now;
  } else if (now - *m_first_join > m_options.renewal_lifetime) {
    server.begin_slow_start(now);
  }
  std::size_t index = m_servers.size();
  if (m_free_indices.empty()) {
    m_servers.push_back(std::move(server));
    m_summaries.emplace_back();
  } else {
    index = m_free_indices.back();
    m_free_indices.pop_back();
    m_servers[index] = std::move(server);
  }
  m_index[info.id] = index;
  update_summary(index);
}

void
ServerTable::renew(const ServerId& id, TimePoint now)
{
  const auto found = m_index.find(id);
  if (found != m_index.end()) {
    m_servers[found->second].last_renewal = now;
    update_summary(found->second);
  }
}

void
ServerTable::remove(const ServerId& id)
{
  const auto found = m_index.find(id);
  if (found != m_index.end()) {
    m_servers[found->second].leaving = true;
    update_summary(found->second);
    erase_if_drained(found->second);
  }
}

void
ServerTable::erase_if_drained(std::size_t index)
{
  ServerState& server = m_servers[index];
  if (server.leaving && m_summaries[index].in_use == 0) {
    m_index.erase(server.info.id);
    m_free_indices.push_back(index);
  }
}

void
ServerTable::set_share(SlotShare share)
{
  m_share = share;
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    update_summary(i);
  }
}

void
ServerTable::update_summary(std::size_t index)
{
  const ServerState& server = m_servers[index];
  Summary& summary = m_summaries[index];
  const unsigned share_slots = share_limit(server);
  const unsigned limit = server.is_ejected() ? 0 : server.slot_limit(share_slots);
  summary.eligible_until =
    server.leaving ? TimePoint::min() : server.last_renewal + m_options.renewal_lifetime;
  summary.ranked_last_until =
    server.on_probation ? server.last_observation() + kProbationSampleInterval : TimePoint::min();
  summary.limit = static_cast<std::uint16_t>(limit);
  summary.panic_limit = static_cast<std::uint16_t>(std::max(limit, std::min(share_slots, 1U)));
  summary.speed_class = static_cast<std::int16_t>(server.speed_class());
  summary.check_at = TimePoint::max();
  if (share_slots == 0) {
    return;
  }
  if (server.probe_running) {
    summary.check_at = server.probe_sent + kProbeTimeout;
  }
  if (!server.probe_running || !server.is_ejected()) {
    summary.check_at = std::min(summary.check_at, server.next_change());
  }
  if (const auto due = probe_due(server); due && summary.in_use == 0) {
    summary.check_at = std::min(summary.check_at, *due);
  }
}

unsigned
ServerTable::share_limit(const ServerState& server) const
{
  const unsigned one_slot = std::min(server.info.slots, 1U);
  switch (m_share) {
    case SlotShare::None:
    case SlotShare::Pending:
      return 0;
    case SlotShare::Isolated:
      return one_slot;
    case SlotShare::Reduced:
      return server.info.slots - one_slot;
    case SlotShare::Full:
      return server.info.slots + m_options.requests_in_transit;
  }
  return 0;
}

ServerTable::Choice
ServerTable::choose(TimePoint now)
{
  Choice choice;
  unsigned unusable = 0;
  for (std::size_t i = 0; i < m_summaries.size(); ++i) {
    const Summary& summary = m_summaries[i];
    if (now > summary.eligible_until) {
      continue;
    }
    if (summary.check_at <= now) {
      m_servers[i].advance(now);
      update_summary(i);
    }
    ++choice.eligible;
    unusable += summary.limit == 0 && summary.panic_limit > 0 ? 1 : 0;
  }
  // In panic mode, while more than half of the eligible servers are ejected or fully withheld, each
  // server may get at least one request.
  pick(choice, unusable > choice.eligible / 2, now);
  return choice;
}

void
ServerTable::pick(Choice& choice, bool panic, TimePoint now) const
{
  const auto ranks_before = [&](std::size_t a, std::size_t b) {
    if (b == kNone) {
      return true;
    }
    if (panic) {
      // Round-robin only: preferring the fewest slots in use would favour servers that fail fast.
      return false;
    }
    const Summary& summary_a = m_summaries[a];
    const Summary& summary_b = m_summaries[b];
    const bool a_ranked_last = now < summary_a.ranked_last_until;
    const bool b_ranked_last = now < summary_b.ranked_last_until;
    if (a_ranked_last != b_ranked_last) {
      return b_ranked_last;
    }
    return summary_a.in_use != summary_b.in_use ? summary_a.in_use < summary_b.in_use
                                                : summary_a.speed_class < summary_b.speed_class;
  };
  const std::size_t count = m_summaries.size();
  std::size_t index = count == 0 ? 0 : m_rotation % count;
  for (std::size_t i = 0; i < count; ++i, index = index + 1 == count ? 0 : index + 1) {
    const Summary& summary = m_summaries[index];
    if (now > summary.eligible_until) {
      continue;
    }
    const unsigned limit = panic ? summary.panic_limit : summary.limit;
    choice.usable_slots += limit;
    if (summary.in_use >= limit) {
      continue;
    }
    choice.idle_slots += limit - summary.in_use;
    if (ranks_before(index, choice.best)) {
      choice.alternative = choice.best;
      choice.best = index;
    } else if (ranks_before(index, choice.alternative)) {
      choice.alternative = index;
    }
  }
}

void
ServerTable::acquire(std::size_t index)
{
  ++m_summaries[index].in_use;
  m_rotation = index + 1;
}

void
ServerTable::release(std::size_t index)
{
  --m_summaries[index].in_use;
  update_summary(index);
  erase_if_drained(index);
}

void
ServerTable::on_success(std::size_t index, Duration service_time, TimePoint now)
{
  m_servers[index].on_success(now);
  m_servers[index].add_service_time(service_time, m_median_service_time);
  // Comparing once per as many successes as there are servers keeps the amortized cost constant.
  if (m_successes_until_comparison-- == 0) {
    compare_service_times(now);
    m_successes_until_comparison = static_cast<unsigned>(m_index.size());
  }
}

void
ServerTable::on_lost_race(std::size_t index, Duration elapsed)
{
  ServerState& server = m_servers[index];
  if (elapsed > server.service_time()) {
    server.add_service_time(elapsed, m_median_service_time);
  }
}

bool
ServerTable::is_overdue(std::size_t index, Duration elapsed) const
{
  const Duration expected = std::max(m_servers[index].service_time(), m_median_service_time);
  return elapsed >= expected * kOverdueFactor;
}

void
ServerTable::compare_service_times(TimePoint now)
{
  std::vector<Duration> times;
  std::size_t eligible_servers = 0;
  std::size_t on_probation = 0;
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    const ServerState& server = m_servers[i];
    if (now > m_summaries[i].eligible_until) {
      continue;
    }
    ++eligible_servers;
    on_probation += server.on_probation ? 1 : 0;
    if (server.has_service_time()) {
      times.push_back(server.service_time());
    }
  }
  if (times.size() < 2) {
    return;
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  m_median_service_time = *middle;
  const std::size_t allowed = std::max<std::size_t>(1, eligible_servers / kProbationDivisor);
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    ServerState& server = m_servers[i];
    if (now > m_summaries[i].eligible_until || !server.has_service_time()) {
      continue;
    }
    if (server.on_probation && server.service_time() < m_median_service_time * kRecoveredFactor) {
      server.end_probation(now);
    } else if (!server.on_probation && on_probation < allowed &&
               server.service_time() > m_median_service_time * kStragglerFactor) {
      server.start_probation();
      ++on_probation;
    }
    update_summary(i);
  }
}

void
ServerTable::on_probe(const ServerId& id, bool healthy, Duration elapsed, TimePoint now)
{
  const auto found = m_index.find(id);
  if (found == m_index.end() || !m_servers[found->second].probe_running) {
    return;
  }
  ServerState& server = m_servers[found->second];
  // The excess cost of a probe that took longer than declared is charged to the probe budget.
  const Duration excess = elapsed - m_options.probe_cost;
  if (excess > Duration::zero() && m_options.probe_cost.count() > 0) {
    server.probe_bucket.charge(std::chrono::duration<double>(excess) / m_options.probe_cost, now);
  }
  server.on_probe(healthy, now);
  update_summary(found->second);
}

std::optional<TimePoint>
ServerTable::probe_due(const ServerState& server) const
{
  const TimePoint token_available = server.probe_bucket.available_at(1);
  if (server.probe_running || server.is_ejected() || token_available == TimePoint::max()) {
    return std::nullopt;
  }
  const Duration idle_delay = server.in_slow_start() ? kSlowStartIdleProbeDelay : kIdleProbeDelay;
  return std::max(token_available, server.last_observation() + idle_delay);
}

void
ServerTable::check(TimePoint now, Actions& actions)
{
  for (std::size_t i = 0; i < m_servers.size(); ++i) {
    if (now <= m_summaries[i].eligible_until && m_summaries[i].check_at <= now) {
      check_server(i, now, actions);
      update_summary(i);
    }
  }
}

void
ServerTable::check_server(std::size_t index, TimePoint now, Actions& actions)
{
  ServerState& server = m_servers[index];
  server.advance(now);
  if (server.probe_running && now - server.probe_sent >= kProbeTimeout) {
    server.on_probe(false, now);
  }
  bool send = false;
  if (server.awaits_recovery(now) && !server.probe_running) {
    send = server.probe_bucket.try_take(1, now);
    if (!send) {
      server.start_recovery(now);
    }
  } else if (const auto due = probe_due(server); due && *due <= now) {
    send = m_summaries[index].in_use == 0 && server.probe_bucket.try_take(1, now);
  }
  if (send) {
    server.probe_running = true;
    server.probe_sent = now;
    actions.push_back(SendProbe{ .server = server.info.id, .address = server.info.address });
  }
}

TimePoint
ServerTable::next_check(TimePoint now) const
{
  TimePoint next = TimePoint::max();
  for (const Summary& summary : m_summaries) {
    if (now <= summary.eligible_until) {
      next = std::min(next, summary.check_at);
    }
  }
  return next;
}

unsigned
ServerTable::eligible_count(TimePoint now) const
{
  unsigned count = 0;
  for (const Summary& summary : m_summaries) {
    count += now <= summary.eligible_until ? 1U : 0U;
  }
  return count;
}

} // namespace lovagehold
