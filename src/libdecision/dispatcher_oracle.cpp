#include "dispatcher_oracle.h"

#include <algorithm>

namespace lovagehold {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kServers = 5;
constexpr unsigned kPatientInterval = 8;
constexpr double kProbeBudget = 0.002;
// Default of DispatcherOptions::renewal_lifetime: a server is eligible for this time after a
// renewal.
constexpr Duration kRenewalLifetime = 2s;
// More ticks than this within one step mean that a timer never stops.
constexpr int kMaxTicks = 10000;
// A probe takes 6 ms and may take 0.2% of the time; 1 us allows for rounding in the token bucket.
constexpr Duration kProbeInterval = 3s - 1us;

bool
is_patient(const RequestInfo& request)
{
  return request.request_class == RequestClass::Patient;
}

template<class Map>
auto
pick(Map& map, unsigned which)
{
  return map.empty() ? map.end() : std::next(map.begin(), which % map.size());
}

} // namespace

DispatcherOracle::DispatcherOracle(Fault fault)
  : m_fault(fault)
  , m_dispatcher(
      { .service = "s",
        .probe_budget = fault == Fault::ProbeBudgetTimesTen ? 10 * kProbeBudget : kProbeBudget,
        .hedging = true })
  , m_now(TimePoint{} + 1000s)
{
  for (unsigned i = 0; i < 3; ++i) {
    join(i, 3);
  }
}

void
DispatcherOracle::run(const Step& step)
{
  execute(step);
  check_queues();
}

void
DispatcherOracle::execute(const Step& step)
{
  switch (step.kind) {
    case 0:
      return join(step.a % kServers, step.b % 3 + 1);
    case 1:
      return leave(step.a % kServers);
    case 2:
    case 3:
      return renew_some(step.a);
    case 4:
      return answer_probe(step.a, step.b % 3 != 0);
    case 5:
      return cancel(step.a);
    case 6:
      m_share = static_cast<SlotShare>(std::min(step.a % 12, 4U));
      return check_actions(m_dispatcher.set_share(m_share, m_now));
    case 7:
    case 8:
    case 9:
      return advance(std::chrono::milliseconds(step.a % (step.b % 8 == 0 ? 1500 : 30)));
    default:
      return step.kind % 2 == 0 ? submit(step.a, step.b) : finish(step.a, step.b);
  }
}

unsigned
DispatcherOracle::share_slots(const ModelServer& server) const
{
  switch (m_share) {
    case SlotShare::None:
    case SlotShare::Pending:
      return 0;
    case SlotShare::Isolated:
      return 1;
    case SlotShare::Reduced:
      return server.slots - 1;
    case SlotShare::Full:
      return server.slots;
  }
  return 0;
}

bool
DispatcherOracle::is_eligible(const ModelServer& server) const
{
  return !server.leaving && m_now - server.renewed <= kRenewalLifetime;
}

void
DispatcherOracle::join(unsigned number, unsigned slots)
{
  const ServerId id = "server-" + std::to_string(number);
  ModelServer& server = m_servers[id];
  if (server.joined == TimePoint{} || (server.leaving && server.in_use == 0)) {
    server = { .slots = slots, .joined = m_now };
  }
  server.leaving = false;
  server.renewed = m_now;
  const unsigned announced_slots = server.slots + (m_fault == Fault::OneSlotTooMany ? 1 : 0);
  check_actions(m_dispatcher.set_server(
    { .service = "s", .id = id, .address = id + ":80", .slots = announced_slots, .incarnation = 1 },
    m_now));
}

void
DispatcherOracle::renew_some(unsigned mask)
{
  // All servers renew except for at most one.
  for (unsigned i = 0; i < kServers; ++i) {
    const ServerId id = "server-" + std::to_string(i);
    const auto server = m_servers.find(id);
    if (server == m_servers.end() || server->second.leaving) {
      continue;
    }
    const bool renews = mask % 16 != i;
    if (renews) {
      server->second.renewed = m_now;
    }
    if (renews || m_fault == Fault::SpuriousRenewals) {
      check_actions(m_dispatcher.renew_server(id, m_now));
    }
  }
}

