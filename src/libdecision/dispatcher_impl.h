#pragma once

#include "lovagehold/dispatcher.h"
#include "request_queue.h"
#include "server_table.h"
#include "service_time_window.h"
#include "token_bucket.h"

#include <array>
#include <set>
#include <unordered_map>

namespace lovagehold {

/// State and steps of the Dispatcher. Each step appends its effects to a list of actions.
struct Dispatcher::Impl
{
  struct Request
  {
    RequestInfo info;
    std::uint64_t arrival = 0;
    bool queued = true;
    bool hedged = false;
    bool responding = false;
    /// Attempts in flight; zero stands for none.
    std::array<AttemptId, 2> attempts{};
    /// Server of the last failed attempt; a retry prefers another one.
    std::size_t avoid = ServerTable::kNone;
  };

  struct Attempt
  {
    RequestId request = 0;
    std::size_t server = 0;
    TimePoint started;
    TimePoint hedge_at = TimePoint::max();
    bool patient = false;
    bool cancelled = false;
    /// Cancelled because the deadline passed.
    bool expired = false;
    /// Cancelled because another attempt of the request won.
    bool lost = false;
  };

  explicit Impl(DispatcherOptions dispatcher_options);

  DispatcherOptions options;
  ServerTable servers;
  RequestQueue queue;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<AttemptId, Attempt> attempts;
  std::set<std::pair<TimePoint, RequestId>> deadlines;
  std::set<std::pair<TimePoint, AttemptId>> hedge_timers;
  ServiceTimeWindow slot_times;
  TokenBucket retry_budget;
  ServerTable::Choice choice;
  TimePoint server_timer = TimePoint::max();
  unsigned patient_in_use = 0;
  AttemptId next_attempt = 1;
  std::uint64_t next_arrival = 1;
  Stats counters;

  /// Ends each public call: expires, dispatches and sets the timers.
  void settle(TimePoint now, Actions& actions);
  void reject(RequestId id, RejectReason reason, Duration retry_after, Actions& actions);
  /// Removes the request from all queues and timers.
  void forget(RequestId id);
  /// \return whether the request that is waiting can't be served before its deadline, and the time
  /// after which a new try makes sense.
  std::optional<Duration> hopeless_for(const Request& request, TimePoint now) const;
  void start(Request& request, std::size_t server, bool hedge, TimePoint now, Actions& actions);
  void observe(const Attempt& attempt, const AttemptResult& result, TimePoint now);
  void end_attempt(const Attempt& attempt, AttemptStatus status, TimePoint now, Actions& actions);
  void cancel_attempts(const Request& request, AttemptId winner, bool expired, Actions& actions);

private:
  void expire(TimePoint now, Actions& actions);
  void dispatch(TimePoint now, Actions& actions);
  void run_hedges(TimePoint now, Actions& actions);
  bool try_hedge(AttemptId id, TimePoint now, Actions& actions);
  bool patient_allowed() const;
  void retry_or_reject(Request& request, AttemptStatus status, TimePoint now, Actions& actions);
};

} // namespace lovagehold
