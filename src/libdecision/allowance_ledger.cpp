#include "lovagehold/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// Absorbs rounding errors, so that a request is granted at the time that a denial named.
constexpr double kTolerance = 1e-6;
// Smallest rate by which a time is computed, which keeps tiny rates from overflowing.
constexpr double kMinRate = 1e-9;

double
to_seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

milliseconds
time_for(double tokens, double rate, milliseconds limit)
{
  const double ms = std::ceil(std::max(tokens, 0.0) / std::max(rate, kMinRate) * 1000);
  return ms < static_cast<double>(limit.count()) ? milliseconds(static_cast<std::int64_t>(ms))
                                                 : limit;
}

} // namespace

double
AllowanceLedger::depth(const State& state) const
{
  return state.limit.burst +
         std::max(m_options.jitter, state.limit.rate * to_seconds(m_options.jitter_time));
}

double
AllowanceLedger::known_depth(const State& state) const
{
  return depth(state) + state.limit.rate * to_seconds(m_options.known_time);
}

AllowanceLedger::State&
AllowanceLedger::find(const std::string& account, const AllowanceLimit& limit, TimePoint now)
{
  const auto [entry, is_new] = m_accounts.try_emplace(account);
  State& state = entry->second;
  if (is_new) {
    state = { .limit = limit, .created = now, .updated = now, .low_at = now };
    state.grantable.level = std::min(m_options.initial, depth(state));
    state.known.level = known_depth(state);
  } else {
    refill(state, now);
    if (limit.version > state.limit.version) {
      state.limit = limit;
      refill(state, now);
    }
  }
  state.last_message = now;
  return state;
}

void
AllowanceLedger::refill(Bucket& bucket, double rate, double depth, Duration elapsed, TimePoint now)
  const
{
  const double level = bucket.level + rate * to_seconds(elapsed);
  const double most_spilled = rate * to_seconds(m_options.report_delay);
  if (level >= depth) {
    bucket.spilled = std::min(bucket.spilled + level - depth, most_spilled);
    bucket.spilled_at = now;
  } else if (now - bucket.spilled_at > m_options.report_delay) {
    bucket.spilled = 0;
  }
  // Uses from before the window no longer count. This also ends debt that a lowered limit could not
  // repay.
  const double floor = -rate * to_seconds(m_options.window);
  bucket.level = std::clamp(level, floor, std::max(depth, floor));
}

void
AllowanceLedger::refill(State& state, TimePoint now) const
{
  const Duration elapsed = std::max(now - state.updated, Duration::zero());
  state.updated = std::max(state.updated, now);
  if (state.share > 0) {
    refill(state.grantable,
           state.limit.rate * state.share,
           depth(state) * state.share,
           elapsed,
           state.updated);
  }
  refill(state.known, state.limit.rate, known_depth(state), elapsed, state.updated);
}

void
AllowanceLedger::charge(Bucket& bucket, double requests, bool reported, TimePoint now) const
{
  const bool recent = now - bucket.spilled_at <= m_options.report_delay;
  const double late = reported && recent ? std::min(bucket.spilled, requests) : 0;
  bucket.spilled -= late;
  bucket.level -= requests - late;
}

void
AllowanceLedger::use(const std::string& account,
                     const AllowanceLimit& limit,
                     unsigned requests,
                     unsigned repeated,
                     TimePoint now)
{
  State& state = find(account, limit, now);
  charge(state.grantable, requests, true, now);
  // Counted twice, they would deny requests within the allowance.
  charge(state.known, requests - std::min(repeated, requests), true, now);
  update_restriction(state, now);
}

