// Measures the cost of a dispatch decision: one submit() and one complete() with the dispatches
// that they cause, on the dispatcher of a service chosen at random.
#include "lovagehold/dispatcher.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <random>

namespace lovagehold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kSamples = 200000;

// Dispatchers of several services with requests in flight and, if queued, waiting requests of both
// classes.
class DispatcherSet
{
public:
  DispatcherSet(std::size_t services, std::size_t servers, bool queued)
    : m_in_flight(services)
  {
    for (std::size_t i = 0; i < services; ++i) {
      m_dispatchers.emplace_back(DispatcherOptions{ .service = "s" + std::to_string(i) });
    }
    for (std::size_t i = 0; i < servers; ++i) {
      const std::string id = "server-" + std::to_string(i);
      m_dispatchers[i % services].set_server({ .service = "s", .id = id, .address = id }, m_now);
    }
    const std::size_t per_service = servers / services * 3 * 2 / 3;
    for (std::size_t i = 0; i < services; ++i) {
      for (std::size_t k = 0; k < (queued ? per_service * 3 : per_service); ++k) {
        submit(i);
      }
    }
  }

  /// One submit and one complete at a random service.
  void decide()
  {
    const std::size_t service = m_random() % m_dispatchers.size();
    m_now += 1us;
    submit(service);
    std::vector<AttemptId>& in_flight = m_in_flight[service];
    if (in_flight.empty()) {
      return;
    }
    std::swap(in_flight[m_random() % in_flight.size()], in_flight.back());
    const AttemptId attempt = in_flight.back();
    in_flight.pop_back();
    collect_started(service,
                    m_dispatchers[service].complete(attempt, { .service_time = 10ms }, m_now));
  }

  void renew(std::size_t servers)
  {
    for (std::size_t i = 0; i < servers; ++i) {
      m_dispatchers[i % m_dispatchers.size()].renew_server("server-" + std::to_string(i), m_now);
    }
  }

private:
  std::vector<Dispatcher> m_dispatchers;
  std::vector<std::vector<AttemptId>> m_in_flight;
  std::mt19937_64 m_random{ 20261204 };
  TimePoint m_now = TimePoint{} + 1000s;
  RequestId m_next_request = 1;

  void submit(std::size_t service)
  {
    RequestInfo request{ .id = m_next_request++ };
    request.request_class = m_random() % 5 == 0 ? RequestClass::Patient : RequestClass::Urgent;
    request.deadline = m_now + 1h + std::chrono::microseconds(m_random() % 1000000);
    collect_started(service, m_dispatchers[service].submit(request, m_now));
  }

  void collect_started(std::size_t service, const Actions& actions)
  {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        m_in_flight[service].push_back(start->attempt);
      }
    }
  }
};

void
measure_decision(benchmark::State& state)
{
  const auto services = static_cast<std::size_t>(state.range(0));
  const auto servers = static_cast<std::size_t>(state.range(1));
  DispatcherSet dispatchers(services, servers, state.range(2) != 0);
  std::vector<double> samples;
  samples.reserve(kSamples);
  for (auto iteration : state) {
    static_cast<void>(iteration);
    const auto start = Clock::now();
    dispatchers.decide();
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    state.SetIterationTime(elapsed.count());
    samples.push_back(elapsed.count() * 1e9);
    // Virtual time advances by 1 us per decision; renewals keep the servers eligible.
    if (samples.size() % 1000000 == 0) {
      dispatchers.renew(servers);
    }
  }
  std::sort(samples.begin(), samples.end());
  const auto rank = [&](double q) {
    return samples[static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1))];
  };
  // Each sample covers two calls: submit() and complete().
  state.counters["median_ns_per_call"] = rank(0.5) / 2;
  state.counters["p99_ns_per_call"] = rank(0.99) / 2;
}

BENCHMARK(measure_decision)
  ->ArgNames({ "services", "servers", "queued" })
  ->Args({ 4, 32, 0 })
  ->Args({ 1800, 18000, 0 })
  ->Args({ 4, 32, 1 })
  ->Args({ 1800, 18000, 1 })
  ->Iterations(kSamples)
  ->UseManualTime();

} // namespace
} // namespace lovagehold

BENCHMARK_MAIN();
