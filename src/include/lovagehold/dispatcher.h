#pragma once

#include "lovagehold/declaration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagehold {

/// A request as the dispatcher sees it.
struct RequestInfo
{
  RequestId id = 0;
  RequestClass request_class = RequestClass::Urgent;
  /// A second run does no harm, so that retries are allowed.
  bool idempotent = true;
  /// No result is of use after this time.
  TimePoint deadline;
  /// Retries that the levels above have left for this call.
  unsigned retries_left = 2;
};

/// How an attempt ended.
enum class AttemptStatus
{
  Succeeded,       ///< whole answer received
  Refused,         ///< the server shed the request (503) or refused the connection; it did not run
  FailedUnstarted, ///< failed before the first byte went out; it did not run
  Failed,          ///< failed after a byte may have reached the server
  TimedOut,        ///< no answer in time; it may have run
  Cancelled,       ///< ended by CancelAttempt or because the caller went away
};

struct AttemptResult
{
  AttemptStatus status = AttemptStatus::Succeeded;
  /// From the first byte sent to the answer's header.
  Duration service_time{};
};

/// Send the request to the server; report the end with Dispatcher::complete.
struct StartAttempt
{
  RequestId request = 0;
  AttemptId attempt = 0;
  ServerId server;
  std::string address;
  bool hedge = false;
  /// Retries that the levels below may make; to be propagated with the call.
  unsigned retries_left = 0;
};

/// Close the attempt's connection; report it as Cancelled. Its slot stays in use until then.
struct CancelAttempt
{
  AttemptId attempt = 0;
  RequestId request = 0;
};

enum class RejectReason
{
  Overloaded,       ///< can't be served before its deadline
  DeadlineExceeded, ///< waited until its deadline
  NoServer,         ///< the service has no eligible server
  RetriesExhausted, ///< all allowed attempts failed
  NotOwner,         ///< this host may not bind requests of the service now
};

/// Tell the caller that the request will not be served.
struct RejectRequest
{
  RequestId request = 0;
  RejectReason reason = RejectReason::Overloaded;
  /// When a new try makes sense.
  Duration retry_after{};
};

/// Probe the server's health endpoint; report with Dispatcher::probe_result.
struct SendProbe
{
  ServerId server;
  std::string address;
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, SendProbe>;
using Actions = std::vector<Action>;

/// Which part of each server's slots this owner may use.
enum class SlotShare
{
  None,     ///< not the owner: dispatch nothing, reject requests with NotOwner
  Pending,  ///< the next owner, before the handover is complete: dispatch nothing, requests wait
  Isolated, ///< cut off from control: one slot a server
  Reduced,  ///< took over without a release: all but one slot a server
  Full,
};

inline const char*
to_string(SlotShare share)
{
  switch (share) {
    case SlotShare::None:
      return "none";
    case SlotShare::Pending:
      return "pending";
    case SlotShare::Isolated:
      return "isolated";
    case SlotShare::Reduced:
      return "reduced";
    case SlotShare::Full:
      return "full";
  }
  return "unknown";
}

/// Until when shares may be used without a word from control.
struct ShareLimits
{
  TimePoint lease_until = TimePoint::max();
  TimePoint isolation_until = TimePoint::max();
};

/// \return what is left of the share at this time: after the lease Full counts as Isolated and
/// Reduced as None, after the isolation everything as None. Deciding this where requests are
/// dispatched covers a process that resumes after a pause, before its timers have run.
inline SlotShare
limit_share(SlotShare share, const ShareLimits& limits, TimePoint now)
{
  if (now < limits.lease_until) {
    return share;
  }
  const bool isolated = share == SlotShare::Full || share == SlotShare::Isolated;
  return isolated && now < limits.isolation_until ? SlotShare::Isolated : SlotShare::None;
}

struct DispatcherOptions
{
  ServiceName service;
  double probe_budget = 0.002;
  std::chrono::microseconds probe_cost{ 6000 };
  /// A server is eligible while its last renewal is at most this old.
  std::chrono::milliseconds renewal_lifetime{ 2000 };
  /// Requests queued at most, both classes together.
  std::size_t queue_capacity = 10000;
  /// Keep one slot of the service free of patient requests. May be unset for services that have
  /// no urgent requests.
  bool reserve_urgent_slot = true;
  /// Requests that may be sent to each server beyond its slots while the full share is in force.
  /// They use the time in which responses travel. Servers must queue as many requests, not refuse
  /// them.
  unsigned requests_in_transit = 0;
  /// Hedge idempotent urgent requests. Requires a caller that runs two attempts of a request at
  /// the same time and reports responding().
  bool hedging = false;
  /// Breaks ties among equally good servers.
  std::uint64_t seed = 1;
};

/// Binds the requests of one service to its servers: queues by class, slot accounting, choice of
/// the server, stragglers, retries, hedges and probes. Pure: the present time is an argument and
/// effects are returned as actions. Not thread-safe; the caller holds the lock of the service's
/// shard.
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// Adds a server or takes up its changed announcement. Counts as a renewal.
  Actions set_server(const ServerInfo& server, TimePoint now);

  /// Notes that the server announced itself again.
  Actions renew_server(const ServerId& server, TimePoint now);

  /// The server is leaving or gone: binds nothing new to it; attempts in flight go on.
  Actions remove_server(const ServerId& server, TimePoint now);

  /// Sets the share of the slots that may be used.
  Actions set_share(SlotShare share, TimePoint now);

  /// Queues a request. Its result is StartAttempt or RejectRequest, now or in a later call.
  Actions submit(const RequestInfo& request, TimePoint now);

  /// The header of the response arrived: the deadline no longer applies, the request is neither
  /// retried nor hedged, and its other attempts are cancelled. Without this call an attempt is
  /// cancelled at the deadline even while its response is being transferred.
  Actions responding(AttemptId attempt, TimePoint now);

  /// Reports the end of an attempt. Attempts that are not known are ignored.
  Actions complete(AttemptId attempt, const AttemptResult& result, TimePoint now);

  /// The caller went away: drops the request and cancels its attempts.
  Actions cancel(RequestId request, TimePoint now);

  /// Reports the end of a probe.
  Actions probe_result(const ServerId& server, bool healthy, Duration elapsed, TimePoint now);

  /// Acts on timers; to be called at next_wakeup() at the latest.
  Actions tick(TimePoint now);

  /// \return when tick() has to be called; nothing if no timer runs.
  std::optional<TimePoint> next_wakeup() const;

  /// Figures for metrics and status pages.
  struct Stats
  {
    std::size_t queued_urgent = 0;
    std::size_t queued_patient = 0;
    std::size_t in_flight = 0;
    std::size_t servers = 0;
    std::size_t eligible_servers = 0;
    std::uint64_t probes_sent = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t rejected = 0;
  };
  Stats stats(TimePoint now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
