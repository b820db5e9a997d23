#include "entry_fixture.h"

#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

constexpr unsigned short kRequestPort = 7411;
constexpr unsigned short kResponsePort = 7412;

EntryFixture&
fixture()
{
  static EntryFixture shared(kRequestPort);
  return shared;
}

// Header fields that make a request ambiguous or invalid, and the status expected for it.
struct Mutation
{
  const char* name;
  std::string fields;
  std::string body;
  int status;
};

const std::vector<Mutation>&
mutations()
{
  static const std::vector<Mutation> kAll = {
    { "length and coding", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc", 400 },
    { "coding and length",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "0\r\n\r\n",
      400 },
    { "two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd", 400 },
    { "length list", "Content-Length: 3, 4\r\n", "abcd", 400 },
    { "signed length", "Content-Length: +3\r\n", "abc", 400 },
    { "hexadecimal length", "Content-Length: 0x3\r\n", "abc", 400 },
    { "huge length", "Content-Length: 99999999999999999999999\r\n", "abc", 400 },
    { "unknown coding", "Transfer-Encoding: gzip\r\n", "abc", 400 },
    { "coding list", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n", 400 },
    { "two codings",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "0\r\n\r\n",
      400 },
    { "space before colon", "Content-Length : 3\r\n", "abc", 400 },
    { "bare LF", "X-One: 1\nX-Two: 2\r\n", "", 400 },
    { "bare CR", "X-One: 1\rX-Two: 2\r\n", "", 400 },
    { "control character", std::string("X-One: a\0b\r\n", 12), "", 400 },
    { "field without name", ": 1\r\n", "", 400 },
    { "two services", "Lovagehold-Service: desk\r\nLovagehold-Service: other\r\n", "", 400 },
    { "two hosts", "Host: other\r\n", "", 400 },
    { "deadline not a number", "Lovagehold-Deadline-Ms: soon\r\n", "", 400 },
    { "retries negative", "Lovagehold-Retries-Left: -1\r\n", "", 400 },
    { "unknown expectation", "Expect: miracles\r\n", "", 417 },
    { "header too large", "X-Large: " + std::string(20000, 'x') + "\r\n", "", 431 },
    { "bad chunk", "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n", 400 },
    { "chunk with bare LF", "Transfer-Encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n", 400 },
    { "body over the limit", "Content-Length: 2000000000\r\n", "abc", 413 },
  };
  return kAll;
}

std::string
make_request(const std::string& method, const std::string& fields, const std::string& body)
{
  return method + " /x HTTP/1.1\r\nHost: desk\r\n" + fields + "\r\n" + body;
}

std::string
valid_request()
{
  return make_request("GET", "Connection: close\r\n", "");
}

std::string
smuggled_request()
{
  return "GET /smuggled HTTP/1.1\r\nHost: desk\r\n\r\n";
}

// Guards against request smuggling: a request whose end can be interpreted in two ways must be
// rejected and its connection closed, regardless of the other fields around the invalid one.
RC_GTEST_PROP(Framing, AmbiguousRequestsAreRejectedAndClosed, ())
{
  const Mutation& mutation = mutations()[*rc::gen::inRange<std::size_t>(0, mutations().size())];
  const auto before = *rc::gen::inRange(0, 4);
  const auto after = *rc::gen::inRange(0, 4);
  const std::string method = *rc::gen::element<std::string>("GET", "PUT", "POST");
  std::string fields = method == "POST" ? "Idempotency-Key: k\r\n" : "";
  for (int i = 0; i < before; ++i) {
    fields += "X-Before-" + std::to_string(i) + ": 1\r\n";
  }
  fields += mutation.fields;
  for (int i = 0; i < after; ++i) {
    fields += "X-After-" + std::to_string(i) + ": 1\r\n";
  }
  // A second request after the invalid one must never be served.
  const auto received =
    fixture().send(make_request(method, fields, mutation.body) + smuggled_request());
  RC_LOG() << mutation.name << "\n";
  RC_ASSERT(received.has_value());
  RC_LOG() << *received << "\n";
  RC_ASSERT(status_of(*received) == mutation.status);
  RC_ASSERT(received->find("\"remedy\"") != std::string::npos);
  RC_ASSERT(received->find("HTTP/1.1 200") == std::string::npos);
  RC_ASSERT(!fixture().server().saw_smuggled());
}

// Guards against forwarding a request whose body is malformed from its first chunk on: a server
// that responds before it reads the body would hide the error.
TEST(Framing, MalformedFirstChunkReachesNoServer)
{
  EntryFixture entry(kResponsePort);
  const auto received =
    entry.send(make_request("PUT", "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"));
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), 400);
  EXPECT_EQ(entry.server().requests(), 0U);
}

