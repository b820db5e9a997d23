#include "lovagehold/dispatcher.h"
#include "policies.h"

#include <map>
#include <unordered_map>

namespace lovagehold::simulation {

namespace {

constexpr unsigned kPatientInterval = 8;
constexpr std::chrono::seconds kRenewalInterval{ 1 };

// Knows the state of each server without delay. Urgent requests go first, but while both classes
// wait, every eighth request is a patient one.
class CentralQueue : public Policy
{
public:
  explicit CentralQueue(SimulatedSystem& system)
    : m_system(system)
    , m_assigned(system.servers.size())
  {
  }

  void arrive(const TraceRequest& request) override
  {
    (request.patient ? m_patient : m_urgent).push_back(&request);
    dispatch();
  }

private:
  SimulatedSystem& m_system;
  std::deque<const TraceRequest*> m_urgent;
  std::deque<const TraceRequest*> m_patient;
  std::vector<unsigned> m_assigned;
  unsigned m_urgent_in_a_row = 0;

  std::optional<std::size_t> choose() const
  {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_assigned.size(); ++i) {
      const Server& server = m_system.servers[i];
      if (m_assigned[i] < m_system.scenario.slots && server.is_present() && !server.is_failing() &&
          (!best || server.slowdown() < m_system.servers[*best].slowdown())) {
        best = i;
      }
    }
    return best;
  }

  void dispatch()
  {
    while (!m_urgent.empty() || !m_patient.empty()) {
      const std::optional<std::size_t> server = choose();
      if (!server) {
        return;
      }
      const bool patient =
        !m_patient.empty() && (m_urgent.empty() || ++m_urgent_in_a_row >= kPatientInterval);
      m_urgent_in_a_row = patient ? 0 : m_urgent_in_a_row;
      std::deque<const TraceRequest*>& queue = patient ? m_patient : m_urgent;
      const TraceRequest& request = *queue.front();
      queue.pop_front();
      start(request, *server);
    }
  }

  void start(const TraceRequest& request, std::size_t index)
  {
    ++m_assigned[index];
    ++m_system.report.attempts;
    ++m_system.report.admitted;
    m_system.loop.after(m_system.scenario.one_way, [this, &request, index] {
      m_system.servers[index].submit(request.work, [this, &request, index](JobStatus status) {
        // The queue sees the free slot without delay; the response takes the network delay.
        --m_assigned[index];
        m_system.record(request, status == JobStatus::Succeeded, m_system.scenario.one_way);
        dispatch();
      });
    });
  }
};

class OwnerPolicy : public Policy
{
public:
  OwnerPolicy(SimulatedSystem& system, bool hedging, unsigned in_transit)
    : m_system(system)
    , m_dispatcher({ .service = "s",
                     .probe_cost = std::chrono::duration_cast<std::chrono::microseconds>(
                       system.scenario.probe_cost),
                     .requests_in_transit = in_transit,
                     .hedging = hedging })
    , m_present(system.servers.size())
  {
    renew();
  }

  void arrive(const TraceRequest& request) override
  {
    if (request.relayed) {
      m_system.loop.after(m_system.scenario.one_way, [this, &request] { submit(request); });
    } else {
      submit(request);
    }
  }

private:
  SimulatedSystem& m_system;
  Dispatcher m_dispatcher;
  std::vector<bool> m_present;
  std::vector<std::uint64_t> m_incarnation = std::vector<std::uint64_t>(m_present.size());
  std::unordered_map<RequestId, const TraceRequest*> m_requests;
  std::unordered_map<AttemptId, std::shared_ptr<SimulatedSystem::SentJob>> m_sent;
  RequestId m_next_request = 1;
  TimePoint m_wakeup = TimePoint::max();

  static std::size_t index_of(const ServerId& id) { return std::stoul(id); }

  void submit(const TraceRequest& request)
  {
    const RequestId id = m_next_request++;
    m_requests[id] = &request;
    ++m_system.report.admitted;
    // The deadline includes the network delay of the relayed response.
    const Duration relay = request.relayed ? m_system.scenario.one_way : Duration::zero();
    const RequestInfo info{ .id = id,
                            .request_class =
                              request.patient ? RequestClass::Patient : RequestClass::Urgent,
                            .deadline = request.arrival + request.deadline - relay };
    execute(m_dispatcher.submit(info, m_system.loop.now()));
  }

