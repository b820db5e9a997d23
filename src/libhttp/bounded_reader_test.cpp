#include "bounded_reader.h"

#include "testing/odd_messages.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace lovagehold {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Feeds the text to the parser the way a connection does: bytes that are not parsed stay in the
// buffer. \return the error that ends the reading; none if the message is complete
template<class Parser>
beast::error_code
read(Parser& parser,
     const std::string& text,
     std::size_t header_bytes = 8192,
     std::size_t piece_bytes = 1000)
{
  ReadBuffer buffer;
  buffer.allow_header(header_bytes);
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(header_bytes));
  std::size_t sent = 0;
  while (!parser.is_done()) {
    const std::size_t size =
      std::min({ beast::read_size(buffer, 65536), text.size() - sent, piece_bytes });
    if (size == 0) {
      return sent < text.size() ? http::error::buffer_overflow : http::error::partial_message;
    }
    const auto space = buffer.prepare(size);
    std::copy_n(text.data() + sent, size, static_cast<char*>(space.data()));
    buffer.commit(size);
    sent += size;
    beast::error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (error && error != http::error::need_more) {
      return error;
    }
  }
  return {};
}

// Guards against a field that Beast can't store: it throws, which ends the process.
TEST(BoundedReader, OddMessagesAreErrorsOrComplete)
{
  for (const OddMessage& message : odd_messages("POST /x HTTP/1.1", "Host: a\r\n")) {
    std::string text = message.bytes;
    while (!message.endless.empty() && text.size() < kMaxBytesTaken / 8) {
      text += message.endless;
    }
    BoundedRequestParser<http::string_body> parser;
    EXPECT_NO_THROW({
      const beast::error_code error = read(parser, text);
      EXPECT_TRUE(error || message.endless.empty()) << message.name;
    }) << message.name;
    EXPECT_NO_THROW(read(parser, text, std::size_t{ 16 } << 20)) << message.name;
  }
}

// Guards against an exception where the settings allow headers that are longer than a field that
// Beast can store.
TEST(BoundedReader, LongFieldUnderALargeHeaderLimitIsAnError)
{
  const auto read_field = [](std::size_t size) {
    BoundedRequestParser<http::string_body> parser;
    const std::string field = "X: " + std::string(size, 'x') + "\r\n";
    return read(parser, "GET / HTTP/1.1\r\n" + field + field + "\r\n", std::size_t{ 1 } << 20);
  };
  EXPECT_EQ(read_field(60000), beast::error_code());
  EXPECT_EQ(read_field(65533), beast::error_code());
  EXPECT_EQ(read_field(65534), beast::error_code(http::error::header_limit));
}

// Guards against a Content-Length that makes the reader reserve more than the body limit, or read
// more: Beast checks the limit of a response only if its header arrives alone.
TEST(BoundedReader, LengthBeyondTheBodyLimitIsAnError)
{
  const auto read_length = [](const std::string& length) {
    BoundedResponseParser<http::string_body> parser;
    parser.body_limit(4096);
    const beast::error_code error = read(
      parser, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + std::string(9000, 'x'));
    EXPECT_LE(parser.get().body().capacity(), 4096U) << length;
    return error;
  };
  EXPECT_EQ(read_length("4096"), beast::error_code());
  EXPECT_EQ(read_length("4096, 4096"), beast::error_code());
  for (const char* length : { "4097",
                              "8000",
                              "1099511627776",
                              "9223372036854775807",
                              "9223372036854775808",
                              "18446744073709551615",
                              "8000, 8000" }) {
    EXPECT_EQ(read_length(length), beast::error_code(http::error::body_limit)) << length;
  }
}

