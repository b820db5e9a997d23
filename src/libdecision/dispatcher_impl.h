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

/// State of the Dispatcher and the steps of its public functions. Each step appends its effects to
/// a list of actions.
struct Dispatcher::Impl
{
  struct Request
  {
    RequestInfo info;
    std::uint64_t arrival = 0;
    bool queued = true;
    bool hedged = false;
    bool responding = false;
    /// Attempts in flight; 0 marks an unused entry.
    std::array<AttemptId, 2> attempts{};
    /// Server of the last failed attempt; a retry prefers another server.
    std::size_t failed_server = ServerTable::kNone;
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
    bool lost_race = false;
  };

  explicit Impl(DispatcherOptions dispatcher_options);

  DispatcherOptions options;
  ServerTable servers;
  RequestQueue queue;
  std::unordered_map<RequestId, Request> requests;
  std::unordered_map<AttemptId, Attempt> attempts;
  std::set<std::pair<TimePoint, RequestId>> deadlines;
  std::set<std::pair<TimePoint, AttemptId>> hedge_timers;
  /// Times for which successful attempts occupied a slot.
  ServiceTimeWindow slot_times;
  /// Limits retries and hedges; refilled by successful attempts.
  TokenBucket retry_budget;
  /// Result of the latest pass over the servers.
  ServerTable::Choice choice;
  /// When ServerTable::check() has to be called next.
  TimePoint server_timer = TimePoint::max();
  /// Attempts of patient requests in flight.
  unsigned patient_in_use = 0;
  AttemptId next_attempt = 1;
  std::uint64_t next_arrival = 1;
  Stats counters;

  /// Last step of the public functions: expires requests, checks servers, dispatches queued
  /// requests, starts hedges and sets the server timer.
  void run_pending_work(TimePoint now, Actions& actions);
  void reject(RequestId id, RejectReason reason, Duration retry_after, Actions& actions);
  /// Removes the request from all queues and timers.
  void erase_request(RequestId id);
  /// \return by how much the queued request is expected to miss its deadline, which is also the
  /// time after which a retry makes sense; nothing if it is expected to meet the deadline or if
  /// there is no estimate yet.
  std::optional<Duration> expected_lateness(const Request& request, TimePoint now) const;
  void start(Request& request, std::size_t server, bool hedge, TimePoint now, Actions& actions);
  /// Updates the server's health and the service times with the result of an attempt.
  void record_result(const Attempt& attempt, const AttemptResult& result, TimePoint now);
  void end_attempt(const Attempt& attempt, AttemptStatus status, TimePoint now, Actions& actions);
  /// Cancels the attempts of the request.
  /// \param winner attempt that is kept, so that the others have lost the race; 0 if there is none
  /// \param expired whether they are cancelled because the deadline passed
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
