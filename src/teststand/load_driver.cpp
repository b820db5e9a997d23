#include "driver_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <random>
#include <tclap/CmdLine.h>

// Open-loop load generator: sends requests with Poisson arrivals to the addresses that an entry
// host returns, and prints the count, failures, median and p99 latency of each stream.
namespace lovagehold {
namespace {

class Driver
{
public:
  explicit Driver(const DriverOptions& options)
    : m_options(options)
    , m_address_cache(options)
  {
    for (const StreamOptions& stream : options.streams) {
      m_reports.emplace_back(stream);
    }
    if (!options.records_file.empty()) {
      m_records.open(options.records_file);
    }
  }

  int run()
  {
    const TimePoint end = Clock::now() + m_options.time_limit;
    for (std::size_t i = 0; i < m_options.streams.size(); ++i) {
      asio::co_spawn(m_context, send_stream(i, end), asio::detached);
    }
    m_context.run_until(end + m_options.request_timeout);
    unsigned failures = 0;
    nlohmann::json all = nlohmann::json::array();
    for (std::size_t i = 0; i < m_reports.size(); ++i) {
      std::cout << m_reports[i].line() << "\n";
      all.push_back(m_reports[i].json());
      failures += m_reports[i].failures();
    }
    if (!m_options.report_file.empty()) {
      std::ofstream(m_options.report_file) << all.dump(1) << "\n";
    }
    const bool all_ended = m_ended == m_started;
    return failures <= m_options.allowed_failures && all_ended ? 0 : 1;
  }

private:
  CallPlan make_plan(std::size_t index, unsigned number) const
  {
    const StreamOptions& stream = m_options.streams[index];
    CallPlan plan{ .stream = &stream, .body_bytes = stream.upload_bytes };
    const std::string prefix =
      stream.service + "-" + std::to_string(m_options.seed) + "-" + std::to_string(index) + "-";
    if (stream.key_repeats > 0) {
      // Requests with the same key are repeats of one request, so they share its id.
      plan.key = prefix + "key-" + std::to_string(number / stream.key_repeats);
      plan.id = plan.key;
      plan.body_bytes = std::max<std::uint64_t>(plan.body_bytes, kKeyedBodyBytes);
    } else {
      plan.id = prefix + stream.method + "-" + std::to_string(number);
    }
    plan.content_seed = plan.id;
    return plan;
  }

  awaitable<void> send_stream(std::size_t index, TimePoint end)
  {
    const StreamOptions& stream = m_options.streams[index];
    std::mt19937_64 random(m_options.seed + index);
    std::exponential_distribution<double> interarrival_time(stream.rate);
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, Clock::now());
    for (unsigned i = 0; i < stream.count && Clock::now() < end; ++i) {
      const TimePoint arrival =
        timer.expiry() + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(interarrival_time(random)));
      timer.expires_at(arrival);
      co_await timer.async_wait(asio::use_awaitable);
      ++m_started;
      asio::co_spawn(executor, send_one(index, i, arrival), asio::detached);
    }
  }

  awaitable<void> send_one(std::size_t index, unsigned number, TimePoint arrival)
  {
    const StreamOptions& stream = m_options.streams[index];
    const CallPlan plan = make_plan(index, number);
    CallRecord record{ .id = plan.id, .key = plan.key, .outcome = CallOutcome::Dropped };
    if (m_started - m_ended <= m_options.in_flight_limit) {
      CallRecord result = co_await run_call(m_options, m_address_cache, m_pool, plan);
      record = std::move(result);
    }
    record.elapsed = Clock::now() - arrival;
    const bool repeat = stream.key_repeats > 1 && (record.outcome == CallOutcome::Stored ||
                                                   record.outcome == CallOutcome::InProgress);
    m_reports[index].add(record,
                         record.outcome == CallOutcome::Ok || repeat ||
                           (!plan.key.empty() && record.outcome == CallOutcome::Stored));
    write_record(stream, record);
    ++m_ended;
  }