std::string
to_hex(std::uint64_t number)
{
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

// Lengths near the limits that readers compute with, and any other.
rc::Gen<std::uint64_t>
length()
{
  constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
  return rc::gen::oneOf(
    rc::gen::inRange<std::uint64_t>(0, 9000),
    rc::gen::map(rc::gen::inRange<unsigned>(0, 64), [](unsigned bit) { return kMax >> bit; }),
    rc::gen::map(rc::gen::inRange<unsigned>(0, 64),
                 [](unsigned bit) { return std::uint64_t{ 1 } << bit; }),
    rc::gen::arbitrary<std::uint64_t>());
}

// \return a header and a part of a body with any lengths, which may contradict each other
std::string
any_message(const std::string& start_line)
{
  std::string text = start_line + "\r\nHost: a\r\n";
  const std::string body(*rc::gen::inRange<std::size_t>(0, 6000), 'x');
  const bool chunked = *rc::gen::arbitrary<bool>();
  const auto lengths = *rc::gen::inRange(0, 3);
  for (int i = 0; i < lengths; ++i) {
    text += "Content-Length: " + std::to_string(*length()) + "\r\n";
  }
  text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
  if (!chunked) {
    return text + body;
  }
  for (int chunks = *rc::gen::inRange(0, 4); chunks > 0; --chunks) {
    const std::uint64_t size = *rc::gen::arbitrary<bool>() ? body.size() : *length();
    text += to_hex(size) + "\r\n" + body + "\r\n";
  }
  return text + "0\r\n\r\n";
}

template<class Parser>
void
expect_bounded(const std::string& text, std::uint64_t limit)
{
  Parser parser;
  parser.body_limit(limit);
  // A message that is complete, an error and one that needs more bytes are all correct here.
  read(parser, text, 8192, *rc::gen::inRange<std::size_t>(1, 20000));
  // A string doubles its capacity when it grows chunk by chunk.
  RC_ASSERT(parser.get().body().size() <= limit);
  RC_ASSERT(parser.get().body().capacity() <= 2 * std::max<std::uint64_t>(limit, 15));
}

// Guards against lengths of a peer that end the process or take its memory, whatever they are and
// however the message is split. A message that Beast can't handle without an exception fails here.
RC_GTEST_PROP(BoundedReader, AnyLengthsStayWithinTheBodyLimit, ())
{
  const std::uint64_t limit = *rc::gen::inRange<std::uint64_t>(0, 8000);
  expect_bounded<BoundedResponseParser<http::string_body>>(any_message("HTTP/1.1 200 OK"), limit);
  expect_bounded<BoundedRequestParser<http::string_body>>(any_message("POST / HTTP/1.1"), limit);
}

// Guards against a field behind the last chunk that is taken for one of the header, for example for
// the deadline.
TEST(BoundedReader, FieldsBehindTheLastChunkAreDropped)
{
  BoundedRequestParser<http::string_body> parser;
  const std::string text = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "2\r\nok\r\n0\r\nHost: b\r\nLovagehold-Deadline-Ms: 9\r\n\r\n";
  EXPECT_EQ(read(parser, text), beast::error_code());
  EXPECT_EQ(parser.get().body(), "ok");
  EXPECT_EQ(parser.get().count("Host"), 1U);
  EXPECT_EQ(parser.get()[http::field::host], "a");
  EXPECT_EQ(parser.get().count("Lovagehold-Deadline-Ms"), 0U);
}

// Guards against a response with an invalid status that is passed on as one.
TEST(BoundedReader, StatusOutsideOfTheRangeIsAnError)
{
  const auto read_status = [](const std::string& status) {
    BoundedResponseParser<http::string_body> parser;
    return read(parser, "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok");
  };
  for (const char* status : { "200", "299", "404", "503", "599" }) {
    EXPECT_EQ(read_status(status), beast::error_code()) << status;
  }
  for (const char* status : { "000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "" }) {
    EXPECT_EQ(read_status(status), beast::error_code(http::error::bad_status)) << status;
  }
}

// Guards against a maximum below what the buffer holds, of which Beast computes a huge read size.
TEST(ReadBuffer, MaximumNeverFallsBelowTheContent)
{
  ReadBuffer buffer;
  buffer.allow_header(200000);
  buffer.prepare(150000);
  buffer.commit(150000);
  buffer.allow_header(100);
  EXPECT_EQ(beast::read_size(buffer, 65536), 0U);
  buffer.consume(150000);
  buffer.allow_header(100);
  EXPECT_EQ(buffer.max_size(), kMaxUnparsedBytes);
}

} // namespace
} // namespace lovagehold
