#pragma once

#include "lovagehold/declaration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagehold {

/// The properties of a request that the dispatcher needs.
struct RequestInfo
{
  RequestId id = 0;
  RequestClass request_class = RequestClass::Urgent;
  /// The request may safely run more than once, so retries are allowed.
  bool idempotent = true;
  /// The result is useless after this time.
  TimePoint deadline;
  /// Retries that the callers upstream have left for this call.
  unsigned retries_left = 2;
};

/// How an attempt ended.
enum class AttemptStatus
{
  Succeeded,       ///< complete response received
  Refused,         ///< the server shed the request (503) or refused the connection; it did not run
  FailedUnstarted, ///< failed before the first byte went out; it did not run
  Failed,          ///< failed after a byte may have reached the server
  TimedOut,        ///< no response in time; it may have run
  Cancelled,       ///< ended by CancelAttempt or because the caller disconnected
};

struct AttemptResult
{
  AttemptStatus status = AttemptStatus::Succeeded;
  /// From the first byte sent to the response header.
  Duration service_time{};
};

/// Send the request to the server; report the outcome with Dispatcher::complete.
struct StartAttempt
{
  RequestId request = 0;
  AttemptId attempt = 0;
  ServerId server;
  std::string address;
  bool hedge = false;
  /// Retries that the services downstream may make; to be propagated with the call.
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
  Overloaded,       ///< the queue is full, or the request can't be served before its deadline
  DeadlineExceeded, ///< the deadline passed while it was queued or in flight
  NoServer,         ///< the service has no eligible server
  RetriesExhausted, ///< an attempt failed and no retry is allowed
  NotOwner,         ///< this host may not dispatch requests of the service at present
};

/// Tell the caller that the request will not be served.
struct RejectRequest
{
  RequestId request = 0;
  RejectReason reason = RejectReason::Overloaded;
  /// Time after which the caller should retry.
  Duration retry_after{};
};

/// Probe the server's health endpoint; report the result with Dispatcher::probe_result.
struct SendProbe
{
  ServerId server;
  std::string address;
};

using Action = std::variant<StartAttempt, CancelAttempt, RejectRequest, SendProbe>;
using Actions = std::vector<Action>;

/// Which part of each server's slots the owner of a service may use.
enum class SlotShare
{
  None,     ///< not the owner: dispatch nothing, reject requests with NotOwner
  Pending,  ///< the next owner, before the handover is complete: dispatch nothing, requests wait
  Isolated, ///< no contact with the control hosts: one slot per server
  Reduced,  ///< took over without a release by the previous owner: all but one slot per server
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

/// How long shares remain valid without contact with the control hosts.
struct ShareLimits
{
  TimePoint lease_until = TimePoint::max();
  TimePoint isolation_until = TimePoint::max();
};

/// \return the share that is still valid at \p now. After lease_until, Full is limited to Isolated
/// and Reduced to None; after isolation_until, every share is None. Evaluating this at dispatch
/// protects against a process that resumes after a pause, before its timers have run.
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
  /// Maximum age of the last renewal of an eligible server.
  std::chrono::milliseconds renewal_lifetime{ 2000 };
  /// Maximum number of queued requests of both classes together.
  std::size_t queue_capacity = 10000;
  /// Keep one slot of the service free of patient requests. May be unset for services that have
  /// no urgent requests.
  bool reserve_urgent_slot = true;
  /// Requests that may be sent to each server beyond its slots while the full share is in force.
  /// They keep the slots busy while responses are in transit. Servers must queue this many requests
  /// instead of refusing them.
  unsigned requests_in_transit = 0;
  /// Hedge idempotent urgent requests. Requires a caller that can run two attempts of a request
  /// concurrently and calls responding().
  bool hedging = false;
  /// Initial position in the rotation that breaks ties among equally good servers.
  std::uint64_t seed = 1;
};

/// Assigns the requests of one service to its servers: queues by class, slot accounting, server
/// selection, outlier detection, retries, hedged requests and probes. Performs no I/O and reads no
/// clock: the current time is an argument and effects are returned as actions. Not thread-safe; the
/// caller holds the lock of the service's shard.
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// Adds a server or applies its changed announcement. Counts as a renewal.
  Actions set_server(const ServerInfo& server, TimePoint now);

  /// Renews the server's eligibility after it announced itself again.
  Actions renew_server(const ServerId& server, TimePoint now);

  /// The server is leaving or gone: starts no new attempts on it; attempts in flight continue.
  Actions remove_server(const ServerId& server, TimePoint now);

  /// Sets the share of the slots that may be used. None rejects all queued requests.
  Actions set_share(SlotShare share, TimePoint now);

  /// Queues a request. StartAttempt or RejectRequest follows, in this call or a later one.
  Actions submit(const RequestInfo& request, TimePoint now);

  /// Reports that the response header arrived: the deadline no longer applies, the request is
  /// neither retried nor hedged, and its other attempts are cancelled. Without this call an attempt
  /// is cancelled at the deadline even while its response body is being transferred.
  Actions responding(AttemptId attempt, TimePoint now);

  /// Reports the end of an attempt. Unknown attempts are ignored.
  Actions complete(AttemptId attempt, const AttemptResult& result, TimePoint now);

  /// The caller disconnected: drops the request and cancels its attempts.
  Actions cancel(RequestId request, TimePoint now);

  /// Reports the result of a probe.
  Actions probe_result(const ServerId& server, bool healthy, Duration elapsed, TimePoint now);

  /// Processes expired timers; to be called at next_wakeup() at the latest.
  Actions tick(TimePoint now);

  /// \return when tick() has to be called; nothing if no timer is pending.
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
