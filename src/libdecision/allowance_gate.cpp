#include "lovagehold/allowance_gate.h"

#include <algorithm>
#include <cmath>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// Confirmations take this multiple of the mean time at most while a host's traffic varies.
constexpr double kVariation = 1.5;

double
to_seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

AllowanceGate::State&
AllowanceGate::find(const ClientAccount& account, TimePoint now)
{
  State& state = m_accounts[account.name];
  state.last_request = now;
  return state;
}

void
AllowanceGate::contact(TimePoint now)
{
  if (now - m_contact >= m_options.contact_time) {
    m_resumed = now;
  }
  m_contact = now;
}

void
AllowanceGate::set_restricted(const std::vector<std::string>& accounts, TimePoint now)
{
  for (const auto& [name, heard] : m_restricted) {
    const auto state = m_accounts.find(name);
    const bool ends = std::find(accounts.begin(), accounts.end(), name) == accounts.end();
    if (ends && state != m_accounts.end()) {
      state->second.restricted_at.reset();
    }
  }
  m_restricted.clear();
  for (const std::string& name : accounts) {
    m_restricted[name] = now;
  }
}

// Requests by which all hosts may exceed the allowance in a window, without those that the ledger's
// jitter takes.
double
AllowanceGate::spare(const ClientAccount& account) const
{
  return std::max(m_options.overage *
                      (account.rate * to_seconds(m_options.window) + account.burst) +
                    m_options.slack - m_options.jitter,
                  0.0);
}

double
AllowanceGate::unconfirmed_limit(const ClientAccount& account,
                                 const State& state,
                                 TimePoint now) const
{
  const double part = m_options.unconfirmed_part * spare(account) / static_cast<double>(m_hosts);
  // One request is always sent at once: an account with little traffic at each of many hosts would
  // otherwise wait for almost every request.
  return std::max(part, 1.0) +
         kVariation * to_seconds(m_options.confirm_time) * mean_rate(state, now);
}

double
AllowanceGate::mean_rate(const State& state, TimePoint now) const
{
  const Duration elapsed = std::max(now - state.mean_at, Duration::zero());
  return state.mean_rate * std::exp(-to_seconds(elapsed) / to_seconds(m_options.mean_time));
}

// Only requests that the ledger has counted or granted enter the mean, so that demand beyond the
// allowance can't raise the limit of the unconfirmed ones.
void
AllowanceGate::count(State& state, unsigned requests, TimePoint now) const
{
  state.mean_rate = mean_rate(state, now) + requests / to_seconds(m_options.mean_time);
  state.mean_at = now;
}

bool
AllowanceGate::restricts(const State& state, TimePoint now) const
{
  return state.restricted_at && now - *state.restricted_at < m_options.restriction_time;
}

bool
AllowanceGate::is_restricted(const std::string& account, TimePoint now) const
{
  const auto state = m_accounts.find(account);
  const auto listed = m_restricted.find(account);
  return (state != m_accounts.end() && restricts(state->second, now)) ||
         (listed != m_restricted.end() && now - listed->second < m_options.restriction_time);
}

std::size_t
AllowanceGate::restricted_count(TimePoint now) const
{
  std::size_t count = 0;
  for (const auto& [name, state] : m_accounts) {
    count += is_restricted(name, now) ? 1 : 0;
  }
  return count;
}

AllowanceVerdict
AllowanceGate::decide(const ClientAccount& account, TimePoint now)
{
  State& state = find(account, now);
  if (now < state.denied_until) {
    return AllowanceVerdict::Deny;
  }
  const bool told = in_contact(now) && now - m_resumed >= m_options.resume_time;
  const bool may_admit = state.answered &&
                         (told || now - state.answered_at < m_options.contact_time) &&
                         !is_restricted(account.name, now) &&
                         state.unconfirmed + 1 <= unconfirmed_limit(account, state, now);
  if (!may_admit) {
    return AllowanceVerdict::Ask;
  }
  ++state.unconfirmed;
  return AllowanceVerdict::Admit;
}

bool
AllowanceGate::admit_locally(const ClientAccount& account, TimePoint now, std::mt19937_64& random)
{
  State& state = find(account, now);
  const double hosts = static_cast<double>(m_hosts);
  const double rate = m_options.local_rate * account.rate / hosts;
  const double limit = std::min(m_options.local_part * spare(account) / hosts, 2.0);
  if (state.local) {
    state.local->configure(rate, limit, now);
  } else {
    state.local.emplace(rate, limit, limit, now);
  }
  return state.local->take(now, random);
}

void
AllowanceGate::confirm(const std::string& account,
                       unsigned requests,
                       unsigned granted,
                       TimePoint now)
{
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return;
  }
  State& state = found->second;
  // After an outage, the ledger may have been told of requests only that were sent before it.
  state.unconfirmed =
    state.answered ? state.unconfirmed - std::min(state.unconfirmed, requests) : 0;
  count(state, requests + granted, now);
}

void
AllowanceGate::apply(const std::string& account, const AllowanceAnswer& answer, TimePoint now)
{
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return;
  }
  State& state = found->second;
  state.answered = true;
  state.answered_at = now;
  if (answer.restricted) {
    state.restricted_at = now;
  } else {
    state.restricted_at.reset();
    m_restricted.erase(account);
  }
  if (answer.wait.count() > 0) {
    state.denied_until = now + answer.wait;
    state.denied_over = answer.over;
    state.denied_retry = std::max(answer.retry, answer.wait);
  }
}

void
AllowanceGate::unanswered(const std::string& account)
{
  const auto found = m_accounts.find(account);
  if (found != m_accounts.end()) {
    found->second.answered = false;
  }
}

AllowanceGate::Denial
AllowanceGate::denial(const std::string& account, TimePoint now, std::mt19937_64& random) const
{
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return {};
  }
  const State& state = found->second;
  const milliseconds least =
    std::max(std::chrono::ceil<milliseconds>(state.denied_until - now), milliseconds(0));
  std::uniform_int_distribution<std::int64_t> any(least.count(),
                                                  std::max(state.denied_retry, least).count());
  return { .over = state.denied_over, .retry = milliseconds(any(random)) };
}

void
AllowanceGate::expire(TimePoint now)
{
  std::erase_if(m_accounts, [&](const auto& entry) {
    return now - entry.second.last_request >= m_options.retention;
  });
  std::erase_if(m_restricted, [&](const auto& entry) {
    return now - entry.second >= m_options.restriction_time;
  });
}

} // namespace lovagehold