AllowanceAnswer
AllowanceLedger::query(const std::string& account,
                       const AllowanceLimit& limit,
                       unsigned requests,
                       TimePoint now,
                       std::mt19937_64& random)
{
  State& state = find(account, limit, now);
  const double left = state.grantable.level + kTolerance;
  AllowanceAnswer answer{ .granted = static_cast<unsigned>(
                            std::clamp(std::floor(left), 0.0, static_cast<double>(requests))) };
  charge(state.grantable, answer.granted, false, now);
  // A request that is denied although the account has something left counts as if it had been
  // granted, so that the next one is known to be beyond the allowance if the account goes on.
  const double left_of_known = std::max(std::floor(state.known.level + kTolerance), 0.0);
  answer.over = left_of_known < requests;
  charge(
    state.known,
    std::clamp(left_of_known, static_cast<double>(answer.granted), static_cast<double>(requests)),
    false,
    now);
  update_restriction(state, now);
  answer.restricted = state.restricted;
  if (answer.granted == requests) {
    return answer;
  }
  const double rate = state.limit.rate * state.share;
  answer.wait = time_for(
    1 - state.grantable.level, rate, answer.over ? m_options.max_wait : m_options.unsure_wait);
  const unsigned denied = requests - answer.granted;
  state.denied =
    state.denied * std::exp(-to_seconds(std::max(now - state.denied_at, Duration::zero()))) +
    denied;
  state.denied_at = now;
  const milliseconds spread = time_for(state.denied - 1, rate, m_options.max_spread);
  std::uniform_int_distribution<std::int64_t> any(0, spread.count());
  answer.retry = answer.wait + milliseconds(any(random));
  return answer;
}

void
AllowanceLedger::set_share(const std::string& account, double share, TimePoint now)
{
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end() || found->second.share == share) {
    return;
  }
  State& state = found->second;
  refill(state, now);
  // What hosts out of reach may have used until this was noticed, and their part of what is left.
  const double lost = state.share - share;
  if (share <= 0 || state.share <= 0) {
    // All of it is left to the others meanwhile. Afterwards the bucket is like a new one.
    state.grantable.level = std::min({ state.grantable.level, m_options.initial, depth(state) });
    state.grantable.spilled = 0;
  } else if (lost > 0 && now != state.created) {
    const double left = std::max(state.grantable.level, 0.0);
    state.grantable.level -=
      left * lost / state.share + lost * state.limit.rate * to_seconds(m_options.share_delay);
    state.grantable.spilled = 0;
  }
  state.share = share;
  update_restriction(state, now);
}

void
AllowanceLedger::update_restriction(State& state, TimePoint now)
{
  const double level = state.grantable.level;
  const double full = depth(state) * state.share;
  if (level <= m_options.release_above * full) {
    state.low_at = now;
  }
  const bool restricted = state.restricted
                            ? now - state.low_at < m_options.release_after
                            : level < m_options.restrict_below * full || state.share <= 0;
  m_changed = m_changed || restricted != state.restricted;
  state.restricted = restricted;
}

bool
AllowanceLedger::update(TimePoint now)
{
  for (auto& [name, state] : m_accounts) {
    refill(state, now);
    update_restriction(state, now);
  }
  std::erase_if(m_accounts, [&](const auto& entry) {
    const bool expired = now - entry.second.last_message >= m_options.retention;
    m_changed = m_changed || (expired && entry.second.restricted);
    return expired;
  });
  return std::exchange(m_changed, false);
}

bool
AllowanceLedger::is_restricted(const std::string& account) const
{
  const auto found = m_accounts.find(account);
  return found != m_accounts.end() && found->second.restricted;
}

std::vector<std::string>
AllowanceLedger::restricted() const
{
  std::vector<std::string> names;
  for (const auto& [name, state] : m_accounts) {
    if (state.restricted) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::pair<std::string, AllowanceLimit>>
AllowanceLedger::active(Duration time, TimePoint now) const
{
  std::vector<std::pair<std::string, AllowanceLimit>> accounts;
  for (const auto& [name, state] : m_accounts) {
    if (now - state.last_message < time) {
      accounts.emplace_back(name, state.limit);
    }
  }
  return accounts;
}

double
AllowanceLedger::level(const std::string& account, TimePoint now)
{
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return 0;
  }
  refill(found->second, now);
  return found->second.grantable.level;
}

} // namespace lovagehold
