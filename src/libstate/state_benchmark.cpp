#include "lovagehold/config_parser.h"
#include "lovagehold/state_machine.h"

#include <benchmark/benchmark.h>

namespace lovagehold {
namespace {

std::string
service_name(std::uint64_t number)
{
  return "service-" + std::to_string(number % 1800);
}

SubmitChange
make_change(std::uint64_t number)
{
  return { .number = number,
           .file_name = std::to_string(number) + "-change.yaml",
           .content = "services:\n  " + service_name(number) +
                      ":\n    kinds:\n      read: {treat: urgent, methods: [GET], path: /r, "
                      "deadline: 250ms}\n      write: {treat: non-idempotent, methods: [POST], "
                      "path: /w, deadline: 3s}\n" };
}

// Submits the change with the largest number after range(0) other changes, over 1,800 services.
void
submit_last_change(benchmark::State& bench)
{
  StateMachine state;
  std::uint64_t number = 0;
  for (; number < static_cast<std::uint64_t>(bench.range(0)); ++number) {
    state.apply(number + 1, make_change(number));
  }
  for (auto step : bench) {
    benchmark::DoNotOptimize(state.apply(number + 1, make_change(number)));
    ++number;
  }
}
BENCHMARK(submit_last_change)->Arg(1800)->Arg(3600)->Unit(benchmark::kMicrosecond);

// For comparison: the cost of a change if all files before it were merged again.
void
merge_all_files(benchmark::State& bench)
{
  std::vector<DeclarationFile> files;
  for (std::int64_t number = 0; number < bench.range(0); ++number) {
    const SubmitChange change = make_change(number);
    files.push_back({ change.file_name, change.content });
  }
  for (auto step : bench) {
    benchmark::DoNotOptimize(merge_declarations(files));
  }
}
BENCHMARK(merge_all_files)->Arg(1800)->Arg(53000)->Unit(benchmark::kMicrosecond);

// Claims a key, records its response and expires it while range(0) other keys are stored.
void
claim_record_expire(benchmark::State& bench)
{
  StateMachine state;
  std::uint64_t index = 0;
  const auto run_key = [&](const std::string& key, WallTime now, std::chrono::hours retention) {
    state.apply(++index,
                ClaimKey{ .service = "s",
                          .key = key,
                          .attempt = key,
                          .holder = "h",
                          .now = now,
                          .retention = retention });
    state.apply(
      ++index,
      RecordOutcome{ .service = "s",
                     .key = key,
                     .attempt = key,
                     .stored_response = { .status = 200, .body = std::string(200, 'x') } });
  };
  for (std::int64_t kept = 0; kept < bench.range(0); ++kept) {
    run_key("kept-" + std::to_string(kept), WallTime{}, std::chrono::hours(1000));
  }
  std::uint64_t number = 0;
  for (auto step : bench) {
    run_key("key-" + std::to_string(number++), WallTime{}, std::chrono::hours(1));
    state.apply(++index, ExpireOutcomes{ .now = WallTime(std::chrono::hours(2)) });
  }
}
BENCHMARK(claim_record_expire)->Arg(1000)->Arg(100000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace lovagehold
