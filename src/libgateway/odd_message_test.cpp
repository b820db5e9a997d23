#include "gateway_fixture.h"
#include "libhttp/testing/odd_messages.h"

#include <algorithm>
#include <cctype>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr char kStatusLine[] = "HTTP/1.1 200 OK";

// Plays one odd message to a gateway that also serves ordinary requests.
class OddMessageTest
  : public GatewayTest
  , public ::testing::WithParamInterface<OddMessage>
{
protected:
  // \return the message of this test from a table whose messages have other fields
  static OddMessage find_played(const std::vector<OddMessage>& messages)
  {
    return *std::find_if(messages.begin(), messages.end(), [](const OddMessage& message) {
      return message.name == GetParam().name;
    });
  }

  void expect_service()
  {
    const std::string received = send(request("GET", "/safe/other"));
    EXPECT_EQ(status_of(received), 200) << received.substr(0, 200);
  }

  // Waits until the connection with a message without end has been closed.
  static void expect_bounded(const ScriptedServer& server)
  {
    const TimePoint limit = Clock::now() + std::chrono::seconds(5);
    while (!GetParam().endless.empty() && !server.peer_closed() && Clock::now() < limit) {
      std::this_thread::yield();
    }
    EXPECT_EQ(server.peer_closed(), !GetParam().endless.empty());
    EXPECT_LE(server.endless_bytes(), kMaxBytesTaken);
  }
};

// Guards against a server's response that ends the entry host or fills its memory.
TEST_P(OddMessageTest, FromAServerEndsOnlyItsExchange)
{
  ScriptedServer& server = add_server([](const ReceivedRequest& received) {
    if (received.head.find("/once/odd") == std::string::npos) {
      return kServe(received);
    }
    const OddMessage played =
      find_played(odd_messages(kStatusLine, ScriptedServer::id_header(received)));
    return ScriptedResponse{ .bytes = played.bytes, .endless = played.endless };
  });
  configure(milliseconds(1000));
  EXPECT_NE(send(request("POST", "/once/odd", "body")), "(not closed)");
  EXPECT_EQ(arrivals(), 1U);
  expect_bounded(server);
  expect_service();
}

// Guards against a response to a health check that ends the entry host or fills its memory.
TEST_P(OddMessageTest, FromAHealthCheckEndsOnlyItsExchange)
{
  ScriptedServer& server = add_server(kServe);
  configure(milliseconds(1000));
  const OddMessage played =
    find_played(odd_messages(kStatusLine, "Lovagehold-Server-Load: 0,0,3,100\r\n"));
  server.answer_checks_with(played.bytes, played.endless);
  EXPECT_NE(send(request("GET", "/safe/x")), "(not closed)");
  EXPECT_GE(server.checks(), 1U);
  expect_bounded(server);
}

// Guards against a caller's request that ends the entry host or fills its memory.
TEST_P(OddMessageTest, FromACallerEndsOnlyItsConnection)
{
  add_server(kServe);
  configure(milliseconds(1000));
  boost::asio::io_context context;
  TestSocket socket(context);
  socket.connect(test_endpoint(".8.1", kPort));
  set_read_timeout(socket);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(GetParam().bytes), error);
  std::size_t sent = 0;
  while (!GetParam().endless.empty() && !error && sent <= kMaxBytesTaken) {
    sent += boost::asio::write(socket, boost::asio::buffer(GetParam().endless), error);
  }
  EXPECT_LE(sent, kMaxBytesTaken);
  expect_service();
}

class OddResponseTest : public OddMessageTest
{};

// Guards against a server's response without a valid status that the caller gets as an answer.
TEST_P(OddResponseTest, FromAServerIsNotForwarded)
{
  ScriptedServer& server = add_server([](const ReceivedRequest& received) {
    if (received.head.find("/once/odd") == std::string::npos) {
      return kServe(received);
    }
    const OddMessage played = find_played(odd_responses(ScriptedServer::id_header(received)));
    return ScriptedResponse{ .bytes = played.bytes, .endless = played.endless };
  });
  configure(milliseconds(1000));
  EXPECT_EQ(status_of(send(request("POST", "/once/odd", "body"))), 502);
  EXPECT_EQ(arrivals(), 1U);
  expect_bounded(server);
  expect_service();
}

// Guards against a request without an end, and against a caller that gets the head of a response
// which can't be whole: the server has printed a length of -1 as an unsigned number.
TEST_F(GatewayTest, ResponseWithAnImpossibleLengthIsReplaced)
{
  for (int i = 0; i < 2; ++i) {
    add_server([this](const ReceivedRequest& received) {
      const bool first = arrivals() <= 1;
      const std::string head = "HTTP/1.1 200 OK\r\n" + ScriptedServer::id_header(received) +
                               "Content-Length: 18446744073709551615\r\n\r\n";
      return first ? ScriptedResponse{ .bytes = head + "part", .close = true } : kServe(received);
    });
  }
  configure(milliseconds(1000));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against an exception that is lost, with the probe or connection that it ended.
TEST_F(GatewayTest, ExceptionEndsOnlyItsProbeAndIsCounted)
{
  ScriptedServer& server = add_server(kServe);
  configure(milliseconds(1000));
  server.answer_checks_with("HTTP/1.1 200 OK\r\nLovagehold-Server-Load: throw\r\n"
                            "Content-Length: 0\r\n\r\n",
                            "");
  EXPECT_NE(send(request("GET", "/safe/x")), "(not closed)");
  EXPECT_GE(server.checks(), 1U);
  std::uint64_t exceptions = 0;
  on_gateway([&] { exceptions = m_gateway.counters().exceptions; });
  EXPECT_GE(exceptions, 1U);
}

std::string
test_name(const ::testing::TestParamInfo<OddMessage>& info)
{
  std::string name = info.param.name;
  std::replace(name.begin(), name.end(), ' ', '_');
  return name;
}

INSTANTIATE_TEST_SUITE_P(
  ,
  OddMessageTest,
  ::testing::ValuesIn(odd_messages("POST /once/odd HTTP/1.1",
                                   "Host: a.example\r\nLovagehold-Request-Id: id-2\r\n")),
  test_name);

INSTANTIATE_TEST_SUITE_P(, OddResponseTest, ::testing::ValuesIn(odd_responses("")), test_name);

} // namespace
} // namespace lovagehold
