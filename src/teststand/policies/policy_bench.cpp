// Compares dispatch policies in virtual time. All policies of a scenario run the same trace.
#include "policies.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <spdlog/fmt/fmt.h>
#include <tclap/CmdLine.h>
#include <thread>

namespace lovagehold::simulation {
namespace {

struct Run
{
  std::string scenario_name;
  std::string policy;
  Scenario scenario;
  MakePolicy make;
  Report report;
};

std::vector<NamedPolicy>
policies()
{
  return { { "random", make_random() },
           { "round-robin", make_round_robin() },
           { "least-requests", make_least_requests() },
           { "two-choices", make_two_choices() },
           { "probing", make_probing() },
           { "central-queue", make_central_queue() },
           { "owner", make_owner(true) },
           { "owner-no-hedge", make_owner(false) },
           { "owner-in-transit", make_owner(true, 1) } };
}

void
add_runs(std::vector<Run>& runs, const std::string& name, const Scenario& scenario)
{
  for (const NamedPolicy& policy : policies()) {
    runs.push_back({ name, policy.name, scenario, policy.make, {} });
  }
}

std::vector<Run>
make_runs(const Scenario& base)
{
  std::vector<Run> runs;
  for (const int one_way_us : { 500, 1500 }) {
    Scenario scenario = base;
    scenario.one_way = std::chrono::microseconds(one_way_us);
    for (const std::size_t hosts : { 1, 3, 10, 29 }) {
      scenario.hosts = hosts;
      for (const double load : { 0.5, 0.7, 0.8, 0.9, 0.95 }) {
        scenario.load = load;
        add_runs(runs, "noise", scenario);
      }
    }
    for (const double load : { 1.0, 1.5 }) {
      scenario.load = load;
      add_runs(runs, "overload", scenario);
    }
    for (const double load : { 0.5, 0.8 }) {
      scenario.load = load;
      Scenario faulty = scenario;
      faulty.straggler = true;
      add_runs(runs, "straggler", faulty);
      faulty.straggler = false;
      faulty.cold_starts = true;
      add_runs(runs, "cold-starts", faulty);
      faulty.cold_starts = false;
      faulty.fail_fast = true;
      add_runs(runs, "fail-fast", faulty);
      faulty.straggler = true;
      faulty.cold_starts = true;
      add_runs(runs, "all-faults", faulty);
    }
  }
  return runs;
}

void
run_all(std::vector<Run>& runs, unsigned threads)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t index = next++; index < runs.size(); index = next++) {
        runs[index].report = run(runs[index].scenario, runs[index].make);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
}

double
ratio(double a, double b)
{
  return b > 0 ? a / b : 0;
}

std::string
format_row(Run& run, const char* pattern)
{
  Report& report = run.report;
  const auto requests = static_cast<double>(report.requests);
  const double seconds = static_cast<double>((run.scenario.length - 2 * kUnreportedMargin).count());
  return fmt::format(
    fmt::runtime(pattern),
    run.scenario_name,
    std::chrono::duration<double, std::milli>(run.scenario.one_way).count(),
    run.scenario.hosts,
    run.scenario.load * 100,
    run.policy,
    quantile(report.urgent_ms, 0.5),
    quantile(report.urgent_ms, 0.99),
    quantile(report.urgent_ms, 0.999),
    quantile(report.patient_ms, 0.5),
    quantile(report.patient_ms, 0.99),
    quantile(report.patient_ms, 0.999),
    100 * (1 - ratio(static_cast<double>(report.good), requests)),
    100 * std::chrono::duration<double>(report.probe_time) / report.server_time,
    static_cast<double>(report.good) / seconds,
    ratio(static_cast<double>(report.attempts), static_cast<double>(report.admitted)),
    100 * ratio(static_cast<double>(report.failing_server_attempts),
                static_cast<double>(report.attempts_during_failure)));
}

void
write_reports(std::vector<Run>& runs, std::ostream& csv)
{
  csv << "scenario,one_way_ms,hosts,load,policy,urgent_p50_ms,urgent_p99_ms,urgent_p999_ms,"
         "patient_p50_ms,patient_p99_ms,patient_p999_ms,failed_percent,probe_percent,"
         "goodput_per_s,attempts_per_admitted,fail_fast_percent\n";
  fmt::print("| scenario | one way ms | hosts | load % | policy | urgent p50 ms | p99 | p99.9 | "
             "patient p50 ms | p99 | p99.9 | failed % | probes % | goodput/s | attempts per "
             "admitted | to fail-fast % |\n");
  fmt::print("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (Run& run : runs) {
    fmt::print("{}\n",
               format_row(run,
                          "| {} | {} | {} | {:.0f} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | "
                          "{:.1f} | {:.1f} | {:.2f} | {:.3f} | {:.0f} | {:.3f} | {:.1f} |"));
    csv << format_row(run,
                      "{},{},{},{:.0f},{},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.3f},{:.4f},"
                      "{:.1f},{:.4f},{:.2f}")
        << '\n';
  }
}

int
run_bench(int argc, char** argv)
{
  TCLAP::CmdLine line("Compares dispatch policies in virtual time.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> csv_path(
    "", "csv", "File for the results", false, "policies.csv", "path", line);
  TCLAP::ValueArg<unsigned> threads("", "threads", "Runs at a time", false, 4, "count", line);
  TCLAP::ValueArg<int> mean("", "mean-ms", "Mean service time", false, 10, "milliseconds", line);
  TCLAP::ValueArg<int> length("", "length", "Length of a run", false, 40, "seconds", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 20261204, "number", line);
  TCLAP::ValueArg<std::size_t> hosts(
    "", "hosts", "Only runs with this number of entry hosts", false, 0, "count", line);
  line.parse(argc, argv);
  Scenario base;
  base.mean_service = std::chrono::milliseconds(mean.getValue());
  base.length = std::chrono::seconds(length.getValue());
  base.seed = seed.getValue();
  std::vector<Run> runs = make_runs(base);
  if (hosts.getValue() != 0) {
    std::erase_if(runs, [&](const Run& run) { return run.scenario.hosts != hosts.getValue(); });
  }
  run_all(runs, threads.getValue());
  std::ofstream csv(csv_path.getValue());
  write_reports(runs, csv);
  csv.flush();
  return csv ? 0 : 1;
}

} // namespace
} // namespace lovagehold::simulation

int
main(int argc, char** argv)
{
  return lovagehold::simulation::run_bench(argc, argv);
}
