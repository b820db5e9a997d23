#include "lovagehold/burn_rate_alarm.h"

#include <algorithm>

namespace lovagehold {

BurnRateAlarm::BurnRateAlarm(const BurnRateAlarmOptions& options)
  : m_options(options)
  , m_buckets(static_cast<std::size_t>(std::max<std::int64_t>(1, options.long_window / kBucket)))
{
}

void
BurnRateAlarm::advance(TimePoint now)
{
  const std::int64_t bucket = now.time_since_epoch() / kBucket;
  const auto size = static_cast<std::int64_t>(m_buckets.size());
  if (m_first_bucket < 0) {
    m_first_bucket = bucket;
  }
  const std::int64_t first = std::max(m_current_bucket + 1, bucket - size + 1);
  for (std::int64_t next = first; next <= bucket; ++next) {
    m_buckets[static_cast<std::size_t>(next % size)] = {};
  }
  m_current_bucket = std::max(m_current_bucket, bucket);
}

BurnRateAlarm::Counts&
BurnRateAlarm::current_bucket()
{
  return m_buckets[static_cast<std::size_t>(m_current_bucket) % m_buckets.size()];
}

void
BurnRateAlarm::record_good(std::uint64_t count, TimePoint now)
{
  advance(now);
  current_bucket().total += count;
}

void
BurnRateAlarm::record_failed(AlarmCause cause, std::uint64_t count, TimePoint now)
{
  advance(now);
  Counts& bucket = current_bucket();
  bucket.total += count;
  bucket.failed[static_cast<std::size_t>(cause)] += count;
}

BurnRateAlarm::Counts
BurnRateAlarm::sum(std::chrono::seconds window) const
{
  const auto size = static_cast<std::int64_t>(m_buckets.size());
  const std::int64_t count = std::clamp<std::int64_t>(window / kBucket, 1, size);
  Counts sum;
  for (std::int64_t i = std::max<std::int64_t>(0, m_current_bucket - count + 1);
       i <= m_current_bucket;
       ++i) {
    const Counts& bucket = m_buckets[static_cast<std::size_t>(i % size)];
    sum.total += bucket.total;
    for (std::size_t cause = 0; cause < kAlarmCauses; ++cause) {
      sum.failed[cause] += bucket.failed[cause];
    }
  }
  return sum;
}

double
BurnRateAlarm::burn_rate(const Counts& counts, std::size_t cause, std::chrono::seconds window) const
{
  if (counts.total == 0 || m_options.error_budget <= 0) {
    return 0;
  }
  const double share =
    static_cast<double>(counts.failed[cause]) / static_cast<double>(counts.total);
  // The time before the first call counts as free of failures. Otherwise a burst in the first
  // seconds would fill both windows and fire the alarm.
  const double observed = static_cast<double>(m_current_bucket - m_first_bucket + 1);
  const double buckets = static_cast<double>(std::max<std::int64_t>(1, window / kBucket));
  return share / m_options.error_budget * std::min(1.0, observed / buckets);
}

bool
BurnRateAlarm::is_outweighed(const Counts& counts, std::size_t cause) const
{
  for (std::size_t other = 0; other < kAlarmCauses; ++other) {
    if (other != cause && counts.failed[other] > counts.failed[cause]) {
      return true;
    }
  }
  return false;
}

std::vector<AlarmEvent>
BurnRateAlarm::update(TimePoint now)
{
  advance(now);
  const Counts long_counts = sum(m_options.long_window);
  const Counts short_counts = sum(m_options.short_window);
  std::vector<AlarmEvent> events;
  for (std::size_t cause = 0; cause < kAlarmCauses; ++cause) {
    const double long_rate = burn_rate(long_counts, cause, m_options.long_window);
    const double short_rate = burn_rate(short_counts, cause, m_options.short_window);
    const bool burning = long_rate > m_options.fire_rate && short_rate > m_options.fire_rate &&
                         long_counts.failed[cause] >= m_options.minimum_failures;
    const bool clear = long_rate < m_options.clear_rate && short_rate < m_options.clear_rate;
    const bool fires = !m_firing[cause] && burning && !is_outweighed(short_counts, cause);
    if (fires || (m_firing[cause] && clear)) {
      m_firing[cause] = fires;
      events.push_back({ .cause = static_cast<AlarmCause>(cause),
                         .firing = fires,
                         .long_rate = long_rate,
                         .short_rate = short_rate });
    }
  }
  return events;
}

} // namespace lovagehold
