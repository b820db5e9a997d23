#pragma once

#include "lovagehold/queue_drain.h"
#include "lovagehold/routing_config.h"
#include "lovagehold/types.h"

#include <optional>
#include <random>

namespace lovagehold {

struct AdmissionOptions
{
  /// During a shutdown an idempotent request is accepted if this multiple of its latency objective
  /// is left, but only in the first share of the shutdown: it may take longer, and is cut off then.
  int shutdown_latency_factor = 2;
  double shutdown_early_share = 0.25;
  /// A request waits for free capacity for at most this share of its latency objective. A longer
  /// wait would leave the caller no time to come back, and would take capacity that a newer request
  /// could still use in time.
  double wait_share = 1.0 / 8;
  /// No attempt is started with less than this time left: a server could not do anything useful.
  std::chrono::milliseconds min_attempt_time{ 20 };
  /// Shortest and, without a pause of the servers, longest time after which a refused caller is
  /// asked to come back.
  std::chrono::milliseconds min_return{ 50 };
  std::chrono::milliseconds max_return{ 1000 };
  /// A caller is asked to come back within this share of the time that it still has, because
  /// callers give up on a longer time.
  double max_return_share = 1.0 / 3;
};

/// The time between the signal to stop and the latest time at which the process ends.
struct ShutdownPeriod
{
  TimePoint begin;
  TimePoint end;
};

/// A request that arrives during a shutdown.
struct ShutdownArrival
{
  RouteKind kind = RouteKind::Idempotent;
  std::chrono::milliseconds target_latency{ 0 };
  /// When its caller or its route gives up.
  TimePoint deadline;
};

/// What is known about a service when a request for it is refused.
struct RefusalState
{
  /// Earliest time at which a server accepts calls again, if all asked for a pause or have used up
  /// their limits.
  std::optional<TimePoint> pause_end;
  /// Mean time of a request; nothing if not known yet.
  std::optional<Duration> mean_request_time;
  /// Requests of the service that wait on this host.
  std::size_t waiting = 0;
  /// Servers of the service.
  std::size_t servers = 0;
  TimePoint caller_deadline;
  /// Time until capacity opens that was not promised to another request, see ReturnSchedule;
  /// nothing if it is not known.
  std::optional<Duration> opens_after;
};

/// A request that waits for free capacity.
struct WaitState
{
  /// End of the wait without knowledge of the queue, see AdmissionPolicy::latest_start.
  TimePoint usual_end;
  /// Latest start with which it is expected to meet its objective and its deadline.
  TimePoint in_time_end;
  /// Requests that come before it.
  std::size_t ahead = 0;
  /// How fast the queue moves; nothing if not known.
  std::optional<QueueSpeed> speed;
};

/// Decides how long a request may wait for a server with free capacity and when a refused caller
/// should come back. Has no state; time and randomness are arguments.
class AdmissionPolicy
{
public:
  explicit AdmissionPolicy(AdmissionOptions options = {})
    : m_options(options)
  {
  }

  /// \param since when the request began to wait
  /// \param target_latency latency objective of its route
  /// \param deadline when its caller or its route gives up
  /// \return the latest time at which the request may still be sent to a server
  TimePoint latest_start(TimePoint since,
                         std::chrono::milliseconds target_latency,
                         TimePoint deadline) const;

  /// \return the time until which the request may wait: longer than usual if the queue moves fast
  /// enough for it to be served in time; \p now, so that it is refused at once, if even a faster
  /// queue could not serve it in time. The first request is never refused by this.
  static TimePoint wait_end(const WaitState& state, TimePoint now);

  /// \return whether enough time is left for an attempt
  bool has_time_for_attempt(TimePoint now, TimePoint deadline) const
  {
    return now + m_options.min_attempt_time < deadline;
  }

  /// \return whether a request that arrives now is accepted although the host shuts down: it must
  /// be able to use its whole time, because nobody would learn how it ended if it were cut off
  bool accepts(const ShutdownArrival& arrival, const ShutdownPeriod& shutdown, TimePoint now) const;

  /// \return the value of Retry-After for a request that was not executed: about the time in which
  /// the service takes on the requests that wait, spread so that callers refused together do not
  /// return together; not before a pause of all servers ends
  std::chrono::milliseconds retry_after(const RefusalState& state,
                                        TimePoint now,
                                        std::mt19937_64& random) const;

private:
  AdmissionOptions m_options;
};

} // namespace lovagehold
