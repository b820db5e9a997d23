#include "libproxy/http_types.h"
#include "lovagehold/address.h"
#include "lovagehold/types.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <tclap/CmdLine.h>

// Sends requests at open-loop (Poisson) arrival times to the addresses that an entry host names,
// and prints count, median, p99 and failures.
namespace lovagehold {
namespace {

using nlohmann::json;

struct DriverOptions
{
  std::string entry;
  std::string service;
  std::string method = "GET";
  std::string target = "/";
  unsigned count = 100;
  double rate = 100;
  unsigned key_repeats = 0;
  std::uint64_t seed = 1;
  /// Time for each attempt; with a value, failed attempts are repeated at the next address.
  std::chrono::milliseconds attempt_timeout{ 0 };
};

constexpr std::chrono::seconds kCallTimeout{ 10 };
constexpr std::chrono::milliseconds kRetryPause{ 20 };

struct Driver
{
  DriverOptions options;
  std::vector<std::string> addresses;
  std::vector<double> millis;
  unsigned failures = 0;
  unsigned unknown = 0;
  unsigned repeated = 0;
  TimePoint last_success;
  Duration longest_gap{};
  unsigned ended = 0;
};

auto
capture(boost::system::error_code& error)
{
  return asio::redirect_error(asio::use_awaitable, error);
}

awaitable<std::optional<StringResponse>>
call(std::string address, StringRequest request, Duration timeout = kCallTimeout)
{
  const auto endpoint = parse_endpoint(address);
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  boost::system::error_code error;
  stream.expires_after(timeout);
  co_await stream.async_connect(*endpoint, capture(error));
  beast::flat_buffer buffer;
  StringResponse response;
  if (!error) {
    stream.socket().set_option(tcp::no_delay(true), error);
    co_await http::async_write(stream, request, capture(error));
  }
  if (!error) {
    co_await http::async_read(stream, buffer, response, capture(error));
  }
  co_return error ? std::nullopt : std::optional<StringResponse>(std::move(response));
}

// Repeats the request at the next address until it is served, its outcome is unknown for good, or
// the time for a call is over.
awaitable<std::optional<StringResponse>>
call_with_retries(Driver& driver, StringRequest request)
{
  const TimePoint give_up = Clock::now() + kCallTimeout;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::optional<StringResponse> response;
  for (std::size_t i = 0; Clock::now() < give_up; ++i) {
    const std::string address = driver.addresses[i % driver.addresses.size()];
    response = co_await call(address, request, driver.options.attempt_timeout);
    const unsigned status = response ? response->result_int() : 0;
    if (status == 200 || status == 504) {
      break;
    }
    ++driver.repeated;
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return response;
}

void
note_success(Driver& driver)
{
  const TimePoint now = Clock::now();
  if (driver.last_success != TimePoint()) {
    driver.longest_gap = std::max(driver.longest_gap, now - driver.last_success);
  }
  driver.last_success = now;
}

awaitable<void>
run_one(Driver& driver, unsigned number)
{
  StringRequest request;
  request.method_string(driver.options.method);
  request.target(driver.options.target);
  request.version(11);
  request.set(http::field::host, driver.options.service);
  request.set(kServiceHeader, driver.options.service);
  if (driver.options.key_repeats > 0) {
    const unsigned key = number / driver.options.key_repeats;
    request.set(kKeyHeader,
                "key-" + std::to_string(driver.options.seed) + "-" + std::to_string(key));
    request.body() = "body " + std::to_string(key);
  }
  request.prepare_payload();
  const TimePoint start = Clock::now();
  std::optional<StringResponse> response;
  if (driver.options.attempt_timeout.count() > 0) {
    response = co_await call_with_retries(driver, request);
  } else {
    response = co_await call(driver.addresses.front(), request);
  }
  if (response && response->result_int() == 200) {
    note_success(driver);
  }
  const bool retried_unknown = driver.options.attempt_timeout.count() > 0 &&
                               driver.options.key_repeats > 0 && response &&
                               response->result_int() == 504;
  driver.unknown += retried_unknown ? 1 : 0;
  const bool in_progress =
    driver.options.key_repeats > 1 && response && response->result_int() == 409;
  const bool good = retried_unknown || in_progress || (response && response->result_int() < 400);
  driver.failures += good ? 0 : 1;
  if (!good) {
    std::cerr << "load_driver: request " << number << " failed with status "
              << (response ? response->result_int() : 0) << "\n";
  }
  driver.millis.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
  ++driver.ended;
}

awaitable<void>
drive(Driver& driver)
{
  StringRequest where(http::verb::get, "/.lovagehold/where?service=" + driver.options.service, 11);
  where.set(http::field::host, driver.options.entry);
  const auto answer = co_await call(driver.options.entry, where);
  if (!answer || answer->result() != http::status::ok) {
    std::cerr << "load_driver: " << driver.options.entry << " does not name addresses for "
              << driver.options.service << "\n";
    driver.failures = driver.options.count;
    co_return;
  }
  driver.addresses = json::parse(answer->body()).at("addresses").get<std::vector<std::string>>();
  std::mt19937_64 random(driver.options.seed);
  std::exponential_distribution<double> gap(driver.options.rate);
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, Clock::now());
  for (unsigned i = 0; i < driver.options.count; ++i) {
    timer.expires_at(timer.expiry() + std::chrono::duration_cast<Duration>(
                                        std::chrono::duration<double>(gap(random))));
    co_await timer.async_wait(asio::use_awaitable);
    asio::co_spawn(executor, run_one(driver, i), asio::detached);
  }
}

double
quantile(std::vector<double>& sorted, double share)
{
  return sorted.empty()
           ? 0
           : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

int
run(const DriverOptions& options)
{
  asio::io_context context(1);
  Driver driver{ .options = options };
  asio::co_spawn(context, drive(driver), asio::detached);
  context.run();
  std::sort(driver.millis.begin(), driver.millis.end());
  std::printf("service=%s method=%s target=%s count=%u failures=%u median_ms=%.2f p99_ms=%.2f "
              "max_ms=%.2f unknown=%u repeated=%u longest_gap_ms=%.1f\n",
              options.service.c_str(),
              options.method.c_str(),
              options.target.c_str(),
              options.count,
              driver.failures,
              quantile(driver.millis, 0.5),
              quantile(driver.millis, 0.99),
              quantile(driver.millis, 1),
              driver.unknown,
              driver.repeated,
              std::chrono::duration<double, std::milli>(driver.longest_gap).count());
  return driver.failures == 0 ? 0 : 1;
}

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  TCLAP::CmdLine command("load_driver: bounded open-loop load on loopback");
  TCLAP::ValueArg<std::string> entry("", "entry", "any entry host", true, "", "IP:port", command);
  TCLAP::ValueArg<std::string> service("", "service", "service name", true, "", "name", command);
  TCLAP::ValueArg<std::string> method("", "method", "HTTP method", false, "GET", "method", command);
  TCLAP::ValueArg<std::string> target("", "target", "request target", false, "/", "path", command);
  TCLAP::ValueArg<unsigned> count("", "count", "requests", false, 100, "n", command);
  TCLAP::ValueArg<double> rate("", "rate", "requests a second", false, 100, "1/s", command);
  TCLAP::ValueArg<unsigned> repeats(
    "", "key-repeats", "send each idempotency key this many times", false, 0, "n", command);
  TCLAP::ValueArg<unsigned> timeout("",
                                    "attempt-timeout-ms",
                                    "repeat attempts that take longer or fail at the next address",
                                    false,
                                    0,
                                    "ms",
                                    command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "n", command);
  command.parse(argc, argv);
  return lovagehold::run({ .entry = entry.getValue(),
                           .service = service.getValue(),
                           .method = method.getValue(),
                           .target = target.getValue(),
                           .count = count.getValue(),
                           .rate = rate.getValue(),
                           .key_repeats = repeats.getValue(),
                           .seed = seed.getValue(),
                           .attempt_timeout = std::chrono::milliseconds(timeout.getValue()) });
}
