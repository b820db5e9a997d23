#include "lovagehold/address.h"
#include "standin_announcer.h"
#include "standin_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

// Stand-in for a server of a service: announces itself to the entry hosts, runs requests in a fixed
// number of slots and keeps a record of each request that it ran.
namespace lovagehold {
namespace {

constexpr unsigned short kControlPortOffset = 1000;
constexpr std::chrono::milliseconds kSampleInterval{ 100 };

awaitable<void>
leave(StandinState& state, asio::io_context& context)
{
  co_await drain(state);
  context.stop();
}

awaitable<void>
sample(StandinState& state)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    state.sample_load(Clock::now());
    timer.expires_after(kSampleInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

int
run(const StandinOptions& options)
{
  const auto endpoint = parse_endpoint(options.address);
  if (!endpoint) {
    std::cerr << "standin_server: --address must be IP:port\n";
    return 2;
  }
  const tcp::endpoint control(endpoint->address(),
                              static_cast<unsigned short>(endpoint->port() + kControlPortOffset));
  asio::io_context context(1);
  StandinState state(options);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&](auto, int) { asio::co_spawn(context, leave(state, context), asio::detached); });
  asio::co_spawn(context, accept_requests(state, *endpoint), asio::detached);
  asio::co_spawn(context, accept_control(state, control), asio::detached);
  asio::co_spawn(context, sample(state), asio::detached);
  if (!options.entries.empty()) {
    asio::co_spawn(context, announce(state), asio::detached);
  }
  context.run();
  return 0;
}

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  using TCLAP::ValueArg;
  TCLAP::CmdLine command("standin_server: test server; its control pages are on its port + 1000");
  ValueArg<std::string> service("", "service", "service name", true, "", "name", command);
  ValueArg<std::string> id("", "id", "server id", true, "", "id", command);
  ValueArg<std::string> address("", "address", "listen address", true, "", "IP:port", command);
  TCLAP::MultiArg<std::string> entries("", "entry", "entry host", false, "IP:port", command);
  ValueArg<unsigned> micros("", "service-us", "mean service time", false, 2000, "us", command);
  ValueArg<double> service_time_sigma("",
                                      "tail",
                                      "sigma of log-normal service times; 0 for constant ones",
                                      false,
                                      0,
                                      "sigma",
                                      command);
  ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "n", command);
  ValueArg<unsigned> cold(
    "", "cold-ms", "time of slower service after the start", false, 0, "ms", command);
  ValueArg<unsigned> lag("", "lag-ms", "age of the reported load", false, 500, "ms", command);
  ValueArg<unsigned> accept(
    "", "accept-us", "delay before a new connection is served", false, 1000, "us", command);
  ValueArg<std::string> journal(
    "", "journal", "file for one JSON line per event of a run", false, "", "file", command);
  command.parse(argc, argv);
  return lovagehold::run({ .service = service.getValue(),
                           .id = id.getValue(),
                           .address = address.getValue(),
                           .entries = entries.getValue(),
                           .service_time = std::chrono::microseconds(micros.getValue()),
                           .service_time_sigma = service_time_sigma.getValue(),
                           .seed = seed.getValue(),
                           .accept_time = std::chrono::microseconds(accept.getValue()),
                           .cold_start = std::chrono::milliseconds(cold.getValue()),
                           .journal = journal.getValue(),
                           .load_report_lag = std::chrono::milliseconds(lag.getValue()) });
}