  void execute(const Actions& actions)
  {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        run_attempt(*start);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        cancel_attempt(cancel->attempt);
      } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
        // The request was rejected before any attempt, so it was not admitted.
        m_system.report.admitted -= reject->reason == RejectReason::Overloaded ? 1 : 0;
        finish(reject->request, false);
      } else {
        run_probe(std::get<SendProbe>(action).server);
      }
    }
    schedule();
  }

  void run_attempt(const StartAttempt& start)
  {
    const TraceRequest& request = *m_requests.at(start.request);
    const TimePoint sent_at = m_system.loop.now();
    const auto done = [this, start, sent_at](JobStatus status) {
      m_sent.erase(start.attempt);
      AttemptResult result{ .service_time = m_system.loop.now() - sent_at };
      result.status = status == JobStatus::Succeeded ? AttemptStatus::Succeeded
                      : status == JobStatus::Refused ? AttemptStatus::Refused
                                                     : AttemptStatus::Failed;
      if (status == JobStatus::Succeeded) {
        finish(start.request, true);
      }
      execute(m_dispatcher.complete(start.attempt, result, m_system.loop.now()));
    };
    m_sent[start.attempt] = m_system.send(index_of(start.server), request.work, done);
  }

  void cancel_attempt(AttemptId attempt)
  {
    const auto found = m_sent.find(attempt);
    if (found == m_sent.end()) {
      return;
    }
    m_system.cancel(found->second);
    m_sent.erase(found);
    m_system.loop.after(m_system.scenario.one_way, [this, attempt] {
      const AttemptResult result{ .status = AttemptStatus::Cancelled };
      execute(m_dispatcher.complete(attempt, result, m_system.loop.now()));
    });
  }

  void run_probe(const ServerId& server)
  {
    const TimePoint sent_at = m_system.loop.now();
    // Health checks succeed even while requests fail.
    m_system.send_probe(index_of(server), [this, server, sent_at] {
      const Duration network = 2 * m_system.scenario.one_way;
      const TimePoint now = m_system.loop.now();
      execute(m_dispatcher.probe_result(server, true, now - sent_at - network, now));
    });
  }

  void finish(RequestId id, bool succeeded)
  {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
      return;
    }
    const TraceRequest& request = *found->second;
    m_requests.erase(found);
    m_system.record(
      request, succeeded, request.relayed ? m_system.scenario.one_way : Duration::zero());
  }

  void schedule()
  {
    const auto next = m_dispatcher.next_wakeup();
    const TimePoint now = m_system.loop.now();
    if (!next || *next >= m_wakeup || now > m_system.end() + std::chrono::seconds(5)) {
      return;
    }
    m_wakeup = *next;
    m_system.loop.at(m_wakeup, [this, due = m_wakeup] {
      if (m_wakeup == due) {
        m_wakeup = TimePoint::max();
        execute(m_dispatcher.tick(m_system.loop.now()));
      }
    });
  }

  // Passes the servers' announcements to the dispatcher once a second.
  void renew()
  {
    for (std::size_t i = 0; i < m_present.size(); ++i) {
      const ServerId id = std::to_string(i);
      const TimePoint now = m_system.loop.now();
      const bool present = m_system.servers[i].is_present();
      if (present && !m_present[i]) {
        execute(m_dispatcher.set_server({ .service = "s",
                                          .id = id,
                                          .address = id,
                                          .slots = m_system.scenario.slots,
                                          .incarnation = ++m_incarnation[i] },
                                        now));
      } else if (present) {
        execute(m_dispatcher.renew_server(id, now));
      } else if (m_present[i]) {
        execute(m_dispatcher.remove_server(id, now));
      }
      m_present[i] = present;
    }
    if (m_system.loop.now() < m_system.end() + std::chrono::seconds(5)) {
      m_system.loop.after(kRenewalInterval, [this] { renew(); });
    }
  }
};

} // namespace

MakePolicy
make_central_queue()
{
  return [](SimulatedSystem& system) { return std::make_unique<CentralQueue>(system); };
}

MakePolicy
make_owner(bool hedging, unsigned in_transit)
{
  return [=](SimulatedSystem& system) {
    return std::make_unique<OwnerPolicy>(system, hedging, in_transit);
  };
}

} // namespace lovagehold::simulation