  void write_record(const StreamOptions& stream, const CallRecord& record)
  {
    if (!m_records.is_open()) {
      return;
    }
    const nlohmann::json line = {
      { "service", stream.service },
      { "id", record.id },
      { "key", record.key },
      { "digest", record.digest },
      { "request_id", record.request_id },
      { "outcome", to_string(record.outcome) },
      { "status", record.status },
      { "attempts", record.attempts },
      { "ms", std::chrono::duration<double, std::milli>(record.elapsed).count() }
    };
    m_records << line.dump() << "\n";
  }

  static constexpr std::uint64_t kKeyedBodyBytes = 64;

  const DriverOptions& m_options;
  asio::io_context m_context{ 1 };
  AddressCache m_address_cache;
  IdleConnections m_pool;
  std::vector<StreamReport> m_reports;
  std::ofstream m_records;
  unsigned m_started = 0;
  unsigned m_ended = 0;
};

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  using TCLAP::ValueArg;
  using Text = ValueArg<std::string>;
  using Number = ValueArg<unsigned>;
  TCLAP::CmdLine command("load_driver: open-loop load generator");
  TCLAP::MultiArg<std::string> entries(
    "", "entry", "entry host to query for addresses", false, "IP:port", command);
  Text direct("",
              "direct",
              "send to this address without querying entry hosts",
              false,
              "",
              "IP:port",
              command);
  TCLAP::MultiArg<std::string> streams(
    "", "stream", "stream of requests", false, "field=value,..", command);
  Text service("", "service", "service name", false, "", "name", command);
  Text method("", "method", "HTTP method", false, "GET", "method", command);
  Text target("", "target", "request target", false, "/", "path", command);
  Number count("", "count", "number of requests", false, 100, "n", command);
  ValueArg<double> rate("", "rate", "requests per second", false, 100, "1/s", command);
  Number repeats(
    "", "key-repeats", "requests per idempotency key; 0 for no keys", false, 0, "n", command);
  Number retries("", "retries", "maximum number of retries of a request", false, 2, "n", command);
  Number delay("", "retry-delay-ms", "delay before each retry", false, 0, "ms", command);
  Number allowed(
    "", "allow-failures", "failed requests up to which the run succeeds", false, 0, "n", command);
  Number timeout("", "attempt-timeout-ms", "timeout of one attempt", false, 30000, "ms", command);
  Number seconds("", "seconds", "time limit of the run", false, 120, "s", command);
  ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "n", command);
  Text report("", "report", "file for the JSON report", false, "", "file", command);
  Text records("", "records", "file for one JSON line per request", false, "", "file", command);
  command.parse(argc, argv);
  lovagehold::DriverOptions options{ .entries = entries.getValue(),
                                     .direct = direct.getValue(),
                                     .retries = retries.getValue(),
                                     .retry_delay = std::chrono::milliseconds(delay.getValue()),
                                     .seed = seed.getValue(),
                                     .time_limit = std::chrono::seconds(seconds.getValue()),
                                     .request_timeout =
                                       std::chrono::milliseconds(timeout.getValue()),
                                     .report_file = report.getValue(),
                                     .records_file = records.getValue(),
                                     .allowed_failures = allowed.getValue() };
  try {
    for (const std::string& stream : streams.getValue()) {
      options.streams.push_back(lovagehold::parse_stream(stream));
    }
  } catch (const std::exception& exception) {
    std::cerr << "load_driver: " << exception.what() << "\n";
    return 2;
  }
  if (!service.getValue().empty()) {
    options.streams.push_back({ .service = service.getValue(),
                                .method = method.getValue(),
                                .target = target.getValue(),
                                .count = count.getValue(),
                                .rate = rate.getValue(),
                                .key_repeats = repeats.getValue() });
  }
  return lovagehold::Driver(options).run();
}
