#pragma once

#include "claim.h"
#include "exchange.h"
#include "response_writer.h"

#include <map>

namespace lovagehold {

/// Serves one request of a service that this host owns: follows the dispatcher's actions, runs the
/// attempts and delivers the first response. Belongs to the session's thread.
class OwnedRequest
{
public:
  OwnedRequest(Exchange& exchange, const asio::any_io_executor& executor);

  awaitable<SessionOutcome> run();

  /// The host gave the service up before anything of the request was sent or claimed, so that the
  /// new owner may serve it. Nothing was sent to the caller then.
  bool moved() const { return m_moved; }

private:
  struct Running
  {
    std::shared_ptr<ServerAttempt> server;
    Claim claim;
    /// Set if the claim was not granted.
    std::optional<StringResponse> refusal;
    /// The attempt did not run, but this could not be committed.
    bool unconfirmed = false;
  };
  using RunningPtr = std::shared_ptr<Running>;

  void submit();
  void handle(const ExchangeEvent& event);
  void handle_action(const Action& action);
  void start_attempt(const StartAttempt& start);
  bool accepts(const StartAttempt& start) const;
  AttemptOptions make_options(const StartAttempt& start);
  awaitable<void> run_attempt(RunningPtr running, std::string head, AttemptId id);
  awaitable<bool> claim_and_check(Running& running);
  void handle_end(AttemptId id);
  void handle_failure(const Running& running);
  void handle_response(AttemptId id, const RunningPtr& running);
  void handle_caller_gone();
  void reject(const RejectRequest& reject);
  void complete(AttemptId id, AttemptStatus status, Duration service_time = {});
  awaitable<void> cancel_others();
  awaitable<SessionOutcome> deliver();
  awaitable<void> record(const Running& running);
  void finish();
  bool decided() const;

  Exchange& m_exchange;
  std::shared_ptr<ExchangeInbox> m_inbox;
  CallerWatch m_watch;
  RequestId m_id = 0;
  std::map<AttemptId, RunningPtr> m_running;
  /// The attempt whose response is delivered.
  RunningPtr m_winner;
  AttemptId m_winner_id = 0;
  /// A complete error response of a server, delivered if no retry follows.
  RunningPtr m_fallback;
  std::optional<StringResponse> m_answer;
  AttemptStatus m_last_status = AttemptStatus::FailedUnstarted;
  unsigned m_attempts_started = 0;
  bool m_may_have_run = false;
  bool m_caller_gone = false;
  bool m_moved = false;
  bool m_finished = false;
};

} // namespace lovagehold