// Guards against crashes and connections that stay open on arbitrary input: sends a valid request
// with some bytes replaced, removed or inserted.
RC_GTEST_PROP(Framing, RandomBytesNeverStopTheService, ())
{
  std::string bytes = make_request("PUT", "Content-Length: 5\r\nConnection: close\r\n", "hello");
  const auto changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto kind = *rc::gen::inRange(0, 3);
    const char byte = *rc::gen::arbitrary<char>();
    if (kind == 0) {
      bytes[at] = byte;
    } else if (kind == 1) {
      bytes.insert(at, 1, byte);
    } else {
      bytes.erase(at, 1);
    }
  }
  const auto received = fixture().send(bytes);
  RC_ASSERT(received.has_value());
  const int status = status_of(*received);
  RC_ASSERT(status == 0 || status == 200 || (status >= 400 && status < 600));
  const auto valid = fixture().send(valid_request());
  RC_ASSERT(valid.has_value());
  RC_ASSERT(status_of(*valid) == 200);
}

// Guards against responses that callers could interpret differently from this host: the caller must
// receive 502 instead of a response with an ambiguous length or one that ends with the connection.
TEST(Framing, AmbiguousResponsesAreNotPassedOn)
{
  EntryFixture entry(kResponsePort);
  const std::vector<std::string> responses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "garbage\r\n\r\n",
    "",
  };
  for (const std::string& response : responses) {
    entry.server().respond_with(response);
    const auto received = entry.send(valid_request());
    ASSERT_TRUE(received.has_value()) << response;
    EXPECT_EQ(status_of(*received), 502) << response;
  }
  entry.server().respond_with(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    "Connection: X-Hop\r\nX-Hop: 1\r\nLovagehold-Outcome: not-run\r\n\r\nok");
  const auto received = entry.send(valid_request());
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), 200);
  EXPECT_EQ(received->find("X-Hop"), std::string::npos);
  // Only lovagehold may set the outcome field.
  EXPECT_EQ(received->find("Lovagehold-Outcome"), std::string::npos);
}

// Guards against a response whose head is cut off and that reaches the caller as a success with an
// empty or short body.
TEST(Framing, ResponseWithACutHeadIsNotPassedOn)
{
  EntryFixture entry(kResponsePort);
  const std::string whole =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    entry.server().respond_with(whole.substr(0, cut));
    const auto received = entry.send(valid_request());
    ASSERT_TRUE(received.has_value()) << cut;
    EXPECT_EQ(status_of(*received), 502) << cut;
  }
}

// Guards against passing on an additional response to an earlier request, which a server sent late
// on a connection that is in use again.
TEST(Framing, ResponseToAnotherRequestIsNotPassedOn)
{
  EntryFixture entry(kResponsePort);
  entry.server().respond_with("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                              "Lovagehold-Request-Id: another\r\n\r\nwrong");
  const auto received = entry.send(valid_request());
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), 502);
}

// Guards against sending body bytes after a response that has no body, which the caller would parse
// as the next response.
TEST(Framing, ResponsesWithoutBody)
{
  EntryFixture entry(kResponsePort);
  entry.server().respond_with("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  const auto head = entry.send(make_request("HEAD", "Connection: close\r\n", ""));
  ASSERT_TRUE(head.has_value());
  EXPECT_EQ(status_of(*head), 200);
  EXPECT_NE(head->find("Content-Length: 5"), std::string::npos);
  EXPECT_EQ(head->substr(head->size() - 4), "\r\n\r\n");
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    entry.server().respond_with(std::string("HTTP/1.1 ") + status + "\r\n\r\n");
    const auto received = entry.send(valid_request());
    ASSERT_TRUE(received.has_value());
    EXPECT_EQ(status_of(*received), std::atoi(status));
    EXPECT_EQ(received->substr(received->size() - 4), "\r\n\r\n");
  }
}

// Guards against slow senders that hold a connection open: an incomplete header and incomplete
// bodies must be answered with 408.
TEST(Framing, SlowSendersReceive408)
{
  EntryFixture entry(kResponsePort);
  const auto header = entry.send("GET /x HTTP/1.1\r\nHost: de");
  ASSERT_TRUE(header.has_value());
  EXPECT_EQ(status_of(*header), 408);
  const auto body = entry.send(make_request("PUT", "Content-Length: 10\r\n", "abc"));
  ASSERT_TRUE(body.has_value());
  EXPECT_EQ(status_of(*body), 408);
  entry.server().hold();
  const auto large = entry.send(make_request("PUT", "Content-Length: 5000000\r\n", "abc"));
  ASSERT_TRUE(large.has_value());
  EXPECT_EQ(status_of(*large), 408);
}

// Guards against a missing 100 Continue, without which the caller would not send its body.
TEST(Framing, ExpectationIsAnsweredBeforeTheBody)
{
  EntryFixture entry(kResponsePort);
  const auto received =
    entry.send(make_request("PUT", "Content-Length: 3\r\nExpect: 100-continue\r\n", ""));
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(received->rfind("HTTP/1.1 100 Continue\r\n\r\n", 0), 0U);
}

} // namespace
} // namespace lovagehold
