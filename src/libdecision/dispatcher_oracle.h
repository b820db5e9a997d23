#pragma once

#include "lovagehold/dispatcher.h"

#include <map>
#include <set>

namespace lovagehold {

/// Violations of the Dispatcher's properties that the oracle detects.
enum class Violation
{
  SlotsExceeded,
  ProbeBudgetExceeded,
  IneligibleServer,
  SecondRun,
  DeadlineMissed,
  UrgentBehindPatient,
  WrongAnswer, ///< a request got a wrong reply or none, or a timer never stops
};

/// Injected faults. Each gives the dispatcher different input than the model, so that one property
/// is violated; this proves that the checks can fail.
enum class Fault
{
  None,
  OneSlotTooMany,
  ProbeBudgetTimesTen,
  LeaveNotDelivered,
  SpuriousRenewals,
  TreatedAsIdempotent,
  TimersIgnored,
  CancelNotDelivered,
  PatientTreatedAsUrgent,
};

/// One step of a generated run. The meaning of a and b depends on the kind; values out of range
/// wrap around.
struct Step
{
  int kind = 0;
  unsigned a = 0;
  unsigned b = 0;
};

/// Drives a Dispatcher through generated steps and checks its actions against a simple model of the
/// servers, requests and queues.
class DispatcherOracle
{
public:
  explicit DispatcherOracle(Fault fault = Fault::None);

  void run(const Step& step);
  const std::set<Violation>& violations() const { return m_violations; }
  std::size_t starts() const { return m_starts; }
  std::size_t probes() const { return m_probes; }

private:
  struct ModelServer
  {
    unsigned slots = 0;
    unsigned in_use = 0;
    TimePoint renewed;
    TimePoint joined;
    bool leaving = false;
    std::vector<TimePoint> probes;
    bool probing = false;
  };
  struct ModelRequest
  {
    RequestInfo info;
    bool queued = true;
    bool may_have_run = false;
    bool responding = false;
    std::set<AttemptId> running;
  };
  struct ModelAttempt
  {
    RequestId request = 0;
    ServerId server;
    bool cancelled = false;
  };

  Fault m_fault;
  Dispatcher m_dispatcher;
  TimePoint m_now;
  std::map<ServerId, ModelServer> m_servers;
  std::map<RequestId, ModelRequest> m_requests;
  std::map<AttemptId, ModelAttempt> m_attempts;
  SlotShare m_share = SlotShare::Full;
  RequestId m_next_request = 1;
  unsigned m_urgent_since_patient = 0;
  std::size_t m_starts = 0;
  std::size_t m_probes = 0;
  std::set<Violation> m_violations;

  void execute(const Step& step);
  void join(unsigned number, unsigned slots);
  void renew_some(unsigned mask);
  void leave(unsigned number);
  void submit(unsigned kind, unsigned deadline_ms);
  void finish(unsigned which, unsigned status);
  void cancel(unsigned which);
  void answer_probe(unsigned which, bool healthy);
  void advance(Duration step);

  void check_actions(const Actions& actions);
  void on_start(const StartAttempt& start);
  void on_reject(const RejectRequest& reject);
  void on_probe(const SendProbe& probe);
  void check_order(const ModelRequest& request);
  void check_slots(const ServerId& id, bool patient);
  void check_deadlines();
  /// Checks that every request with neither a reply nor an active attempt is queued.
  void check_queues();
  bool has_live_attempt(const ModelRequest& request) const;
  unsigned share_slots(const ModelServer& server) const;
  bool is_eligible(const ModelServer& server) const;
};

} // namespace lovagehold
