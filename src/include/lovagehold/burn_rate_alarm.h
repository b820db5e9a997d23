#pragma once

#include "lovagehold/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lovagehold {

/// Why a request failed its target.
enum class AlarmCause
{
  Overload,      ///< rejected, or waited too long in a queue
  ServerFailure, ///< failed, refused or timed out at a server
  Late,          ///< served, but after its deadline
};
inline constexpr std::size_t kAlarmCauses = 3;

struct BurnRateAlarmOptions
{
  /// Share of the requests that may fail or be late.
  double error_budget = 0.001;
  std::chrono::seconds long_window{ 300 };
  std::chrono::seconds short_window{ 60 };
  /// Multiples of the error budget. Fires when both windows are above fire_rate, clears when both
  /// are below clear_rate.
  double fire_rate = 10;
  double clear_rate = 1;
  /// Failures needed in the long window; fewer say little about the rate of a small service.
  std::uint64_t minimum_failures = 20;
};

/// An alarm that changed its state.
struct AlarmEvent
{
  AlarmCause cause = AlarmCause::Overload;
  bool firing = false;
  /// Multiples of the error budget spent in the windows.
  double long_rate = 0;
  double short_rate = 0;
};

/// Alarm on the burn rate of a service's error budget over two windows (Beyer et al., The Site
/// Reliability Workbook, chapter 5), with hysteresis and one alarm per cause. A cause does not fire
/// while another cause accounts for more of the failures, so that one overload gives one alarm.
///
/// With a share f of failing requests, it fires after about
/// long_window * fire_rate * error_budget / f, at most one bucket (5 s) and one update later. For
/// f = 1/3 (150% offered load) and the defaults this is 9 s, and 15 s at most with an update each
/// second. Not thread-safe.
class BurnRateAlarm
{
public:
  static constexpr std::chrono::seconds kBucket{ 5 };

  explicit BurnRateAlarm(const BurnRateAlarmOptions& options);

  /// Counts requests that met the target. \p now must not decrease between calls.
  void record_good(std::uint64_t count, TimePoint now);

  /// Counts requests that failed the target.
  void record_failed(AlarmCause cause, std::uint64_t count, TimePoint now);

  /// Evaluates the windows; to be called about once a second.
  /// \return the alarms that began or ended.
  std::vector<AlarmEvent> update(TimePoint now);

  bool is_firing(AlarmCause cause) const { return m_firing[static_cast<std::size_t>(cause)]; }

private:
  struct Counts
  {
    std::uint64_t total = 0;
    std::array<std::uint64_t, kAlarmCauses> failed{};
  };

  BurnRateAlarmOptions m_options;
  std::vector<Counts> m_buckets;
  std::int64_t m_current = 0;
  std::int64_t m_first = -1;
  std::array<bool, kAlarmCauses> m_firing{};

  void advance(TimePoint now);
  Counts& current_bucket();
  Counts sum(std::chrono::seconds window) const;
  double burn_rate(const Counts& counts, std::size_t cause, std::chrono::seconds window) const;
  bool is_outweighed(const Counts& counts, std::size_t cause) const;
};

} // namespace lovagehold
