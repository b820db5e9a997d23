#include "entry_fixture.h"

namespace lovagehold {
namespace {

constexpr unsigned short kPort = 7414;
constexpr unsigned kThreads = 4;
constexpr int kRounds = 10;
// Number of refused connections to wait for after drain(). They take about 2 ms, in which the
// accept loop notices that its acceptor was closed.
constexpr int kRefusals = 50;

EntryPorts
make_ports()
{
  EntryPorts ports;
  ports.propose = [](const Command&, const auto& handler) {
    handler(ApplyResult{ .accepted = true });
  };
  ports.send_renewal = [](const HostInfo&, const ServerRenewal&) {};
  ports.key_status = [](const ServiceName&, const std::string&, const auto& handler) {
    handler(std::nullopt);
  };
  return ports;
}

bool
accepts_callers(unsigned short port)
{
  boost::asio::io_context context;
  TestSocket socket(context);
  boost::system::error_code error;
  socket.connect(test_endpoint(".9.1", port), error);
  return !error;
}

// Guards against a crash in the destructor: the accept loop waited on the io_context of another
// thread, which was destroyed after the loop's own io_context.
TEST(EntryService, IsDestroyedWhileItStopsAccepting)
{
  EventLog log({ .host = "host-1", .level = "error" });
  const auto endpoint = test_endpoint(".9.1", kPort);
  for (int round = 0; round < kRounds; ++round) {
    EntryService entry(
      { .self = "host-1",
        .caller_address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port()),
        .threads = kThreads },
      make_ports(),
      log);
    ASSERT_TRUE(entry.start().has_value());
    // After this connection, the loop accepts the next one for another thread's io_context.
    EXPECT_TRUE(accepts_callers(kPort));
    entry.drain();
    for (int refused = 0; refused < kRefusals;) {
      refused += accepts_callers(kPort) ? 0 : 1;
    }
  }
}

} // namespace
} // namespace lovagehold