void
DispatcherOracle::leave(unsigned number)
{
  const ServerId id = "server-" + std::to_string(number);
  const auto server = m_servers.find(id);
  if (server == m_servers.end() || m_servers.size() == 1) {
    return;
  }
  server->second.leaving = true;
  if (m_fault != Fault::LeaveNotDelivered) {
    check_actions(m_dispatcher.remove_server(id, m_now));
  }
}

void
DispatcherOracle::submit(unsigned kind, unsigned deadline_ms)
{
  RequestInfo info{ .id = m_next_request++,
                    .deadline = m_now + std::chrono::milliseconds(deadline_ms % 2000 + 1) };
  info.request_class = static_cast<RequestClass>(kind % 3);
  info.idempotent = info.request_class != RequestClass::NonIdempotent && kind % 7 != 0;
  m_requests[info.id].info = info;
  if (m_fault == Fault::TreatedAsIdempotent) {
    info.idempotent = true;
    info.request_class =
      info.request_class == RequestClass::NonIdempotent ? RequestClass::Urgent : info.request_class;
  }
  if (m_fault == Fault::PatientTreatedAsUrgent) {
    info.request_class = RequestClass::Urgent;
  }
  check_actions(m_dispatcher.submit(info, m_now));
}

void
DispatcherOracle::finish(unsigned which, unsigned status_number)
{
  const auto found = pick(m_attempts, which);
  if (found == m_attempts.end()) {
    return;
  }
  const auto [id, attempt] = *found;
  if (status_number % 10 == 9) {
    const auto request = m_requests.find(attempt.request);
    if (request != m_requests.end() && !attempt.cancelled) {
      request->second.responding = true;
      check_actions(m_dispatcher.responding(id, m_now));
    }
    return;
  }
  // Half of the attempts succeed.
  AttemptStatus status = static_cast<AttemptStatus>(std::min(status_number % 10, 4U));
  status = status_number % 20 >= 10 ? AttemptStatus::Succeeded : status;
  status = attempt.cancelled ? AttemptStatus::Cancelled : status;
  m_attempts.erase(found);
  --m_servers[attempt.server].in_use;
  const auto request = m_requests.find(attempt.request);
  if (request != m_requests.end()) {
    request->second.running.erase(id);
    if (status == AttemptStatus::Succeeded) {
      m_requests.erase(request);
    } else {
      request->second.may_have_run |= status != AttemptStatus::FailedUnstarted;
      request->second.queued = !has_live_attempt(request->second);
    }
  }
  check_actions(m_dispatcher.complete(id, { .status = status }, m_now));
}

bool
DispatcherOracle::has_live_attempt(const ModelRequest& request) const
{
  return std::any_of(request.running.begin(), request.running.end(), [this](AttemptId id) {
    return !m_attempts.at(id).cancelled;
  });
}

void
DispatcherOracle::check_queues()
{
  const auto queued = std::count_if(
    m_requests.begin(), m_requests.end(), [](const auto& entry) { return entry.second.queued; });
  const Dispatcher::Stats stats = m_dispatcher.stats(m_now);
  if (stats.queued_urgent + stats.queued_patient != static_cast<std::size_t>(queued)) {
    m_violations.insert(Violation::WrongAnswer);
  }
}

void
DispatcherOracle::cancel(unsigned which)
{
  const auto found = pick(m_requests, which);
  if (found != m_requests.end()) {
    const RequestId id = found->first;
    m_requests.erase(found);
    if (m_fault != Fault::CancelNotDelivered) {
      check_actions(m_dispatcher.cancel(id, m_now));
    }
  }
}

void
DispatcherOracle::answer_probe(unsigned which, bool healthy)
{
  const auto found = pick(m_servers, which);
  if (found->second.probing) {
    found->second.probing = false;
    check_actions(m_dispatcher.probe_result(found->first, healthy, 6ms, m_now));
  }
}

void
DispatcherOracle::advance(Duration step)
{
  const TimePoint end = m_now + step;
  const auto next = [this] { return m_dispatcher.next_wakeup().value_or(TimePoint::max()); };
  for (int ticks = 0; m_fault != Fault::TimersIgnored && next() <= end; ++ticks) {
    if (ticks > kMaxTicks) {
      m_violations.insert(Violation::WrongAnswer);
      return;
    }
    m_now = std::max(m_now, next());
    check_actions(m_dispatcher.tick(m_now));
    check_deadlines();
  }
  m_now = end;
  check_deadlines();
}

