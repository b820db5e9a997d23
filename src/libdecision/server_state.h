#pragma once

#include "lovagehold/types.h"
#include "token_bucket.h"

#include <cstdint>

namespace lovagehold {

/// What the owner knows about one server and how many of its slots it may use. Not thread-safe.
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

  /// The server joined: one slot at first, more with each run of successes.
  void start_cold(TimePoint now);

  /// Ends refusal back-off, ejection and cold start where their time is over.
  void advance(TimePoint now);

  /// \param share_limit slots that the owner may use according to its share
  /// \return slots that may be in use, without regard to ejection.
  unsigned slot_limit(unsigned share_limit) const;

  bool is_ejected() const { return m_health == Health::Ejected; }
  /// The time of the ejection is over; a probe or a trial request decides.
  bool awaits_recovery(TimePoint now) const { return is_ejected() && now >= m_ejected_until; }

  void on_success(TimePoint now);
  /// \param typical service time of the peers; zero if unknown
  void add_service_time(Duration service_time, Duration typical);
  /// The server shed the request or refused the connection.
  void on_refusal(TimePoint attempt_started, TimePoint now);
  void on_failure(TimePoint now);
  void on_probe(bool healthy, TimePoint now);

  /// Admits a trial request after an ejection.
  void start_recovery(TimePoint now);
  void start_probation();
  void end_probation(TimePoint now);

  /// Whether the service time has enough samples for a comparison with the peers.
  bool has_service_time() const;
  /// Exponentially weighted moving average.
  Duration service_time() const { return m_service_time; }
  /// Servers of the same class count as equally fast; a class spans a factor of 1.5.
  int speed_class() const { return m_speed_class; }
  bool is_cold() const { return m_ramping; }
  TimePoint last_information() const { return m_last_information; }
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
  bool m_ramping = false;
  unsigned m_ramp_limit = 1;
  unsigned m_run = 0;
  TimePoint m_ramp_end;
  unsigned m_withheld = 0;
  Duration m_refusal_backoff{};
  TimePoint m_withheld_until;
  TimePoint m_last_refusal;
  unsigned m_consecutive_failures = 0;
  std::uint32_t m_history = 0;
  unsigned m_history_size = 0;
  Duration m_ejection{};
  TimePoint m_ejected_until;
  Duration m_service_time{};
  unsigned m_samples = 0;
  int m_speed_class = 0;
  TimePoint m_last_information;

  void record(bool failed);
  void eject(TimePoint now);
  void ramp_up();
};

} // namespace lovagehold
