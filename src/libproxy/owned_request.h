#pragma once

#include "claim.h"
#include "exchange.h"
#include "response_writer.h"

#include <map>

namespace lovagehold {

/// Serves one request of a service that this host owns: executes the dispatcher's actions, runs the
/// attempts and delivers the first response. Used on the session's thread only.
class OwnedRequest
{
public:
  OwnedRequest(Exchange& exchange, const asio::any_io_executor& executor);

  /// Serves the request until the response is sent, the caller has disconnected or the service has
  /// moved.
  awaitable<SessionOutcome> run();

  /// \return whether the service moved to another host before any attempt was started. The new
  /// owner may serve the request; nothing has been sent to the caller.
  bool ownership_moved() const { return m_ownership_moved; }

private:
  struct RunningAttempt
  {
    std::shared_ptr<ServerAttempt> server;
    Claim claim;
    /// Response to the caller if the claim was not granted.
    std::optional<StringResponse> refusal;
    /// The attempt did not run, but the commit of this was not confirmed.
    bool unconfirmed = false;
  };
  using RunningAttemptPtr = std::shared_ptr<RunningAttempt>;

  void submit();
  void handle(const ExchangeEvent& event);
  void handle_action(const Action& action);
  void start_attempt(const StartAttempt& start);
  // \return whether the attempt can be started in the current state of the request.
  bool can_start(const StartAttempt& start) const;
  AttemptOptions make_attempt_options(const StartAttempt& start);
  awaitable<void> run_attempt(RunningAttemptPtr running, std::string head, AttemptId id);
  // Claims the idempotency key. \return whether the claim was granted and the attempt may still
  // run.
  awaitable<bool> claim_and_check(RunningAttempt& running);
  void handle_attempt_end(AttemptId id);
  void handle_attempt_failure(const RunningAttempt& running);
  void handle_response(AttemptId id, const RunningAttemptPtr& running);
  void handle_caller_disconnect();
  void reject(const RejectRequest& reject);
  // Reports the end of an attempt to the dispatcher.
  void complete(AttemptId id, AttemptStatus status, Duration service_time = {});
  awaitable<void> cancel_others();
  awaitable<SessionOutcome> deliver();
  // Commits the response of a non-idempotent request.
  awaitable<void> record(const RunningAttempt& running);
  // Removes the request from the dispatcher and closes the inbox; later calls have no effect.
  void finish();
  // \return whether no further event is needed to respond or to give the request up.
  bool decided() const;

  Exchange& m_exchange;
  std::shared_ptr<ExchangeInbox> m_inbox;
  CallerWatch m_watch;
  RequestId m_id = 0;
  std::map<AttemptId, RunningAttemptPtr> m_running;
  /// The attempt whose response is delivered.
  RunningAttemptPtr m_winner;
  AttemptId m_winner_id = 0;
  /// Attempt with a complete error response, which is delivered if the dispatcher does not retry.
  RunningAttemptPtr m_fallback;
  /// Response made by this host, sent if no server's response is delivered.
  std::optional<StringResponse> m_local_response;
  /// Status of the attempt that ended last.
  AttemptStatus m_last_status = AttemptStatus::FailedUnstarted;
  unsigned m_attempts_started = 0;
  /// A server may have executed a non-idempotent attempt although no response was received.
  bool m_may_have_executed = false;
  bool m_caller_disconnected = false;
  bool m_ownership_moved = false;
  bool m_finished = false;
};

} // namespace lovagehold
