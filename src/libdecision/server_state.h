#pragma once

#include "lovagehold/types.h"
#include "token_bucket.h"

#include <cstdint>

namespace lovagehold {

/// Health, service time and slot limit of one server, as its service's owner sees them. Not
/// thread-safe.
class ServerState
{
public:
  ServerState(const ServerInfo& info, TokenBucket probe_bucket, TimePoint now);

  ServerInfo info;
  TimePoint last_renewal;
  bool leaving = false;
  /// Limited to one slot because its service time is far above that of its peers.
  bool on_probation = false;
  bool probe_running = false;
  TimePoint probe_sent;
  TokenBucket probe_bucket;

  /// Starts a slow start: one slot at first, one more after each run of successes.
  void begin_slow_start(TimePoint now);

  /// Returns withheld slots whose back-off has elapsed and ends a slow start whose time is over.
  void advance(TimePoint now);

  /// \param share_limit number of slots that the owner's share permits
  /// \return number of slots that may be in use; ejection is not taken into account.
  unsigned slot_limit(unsigned share_limit) const;

  bool is_ejected() const { return m_health == Health::Ejected; }
  /// Whether the ejection time is over, so that a probe or a trial request decides on readmission.
  bool awaits_recovery(TimePoint now) const { return is_ejected() && now >= m_ejected_until; }

  void on_success(TimePoint now);
  /// Adds a sample to the average service time.
  /// \param typical median service time of the peers; zero if unknown
  void add_service_time(Duration service_time, Duration typical);
  /// The server shed the request or refused the connection: withholds one of its slots for the
  /// back-off time, which doubles if refusals continue.
  void on_refusal(TimePoint attempt_started, TimePoint now);
  void on_failure(TimePoint now);
  void on_probe(bool healthy, TimePoint now);

  /// Readmits an ejected server with a slow start.
  void start_recovery(TimePoint now);
  void start_probation();
  void end_probation(TimePoint now);

  /// Whether there are enough samples to compare the service time with the peers.
  bool has_service_time() const;
  /// Exponentially weighted moving average.
  Duration service_time() const { return m_service_time; }
  /// Servers of the same class count as equally fast; a class spans a factor of 1.5.
  int speed_class() const { return m_speed_class; }
  bool in_slow_start() const { return m_slow_start; }
  /// Time of the latest result of a request or a probe.
  TimePoint last_observation() const { return m_last_observation; }
  /// \return the next time at which advance() changes the limit; TimePoint::max() if never.
  TimePoint next_change() const;

private:
  enum class Health
  {
    Healthy,
    Ejected,
    Recovering,
  };

  Health m_health = Health::Healthy;
  bool m_slow_start = false;
  unsigned m_slow_start_limit = 1;
  /// Successes since the slow-start limit last changed, a refusal or a failure.
  unsigned m_success_run = 0;
  TimePoint m_slow_start_end;
  /// Slots withheld because of refusals.
  unsigned m_withheld_slots = 0;
  Duration m_refusal_backoff{};
  TimePoint m_withheld_until;
  TimePoint m_last_refusal;
  unsigned m_consecutive_failures = 0;
  /// Outcomes of the latest requests, one bit each; 1 is a failure.
  std::uint32_t m_outcomes = 0;
  /// Duration of the next ejection.
  Duration m_ejection_time{};
  TimePoint m_ejected_until;
  Duration m_service_time{};
  unsigned m_sample_count = 0;
  int m_speed_class = 0;
  TimePoint m_last_observation;

  void record_outcome(bool failed);
  void eject(TimePoint now);
  void advance_slow_start();
};

} // namespace lovagehold
