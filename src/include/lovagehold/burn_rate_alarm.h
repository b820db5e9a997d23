#pragma once

#include "lovagehold/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lovagehold {

/// Why a request missed the service level objective.
enum class AlarmCause
{
  Overload,      ///< rejected, or queued for too long
  ServerFailure, ///< failed, refused or timed out at a server
  Late,          ///< served, but after its deadline
};
inline constexpr std::size_t kAlarmCauses = 3;

struct BurnRateAlarmOptions
{
  /// Fraction of the requests that may fail or be late.
  double error_budget = 0.001;
  std::chrono::seconds long_window{ 300 };
  std::chrono::seconds short_window{ 60 };
  /// Burn rates, in multiples of the error budget. The alarm fires when both windows are above
  /// fire_rate and clears when both are below clear_rate.
  double fire_rate = 10;
  double clear_rate = 1;
  /// Minimum number of failures in the long window for an alarm; with fewer, the rate of a service
  /// with little traffic is not significant.
  std::uint64_t minimum_failures = 20;
};

/// A change of state of an alarm.
struct AlarmEvent
{
  AlarmCause cause = AlarmCause::Overload;
  bool firing = false;
  /// Burn rates in the two windows, in multiples of the error budget.
  double long_rate = 0;
  double short_rate = 0;
};

/// Alarm on the burn rate of a service's error budget over two windows (Beyer et al., The Site
/// Reliability Workbook, chapter 5), with hysteresis and one alarm per cause. A cause does not fire
/// while another cause accounts for more of the failures, so that an overload raises a single
/// alarm.
///
/// With a share f of failing requests, it fires after about
/// long_window * fire_rate * error_budget / f, at most one bucket (5 s) and one update later. For
/// f = 1/3 (150% offered load) and the defaults this is 9 s, and 15 s at most with an update each
/// second. Not thread-safe.
class BurnRateAlarm
{
public:
  /// Duration that one bucket of the counts covers.
  static constexpr std::chrono::seconds kBucket{ 5 };

  explicit BurnRateAlarm(const BurnRateAlarmOptions& options);

  /// Counts requests that met the objective. \p now must not decrease between calls.
  void record_good(std::uint64_t count, TimePoint now);

  /// Counts requests that missed the objective.
  void record_failed(AlarmCause cause, std::uint64_t count, TimePoint now);

  /// Evaluates the windows; to be called about once a second.
  /// \return the alarms that started or stopped firing.
  std::vector<AlarmEvent> update(TimePoint now);

  bool is_firing(AlarmCause cause) const { return m_firing[static_cast<std::size_t>(cause)]; }

private:
  struct Counts
  {
    std::uint64_t total = 0;
    std::array<std::uint64_t, kAlarmCauses> failed{};
  };

  BurnRateAlarmOptions m_options;
  /// Ring buffer of the long window, indexed by bucket number modulo its size.
  std::vector<Counts> m_buckets;
  /// Numbers of the current and of the first bucket; m_first_bucket is -1 before the first call.
  std::int64_t m_current_bucket = 0;
  std::int64_t m_first_bucket = -1;
  std::array<bool, kAlarmCauses> m_firing{};

  void advance(TimePoint now);
  Counts& current_bucket();
  Counts sum(std::chrono::seconds window) const;
  double burn_rate(const Counts& counts, std::size_t cause, std::chrono::seconds window) const;
  bool is_outweighed(const Counts& counts, std::size_t cause) const;
};

} // namespace lovagehold
