#include "entry_fixture.h"
#include "libhttp/testing/odd_messages.h"

namespace lovagehold {
namespace {

constexpr unsigned short kPort = 7418;

std::string
ordinary_request()
{
  return "GET /x HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n";
}

// Guards against a caller's request that ends the process or fills its memory, at the product's own
// interface.
TEST(OddMessage, FromACallerEndsOnlyItsConnection)
{
  EntryFixture entry(kPort);
  for (const OddMessage& message :
       odd_messages("PUT /x HTTP/1.1", "Host: desk\r\nConnection: close\r\n")) {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".9.1", kPort));
    set_read_timeout(socket);
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(message.bytes), error);
    // The entry service discards what it receives for a second after its response, so that the
    // caller can read that.
    const TimePoint limit = Clock::now() + std::chrono::seconds(5);
    while (!message.endless.empty() && !error && Clock::now() < limit) {
      boost::asio::write(socket, boost::asio::buffer(message.endless), error);
    }
    EXPECT_EQ(bool(error), !message.endless.empty()) << message.name;
    EXPECT_TRUE(entry.send(ordinary_request()).has_value()) << message.name;
  }
}

// Guards against a server's response that ends the process or fills its memory, at the product's
// own interface.
TEST(OddMessage, FromAServerEndsOnlyItsExchange)
{
  for (const OddMessage& message : odd_messages("HTTP/1.1 200 OK", "")) {
    EntryFixture entry(kPort + 1);
    entry.server().respond_with(message.bytes, message.endless);
    EXPECT_TRUE(entry.send(ordinary_request()).has_value()) << message.name;
    EXPECT_GE(entry.server().requests(), 1U) << message.name;
    EXPECT_LE(entry.server().endless_bytes(), kMaxBytesTaken) << message.name;
  }
}

// Guards against a server's response without a valid status that the caller gets as an answer, and
// against reading interim responses without end.
TEST(OddMessage, ResponseWithoutAValidStatusIsNotPassedOn)
{
  for (const OddMessage& message : odd_responses("")) {
    EntryFixture entry(kPort + 1);
    entry.server().respond_with(message.bytes, message.endless);
    const std::string received = entry.send(ordinary_request()).value_or("(not closed)");
    EXPECT_EQ(status_of(received), 502) << message.name;
    EXPECT_LE(entry.server().endless_bytes(), kMaxBytesTaken) << message.name;
  }
}

} // namespace
} // namespace lovagehold
