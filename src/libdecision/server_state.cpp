#include "server_state.h"

#include <algorithm>
#include <bitset>
#include <cmath>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSlowStartTime{ 10 };
// Consecutive successes that raise the slow-start limit by one slot.
constexpr unsigned kSuccessesPerSlot = 4;
constexpr milliseconds kFirstRefusalBackoff{ 250 };
constexpr milliseconds kLongestRefusalBackoff{ 4000 };
constexpr seconds kFirstEjection{ 1 };
constexpr seconds kLongestEjection{ 30 };
constexpr unsigned kFailuresToEject = 5;
// Number of latest requests whose outcomes are kept. A server is also ejected if more than half of
// this many failed.
constexpr unsigned kOutcomeHistoryLength = 20;
// Samples required before the service time is compared with that of the peers.
constexpr unsigned kMinSamples = 10;
// Weight of a new sample: the EWMA covers about 19 samples, so that 3 times the median of the peers
// is outside the noise of heavy-tailed service times.
constexpr double kServiceTimeSmoothing = 0.1;
// Samples are clipped at this multiple of the typical service time, so that one extreme sample of a
// heavy tail doesn't put a server on probation by itself.
constexpr int kMaxSampleRatio = 10;
// Width of a speed class on the scale of log(nanoseconds): a factor of 1.5.
const double kSpeedClassLogWidth = std::log(1.5);

} // namespace

ServerState::ServerState(const ServerInfo& server, TokenBucket bucket, TimePoint now)
  : info(server)
  , last_renewal(now)
  , probe_bucket(bucket)
  , m_refusal_backoff(kFirstRefusalBackoff)
  , m_ejection_time(kFirstEjection)
  , m_last_observation(now)
{
}

void
ServerState::begin_slow_start(TimePoint now)
{
  m_slow_start = true;
  m_slow_start_limit = 1;
  m_success_run = 0;
  m_slow_start_end = now + kSlowStartTime;
}

void
ServerState::advance(TimePoint now)
{
  while (m_withheld_slots > 0 && now >= m_withheld_until) {
    --m_withheld_slots;
    m_withheld_until += m_refusal_backoff;
  }
  if (m_slow_start && m_health != Health::Ejected && now >= m_slow_start_end) {
    m_slow_start = false;
    m_health = Health::Healthy;
  }
}

unsigned
ServerState::slot_limit(unsigned share_limit) const
{
  unsigned limit = share_limit;
  if (m_slow_start) {
    limit = std::min(limit, m_slow_start_limit);
  }
  if (on_probation) {
    limit = std::min(limit, 1U);
  }
  return limit - std::min(limit, m_withheld_slots);
}

TimePoint
ServerState::next_change() const
{
  TimePoint next = TimePoint::max();
  if (m_withheld_slots > 0) {
    next = std::min(next, m_withheld_until);
  }
  if (is_ejected()) {
    next = std::min(next, m_ejected_until);
  } else if (m_slow_start) {
    next = std::min(next, m_slow_start_end);
  }
  return next;
}

void
ServerState::record_outcome(bool failed)
{
  m_outcomes = ((m_outcomes << 1U) | (failed ? 1U : 0U)) & ((1U << kOutcomeHistoryLength) - 1U);
  m_consecutive_failures = failed ? m_consecutive_failures + 1 : 0;
}

void
ServerState::advance_slow_start()
{
  if (!m_slow_start || ++m_success_run < kSuccessesPerSlot) {
    return;
  }
  m_success_run = 0;
  ++m_slow_start_limit;
  if (m_health == Health::Recovering) {
    m_health = Health::Healthy;
  }
  if (m_slow_start_limit > info.slots) {
    m_slow_start = false;
    m_ejection_time = kFirstEjection;
  }
}

void
ServerState::on_success(TimePoint now)
{
  m_last_observation = now;
  record_outcome(false);
  advance_slow_start();
  if (now - m_last_refusal > kLongestRefusalBackoff) {
    m_refusal_backoff = kFirstRefusalBackoff;
  }
}

void
ServerState::add_service_time(Duration service_time, Duration typical)
{
  if (typical > Duration::zero()) {
    service_time = std::min(service_time, typical * kMaxSampleRatio);
  }
  const double weight = std::max(kServiceTimeSmoothing, 1.0 / (m_sample_count + 1));
  const double change = static_cast<double>((service_time - m_service_time).count()) * weight;
  m_service_time += Duration(static_cast<Duration::rep>(change));
  ++m_sample_count;
  const double nanoseconds = std::max(1.0, static_cast<double>(m_service_time.count()));
  m_speed_class = static_cast<int>(std::log(nanoseconds) / kSpeedClassLogWidth);
}

void
ServerState::on_refusal(TimePoint attempt_started, TimePoint now)
{
  m_last_observation = now;
  m_success_run = 0;
  // Refusals of concurrent attempts count as one event for the back-off.
  const bool again = m_last_refusal != TimePoint{} && attempt_started >= m_last_refusal;
  if (again) {
    m_refusal_backoff = std::min<Duration>(m_refusal_backoff * 2, kLongestRefusalBackoff);
  }
  m_last_refusal = now;
  m_withheld_slots = std::min(m_withheld_slots + 1, info.slots);
  m_withheld_until = now + m_refusal_backoff;
}

void
ServerState::on_failure(TimePoint now)
{
  m_last_observation = now;
  if (is_ejected()) {
    return;
  }
  m_success_run = 0;
  record_outcome(true);
  const bool mostly_failing =
    std::bitset<kOutcomeHistoryLength>(m_outcomes).count() * 2 > kOutcomeHistoryLength;
  if (m_health == Health::Recovering || m_consecutive_failures >= kFailuresToEject ||
      mostly_failing) {
    eject(now);
  }
}

void
ServerState::eject(TimePoint now)
{
  m_health = Health::Ejected;
  m_ejected_until = now + m_ejection_time;
  m_ejection_time = std::min<Duration>(m_ejection_time * 2, kLongestEjection);
  m_outcomes = 0;
  m_consecutive_failures = 0;
}

void
ServerState::start_recovery(TimePoint now)
{
  m_health = Health::Recovering;
  begin_slow_start(now);
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
  // A healthy probe doesn't clear failures of requests, because a health endpoint can report
  // healthy while requests fail.
  m_last_observation = now;
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
  begin_slow_start(now);
}

bool
ServerState::has_service_time() const
{
  return m_sample_count >= kMinSamples;
}

} // namespace lovagehold
