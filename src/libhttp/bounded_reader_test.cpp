#include "bounded_reader.h"

#include "testing/odd_messages.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Feeds the text to the parser the way a connection does: bytes that are not parsed stay in the
// buffer. \return the error that ends the reading; none if the message is complete
template<class Parser>
beast::error_code
read(Parser& parser, const std::string& text, std::size_t header_bytes = 8192)
{
  ReadBuffer buffer;
  buffer.allow_header(header_bytes);
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(header_bytes));
  std::size_t sent = 0;
  while (!parser.is_done()) {
    const std::size_t size =
      std::min({ beast::read_size(buffer, 65536), text.size() - sent, std::size_t{ 1000 } });
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
