#include "lovagehold/metrics.h"

#include <benchmark/benchmark.h>

// Measures the cost of recording one request in the metrics, from one thread and from several
// threads at once.
namespace lovagehold {
namespace {

void
record_request(benchmark::State& state)
{
  static Metrics metrics;
  const std::string service = "service-" + std::to_string(state.thread_index());
  Duration latency = std::chrono::microseconds(100);
  for (auto _ : state) {
    metrics.record(service, RequestClass::Urgent, RequestOutcome::Served, latency);
    latency += std::chrono::nanoseconds(100);
  }
}
BENCHMARK(record_request)->Threads(1)->Threads(2)->Threads(4);

} // namespace
} // namespace lovagehold

BENCHMARK_MAIN();
