#include "server_state.h"

#include <algorithm>
#include <bitset>
#include <cmath>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kColdTime{ 10 };
constexpr unsigned kSuccessRun = 4;
constexpr milliseconds kFirstRefusalBackoff{ 250 };
constexpr milliseconds kLongestRefusalBackoff{ 4000 };
constexpr seconds kFirstEjection{ 1 };
constexpr seconds kLongestEjection{ 30 };
constexpr unsigned kConsecutiveFailures = 5;
constexpr unsigned kHistoryLength = 20;
constexpr unsigned kMinimumSamples = 10;
// An EWMA over about 19 samples: 3 times the median of the peers is then outside the noise of
// heavy-tailed service times.
constexpr double kServiceTimeWeight = 0.1;
// One extreme sample of a heavy tail does not by itself put a server on probation.
constexpr int kSampleClip = 10;
const double kSpeedClassFactor = std::log(1.5);

} // namespace

ServerState::ServerState(const ServerInfo& server, TokenBucket bucket, TimePoint now)
  : info(server)
  , last_renewal(now)
  , probe_bucket(bucket)
  , m_refusal_backoff(kFirstRefusalBackoff)
  , m_ejection(kFirstEjection)
  , m_last_information(now)
{
}

void
ServerState::start_cold(TimePoint now)
{
  m_ramping = true;
  m_ramp_limit = 1;
  m_run = 0;
  m_ramp_end = now + kColdTime;
}

void
ServerState::advance(TimePoint now)
{
  while (m_withheld > 0 && now >= m_withheld_until) {
    --m_withheld;
    m_withheld_until += m_refusal_backoff;
  }
  if (m_ramping && m_health != Health::Ejected && now >= m_ramp_end) {
    m_ramping = false;
    m_health = Health::Healthy;
  }
}

unsigned
ServerState::slot_limit(unsigned share_limit) const
{
  unsigned limit = share_limit;
  if (m_ramping) {
    limit = std::min(limit, m_ramp_limit);
  }
  if (on_probation) {
    limit = std::min(limit, 1U);
  }
  return limit - std::min(limit, m_withheld);
}

TimePoint
ServerState::next_change() const
{
  TimePoint next = TimePoint::max();
  if (m_withheld > 0) {
    next = std::min(next, m_withheld_until);
  }
  if (is_ejected()) {
    next = std::min(next, m_ejected_until);
  } else if (m_ramping) {
    next = std::min(next, m_ramp_end);
  }
  return next;
}

void
ServerState::record(bool failed)
{
  m_history = ((m_history << 1U) | (failed ? 1U : 0U)) & ((1U << kHistoryLength) - 1U);
  m_history_size = std::min(m_history_size + 1, kHistoryLength);
  m_consecutive_failures = failed ? m_consecutive_failures + 1 : 0;
}

void
ServerState::ramp_up()
{
  if (!m_ramping || ++m_run < kSuccessRun) {
    return;
  }
  m_run = 0;
  ++m_ramp_limit;
  if (m_health == Health::Recovering) {
    m_health = Health::Healthy;
  }
  if (m_ramp_limit > info.slots) {
    m_ramping = false;
    m_ejection = kFirstEjection;
  }
}

void
ServerState::on_success(TimePoint now)
{
  m_last_information = now;
  record(false);
  ramp_up();
  if (now - m_last_refusal > kLongestRefusalBackoff) {
    m_refusal_backoff = kFirstRefusalBackoff;
  }
}

void
ServerState::add_service_time(Duration service_time, Duration typical)
{
  if (typical > Duration::zero()) {
    service_time = std::min(service_time, typical * kSampleClip);
  }
  const double weight = std::max(kServiceTimeWeight, 1.0 / (m_samples + 1));
  const double change = static_cast<double>((service_time - m_service_time).count()) * weight;
  m_service_time += Duration(static_cast<Duration::rep>(change));
  ++m_samples;
  const double nanoseconds = std::max(1.0, static_cast<double>(m_service_time.count()));
  m_speed_class = static_cast<int>(std::log(nanoseconds) / kSpeedClassFactor);
}

void
ServerState::on_refusal(TimePoint attempt_started, TimePoint now)
{
  m_last_information = now;
  m_run = 0;
  // Refusals of attempts that were under way together are one event for the back-off.
  const bool again = m_last_refusal != TimePoint{} && attempt_started >= m_last_refusal;
  if (again) {
    m_refusal_backoff = std::min<Duration>(m_refusal_backoff * 2, kLongestRefusalBackoff);
  }
  m_last_refusal = now;
  m_withheld = std::min(m_withheld + 1, info.slots);
  m_withheld_until = now + m_refusal_backoff;
}

void
ServerState::on_failure(TimePoint now)
{
  m_last_information = now;
  if (is_ejected()) {
    return;
  }
  m_run = 0;
  record(true);
  const bool mostly_failing = std::bitset<kHistoryLength>(m_history).count() * 2 > kHistoryLength;
  if (m_health == Health::Recovering || m_consecutive_failures >= kConsecutiveFailures ||
      mostly_failing) {
    eject(now);
  }
}

void
ServerState::eject(TimePoint now)
{
  m_health = Health::Ejected;
  m_ejected_until = now + m_ejection;
  m_ejection = std::min<Duration>(m_ejection * 2, kLongestEjection);
  m_history = 0;
  m_history_size = 0;
  m_consecutive_failures = 0;
}

void
ServerState::start_recovery(TimePoint now)
{
  m_health = Health::Recovering;
  start_cold(now);
}

void
ServerState::on_probe(bool healthy, TimePoint now)
{
  probe_running = false;
  if (is_ejected()) {
    if (healthy) {
      start_recovery(now);
    } else {
      eject(now);
    }
  } else if (!healthy) {
    on_failure(now);
  }
  // A healthy answer clears no failures of requests, because health endpoints can mislead.
  m_last_information = now;
}

void
ServerState::start_probation()
{
  on_probation = true;
}

void
ServerState::end_probation(TimePoint now)
{
  on_probation = false;
  start_cold(now);
}

bool
ServerState::has_service_time() const
{
  return m_samples >= kMinimumSamples;
}

} // namespace lovagehold