void
DispatcherOracle::check_deadlines()
{
  for (const auto& [id, request] : m_requests) {
    if (!request.responding && request.info.deadline <= m_now) {
      m_violations.insert(Violation::DeadlineMissed);
    }
  }
}

void
DispatcherOracle::check_actions(const Actions& actions)
{
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      on_start(*start);
    } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      on_reject(*reject);
    } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
      on_probe(*probe);
    } else if (const auto found = m_attempts.find(std::get<CancelAttempt>(action).attempt);
               found != m_attempts.end()) {
      found->second.cancelled = true;
    }
  }
}

void
DispatcherOracle::on_start(const StartAttempt& start)
{
  ++m_starts;
  const auto found = m_requests.find(start.request);
  if (found == m_requests.end()) {
    m_violations.insert(Violation::WrongAnswer);
    return;
  }
  ModelRequest& request = found->second;
  const bool idempotent =
    request.info.idempotent && request.info.request_class != RequestClass::NonIdempotent;
  if (!idempotent && (request.may_have_run || !request.running.empty())) {
    m_violations.insert(Violation::SecondRun);
  }
  if (!start.hedge) {
    check_order(request);
  }
  request.queued = false;
  request.running.insert(start.attempt);
  m_attempts[start.attempt] = { start.request, start.server };
  ++m_servers[start.server].in_use;
  check_slots(start.server, is_patient(request.info));
}

void
DispatcherOracle::check_slots(const ServerId& id, bool patient)
{
  const ModelServer& server = m_servers[id];
  if (!is_eligible(server)) {
    m_violations.insert(Violation::IneligibleServer);
  }
  if (server.in_use > share_slots(server)) {
    m_violations.insert(Violation::SlotsExceeded);
  }
  unsigned total = 0;
  for (const auto& [other, model] : m_servers) {
    total += is_eligible(model) ? share_slots(model) : 0;
  }
  const auto patient_running =
    std::count_if(m_attempts.begin(), m_attempts.end(), [this](const auto& entry) {
      const auto request = m_requests.find(entry.second.request);
      return request != m_requests.end() && is_patient(request->second.info);
    });
  if (patient && patient_running > std::max(total, 2U) - 1) {
    m_violations.insert(Violation::UrgentBehindPatient);
  }
}

void
DispatcherOracle::check_order(const ModelRequest& request)
{
  bool urgent_waits = false;
  bool patient_waits = false;
  for (const auto& [id, other] : m_requests) {
    if (other.queued && id != request.info.id) {
      urgent_waits |= !is_patient(other.info);
      patient_waits |= is_patient(other.info);
      if (!is_patient(request.info) && !is_patient(other.info) &&
          other.info.deadline < request.info.deadline) {
        m_violations.insert(Violation::UrgentBehindPatient);
      }
    }
  }
  if (is_patient(request.info)) {
    if (urgent_waits && m_urgent_since_patient + 1 < kPatientInterval) {
      m_violations.insert(Violation::UrgentBehindPatient);
    }
    m_urgent_since_patient = 0;
  } else {
    m_urgent_since_patient += patient_waits ? 1 : 0;
  }
}

void
DispatcherOracle::on_reject(const RejectRequest& reject)
{
  const auto found = m_requests.find(reject.request);
  // After the response started, its request may be rejected only because the response broke off.
  const bool broke_off = reject.reason == RejectReason::RetriesExhausted;
  if (found == m_requests.end() || (found->second.responding && !broke_off)) {
    m_violations.insert(Violation::WrongAnswer);
  }
  m_requests.erase(reject.request);
}

void
DispatcherOracle::on_probe(const SendProbe& probe)
{
  ++m_probes;
  ModelServer& server = m_servers[probe.server];
  const TimePoint last = server.probes.empty() ? server.joined : server.probes.back();
  // This interval between consecutive probes bounds their number in every window.
  if (m_now - last < kProbeInterval) {
    m_violations.insert(Violation::ProbeBudgetExceeded);
  }
  if (!is_eligible(server)) {
    m_violations.insert(Violation::IneligibleServer);
  }
  server.probes.push_back(m_now);
  server.probing = true;
}

} // namespace lovagehold
