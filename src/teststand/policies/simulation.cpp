#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace lovagehold::simulation {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Standard deviation of the logarithm of the service times.
constexpr double kServiceTimeSigma = 1.0;
// The arrival rate is drawn anew at this interval, from its mean times 1 - kRateVariation to its
// mean times 1 + kRateVariation.
constexpr milliseconds kRateChangeInterval{ 10 };
constexpr double kRateVariation = 0.3;
constexpr double kPatientShare = 0.2;
constexpr milliseconds kUrgentDeadline{ 500 };
constexpr seconds kPatientDeadline{ 5 };
// Each server has a noisy neighbour, which is active and inactive for exponentially distributed
// times.
constexpr double kNeighbourSlowdown = 1.5;
constexpr milliseconds kNeighbourMeanPause{ 500 };
constexpr milliseconds kNeighbourMeanActivity{ 50 };
// Faults of the scenarios; their times count from the start of the run.
constexpr double kStragglerSlowdown = 8;
constexpr seconds kStragglerStart{ 8 };
constexpr double kColdSlowdown = 4;
constexpr seconds kRestartStart{ 10 };
constexpr seconds kRestartEnd{ 11 };
constexpr seconds kWarmupEnd{ 14 };
constexpr seconds kFailureStart{ 20 };
constexpr seconds kFailureEnd{ 25 };
constexpr microseconds kFailureResponseTime{ 200 };
constexpr std::size_t kServerQueueLimit = 64;

Duration
scale(Duration duration, double factor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

Duration
exponential(std::mt19937_64& random, Duration mean)
{
  return scale(mean, std::exponential_distribution<double>(1)(random));
}

} // namespace

void
EventLoop::at(TimePoint time, std::function<void()> action)
{
  m_events.push({ std::max(time, m_now), m_sequence++, std::move(action) });
}

void
EventLoop::run(TimePoint end)
{
  while (!m_events.empty() && m_events.top().time <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.time;
    event.action();
  }
  m_now = end;
}

std::vector<TraceRequest>
make_trace(const Scenario& scenario, TimePoint start)
{
  std::mt19937_64 random(scenario.seed);
  std::lognormal_distribution<double> work(-kServiceTimeSigma * kServiceTimeSigma / 2,
                                           kServiceTimeSigma);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double slots = static_cast<double>(scenario.servers * scenario.slots);
  std::vector<TraceRequest> trace;
  TimePoint time = start;
  TimePoint next_rate_change = start;
  double rate_factor = 1;
  while (time < start + scenario.length) {
    if (time >= next_rate_change) {
      rate_factor = 1 + kRateVariation * (2 * uniform(random) - 1);
      next_rate_change = time + kRateChangeInterval;
    }
    const Duration mean_gap = scale(scenario.mean_service, 1 / (slots * scenario.load));
    time += exponential(random, scale(mean_gap, 1 / rate_factor));
    TraceRequest request;
    request.arrival = time;
    request.patient = uniform(random) < kPatientShare;
    request.work = scale(scenario.mean_service, work(random));
    request.host = static_cast<std::size_t>(uniform(random) * 1e6);
    request.relayed = uniform(random) < scenario.relayed_share;
    request.deadline = request.patient ? Duration(kPatientDeadline) : Duration(kUrgentDeadline);
    request.host %= scenario.hosts;
    request.relayed = request.relayed && scenario.hosts > 1;
    trace.push_back(request);
  }
  return trace;
}

Server::Server(EventLoop& loop, const Scenario& scenario, std::size_t index)
  : m_loop(loop)
  , m_slots(scenario.slots)
  , m_index(index)
  , m_start(loop.now())
  , m_scenario(scenario)
{
  std::mt19937_64 random(scenario.seed + 1 + index);
  for (TimePoint time = m_start; time < m_start + scenario.length;) {
    time += exponential(random, kNeighbourMeanPause);
    m_neighbour_changes.push_back(time);
    time += exponential(random, kNeighbourMeanActivity);
    m_neighbour_changes.push_back(time);
  }
}

bool
Server::is_present() const
{
  const Duration age = m_loop.now() - m_start;
  const bool restarts = m_scenario.cold_starts && (m_index == 1 || m_index == 2);
  return !restarts || age < kRestartStart || age >= kRestartEnd;
}

bool
Server::is_failing() const
{
  const Duration age = m_loop.now() - m_start;
  const bool fails = m_scenario.fail_fast && (m_index == 3 || m_index == 4);
  return fails && age >= kFailureStart && age < kFailureEnd;
}

double
Server::slowdown() const
{
  const TimePoint now = m_loop.now();
  const auto passed = std::upper_bound(m_neighbour_changes.begin(), m_neighbour_changes.end(), now);
  double factor = (passed - m_neighbour_changes.begin()) % 2 == 1 ? kNeighbourSlowdown : 1;
  const Duration age = now - m_start;
  if (m_scenario.straggler && m_index == 0 && age >= kStragglerStart) {
    factor *= kStragglerSlowdown;
  }
  const bool restarts = m_scenario.cold_starts && (m_index == 1 || m_index == 2);
  if (restarts && age >= kRestartEnd && age < kWarmupEnd) {
    const double cold = std::chrono::duration<double>(kWarmupEnd - age) /
                        std::chrono::duration<double>(kWarmupEnd - kRestartEnd);
    factor *= 1 + (kColdSlowdown - 1) * cold;
  }
  return factor;
}

