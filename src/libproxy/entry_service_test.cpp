#include "entry_fixture.h"
#include "upload_source.h"

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

std::string
request_with_body(const std::string& method, const std::string& path, const std::string& body)
{
  return method + " " + path + " HTTP/1.1\r\nHost: desk\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against an announcement by another writer that ends the process, takes up its memory or is
// stored as a server that no request can be sent to.
TEST(EntryService, OddAnnouncementsAreRejected)
{
  EntryFixture entry(kPort + 1);
  const std::string valid =
    R"({"service":"desk","id":"s","address":"127.0.0.1:80","incarnation":1)";
  const auto announce = [&](const std::string& body) {
    return status_of(
      entry.send(request_with_body("POST", "/.lovagehold/servers", body)).value_or(""));
  };
  EXPECT_EQ(announce(valid + "}"), 200);
  EXPECT_EQ(entry.proposed.size(), 1U);
  const std::string deep = std::string(20000, '[') + std::string(20000, ']');
  std::string with_deep = valid;
  with_deep.append(R"(,"odd":)").append(deep).append("}");
  for (const std::string& odd :
       { valid + R"(,"slots":4294967299})",
         valid + R"(,"slots":1e300})",
         valid + R"(,"connections":-1})",
         valid + R"(,"warmup_ms":9223372036854775807})",
         with_deep,
         deep,
         std::string(R"({"service":"desk","id":"s","address":"127.0.0.1:65537"})"),
         std::string(R"({"service":"desk","id":"s","address":"127.0.0.1:0"})"),
         std::string("[1]"),
         std::string("\xff") }) {
    EXPECT_EQ(announce(odd), 400) << odd.substr(0, 100);
  }
  EXPECT_EQ(entry.proposed.size(), 1U);
  EXPECT_EQ(announce(valid + "}"), 200);
}

// Guards against a leave for an incarnation that the text does not name: a prefix of it was taken.
TEST(EntryService, LeaveWithAnUnreadableIncarnationIsRejected)
{
  EntryFixture entry(kPort + 2);
  const auto leave = [&](const std::string& incarnation) {
    const std::string path =
      "/.lovagehold/servers/s?service=desk&incarnation=" + std::string(incarnation);
    return status_of(entry.send(request_with_body("DELETE", path, "")).value_or(""));
  };
  for (const char* odd : { "12x", "-1", "x", "99999999999999999999" }) {
    EXPECT_EQ(leave(odd), 400) << odd;
  }
  EXPECT_TRUE(entry.proposed.empty());
  EXPECT_EQ(leave("12"), 200);
}

// Guards against a buffer without a bound from the second request of a connection on.
TEST(UploadSource, RestoresTheBoundOfTheBuffer)
{
  boost::asio::io_context context;
  beast::tcp_stream caller(context);
  ReadTimer read_timer(caller);
  ReadBuffer buffer;
  buffer.allow_header(200000);
  RequestParser parser;
  const CallerLimits limits;
  LinkPacer pacer({ .link_mbps = 2 });
  {
    const UploadSource upload(caller, read_timer, buffer, parser, limits, false, &pacer);
    EXPECT_EQ(buffer.max_size(), LinkPacer::kPieceBytes);
  }
  EXPECT_EQ(buffer.max_size(), 200000U);
}

} // namespace
} // namespace lovagehold