std::uint64_t
Server::submit(Duration work, std::function<void(JobStatus)> done)
{
  const std::uint64_t id = m_next_job++;
  if (is_failing()) {
    m_loop.after(kFailureResponseTime, [done = std::move(done)] { done(JobStatus::Failed); });
    return id;
  }
  if (m_waiting.size() >= kServerQueueLimit) {
    m_loop.after(kFailureResponseTime, [done = std::move(done)] { done(JobStatus::Refused); });
    return id;
  }
  m_waiting.push_back({ id, work, std::move(done) });
  start_next();
  return id;
}

void
Server::start_next()
{
  while (has_free_slot() && !m_waiting.empty()) {
    m_running.push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
    const std::uint64_t id = m_running.back().id;
    m_loop.after(scale(m_running.back().work, slowdown()), [this, id] { finish(id); });
  }
}

void
Server::finish(std::uint64_t id)
{
  const auto job =
    std::find_if(m_running.begin(), m_running.end(), [id](const Job& j) { return j.id == id; });
  if (job == m_running.end()) {
    return;
  }
  const auto done = std::move(job->done);
  m_running.erase(job);
  start_next();
  done(JobStatus::Succeeded);
}

void
Server::cancel(std::uint64_t id)
{
  const auto matches = [id](const Job& job) { return job.id == id; };
  const auto running = std::find_if(m_running.begin(), m_running.end(), matches);
  const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), matches);
  if (running != m_running.end()) {
    m_running.erase(running);
  } else if (waiting != m_waiting.end()) {
    m_waiting.erase(waiting);
  }
  start_next();
}

SimulatedSystem::SimulatedSystem(const Scenario& run_scenario)
  : scenario(run_scenario)
  , random(run_scenario.seed + 1000)
  , m_start(loop.now())
{
  for (std::size_t i = 0; i < scenario.servers; ++i) {
    servers.emplace_back(loop, scenario, i);
  }
  report.server_time = scenario.length * static_cast<int>(scenario.servers);
}

std::shared_ptr<SimulatedSystem::SentJob>
SimulatedSystem::send(std::size_t server, Duration work, std::function<void(JobStatus)> done)
{
  ++report.attempts;
  const Duration age = loop.now() - m_start;
  if (scenario.fail_fast && age >= kFailureStart && age < kFailureEnd) {
    ++report.attempts_during_failure;
    report.failing_server_attempts += servers[server].is_failing() ? 1 : 0;
  }
  auto sent = std::make_shared<SentJob>();
  sent->server = server;
  loop.after(scenario.one_way, [this, sent, work, done = std::move(done)] {
    if (sent->cancelled) {
      return;
    }
    sent->job = servers[sent->server].submit(work, [this, sent, done](JobStatus status) {
      loop.after(scenario.one_way, [sent, done, status] {
        if (!sent->cancelled) {
          done(status);
        }
      });
    });
  });
  return sent;
}

void
SimulatedSystem::cancel(const std::shared_ptr<SentJob>& sent)
{
  sent->cancelled = true;
  loop.after(scenario.one_way, [this, sent] {
    if (sent->job != 0) {
      servers[sent->server].cancel(sent->job);
    }
  });
}

void
SimulatedSystem::send_probe(std::size_t server, std::function<void()> done)
{
  report.probe_time += scenario.probe_cost;
  loop.after(scenario.one_way, [this, server, done = std::move(done)] {
    servers[server].submit(scenario.probe_cost,
                           [this, done](JobStatus) { loop.after(scenario.one_way, done); });
  });
}

void
SimulatedSystem::record(const TraceRequest& request, bool succeeded, Duration extra)
{
  if (request.arrival < m_start + kUnreportedMargin ||
      request.arrival >= end() - kUnreportedMargin) {
    return;
  }
  Duration latency = loop.now() + extra - request.arrival;
  ++report.requests;
  if (succeeded && latency <= request.deadline) {
    ++report.good;
  } else {
    latency = std::max(latency, request.deadline);
  }
  const double latency_ms = std::chrono::duration<double, std::milli>(latency).count();
  (request.patient ? report.patient_ms : report.urgent_ms).push_back(latency_ms);
}

Report
run(const Scenario& scenario, const MakePolicy& make)
{
  SimulatedSystem system(scenario);
  const std::unique_ptr<Policy> policy = make(system);
  const std::vector<TraceRequest> trace = make_trace(scenario, system.start());
  for (const TraceRequest& request : trace) {
    system.loop.at(request.arrival, [&policy, &request] { policy->arrive(request); });
  }
  // Give requests that are still in flight the longest deadline to complete.
  system.loop.run(system.end() + kPatientDeadline);
  return system.report;
}

double
quantile(std::vector<double>& values, double q)
{
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(q * static_cast<double>(values.size()));
  return values[std::min(rank, values.size() - 1)];
}

} // namespace lovagehold::simulation
