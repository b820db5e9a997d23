#include "gateway_fixture.h"

#include <boost/asio/read_until.hpp>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPieceBytes = std::size_t{ 64 } << 10;
// More than a host buffers, so that the body is streamed to the server.
constexpr std::size_t kLongBytes = std::size_t{ 3 } << 20;

// A caller's connection that stays open for several requests.
class Caller
{
public:
  explicit Caller(unsigned short port)
    : m_socket(m_context)
  {
    m_socket.connect(test_endpoint(".8.1", port));
    set_read_timeout(m_socket);
  }

  // \return whether all bytes could be sent
  bool send(const std::string& bytes)
  {
    boost::system::error_code error;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
    return !error;
  }

  void send_head(const std::string& path, const std::string& framing)
  {
    send("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id-1\r\n" +
         "Lovagehold-Deadline-Ms: 2500\r\n" + framing + "\r\n");
  }

  // Sends a body until it has been sent or the connection is closed.
  void send_body(const std::string& body, bool chunked)
  {
    bool open = true;
    for (std::size_t sent = 0; open && sent < body.size(); sent += kPieceBytes) {
      const std::string piece = body.substr(sent, kPieceBytes);
      open = send(chunked ? as_chunk(piece) : piece);
    }
    if (open && chunked) {
      send("0\r\n\r\n");
    }
  }

  static std::string framing(std::size_t size, bool chunked)
  {
    return chunked ? "Transfer-Encoding: chunked\r\n"
                   : "Content-Length: " + std::to_string(size) + "\r\n";
  }

  // \return the header of the next response, with a small body; empty if the connection is closed
  std::string read_response()
  {
    boost::system::error_code error;
    const std::size_t size =
      boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_received), "\r\n\r\n", error);
    if (error) {
      return "";
    }
    std::string head = m_received.substr(0, size);
    m_received.erase(0, size);
    const std::size_t length = head.find("Content-Length: ");
    const std::size_t body =
      length == std::string::npos ? 0 : std::stoul(head.substr(length + sizeof("Content-Length:")));
    if (m_received.size() < body) {
      boost::asio::read(m_socket,
                        boost::asio::dynamic_buffer(m_received),
                        boost::asio::transfer_exactly(body - m_received.size()),
                        error);
    }
    m_received.erase(0, body);
    return head;
  }

  // \return all bytes received until the connection is closed
  std::string read_all() { return m_received + read_to_close(m_socket).value_or("(not closed)"); }

private:
  static std::string as_chunk(const std::string& piece)
  {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    return size + piece + "\r\n";
  }

  boost::asio::io_context m_context;
  TestSocket m_socket;
  std::string m_received;
};

// \return whether the bytes are one whole response with a length or in chunks
bool
is_whole(const std::string& bytes)
{
  const std::size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  const std::size_t length = bytes.find("Content-Length: ");
  if (length < head) {
    return bytes.size() - head - 4 == std::stoul(bytes.substr(length + sizeof("Content-Length:")));
  }
  const std::string last_chunk = "\r\n0\r\n\r\n";
  return bytes.size() > last_chunk.size() &&
         bytes.compare(bytes.size() - last_chunk.size(), last_chunk.size(), last_chunk) == 0;
}

// Sends uploads with a length and in chunks; they are streamed to the server.
class UploadTest
  : public GatewayTest
  , public ::testing::WithParamInterface<bool>
{
protected:
  static bool chunked() { return GetParam(); }

  // A request of another caller is served.
  static void expect_service()
  {
    const std::string response = send(request("GET", "/safe/x"));
    EXPECT_EQ(status_of(response), 200) << response;
  }

  // \return the whole response to a long upload that is sent without a pause
  static std::string send_upload()
  {
    Caller caller(kPort);
    // More than the buffers of the sockets hold, so that a part of it is always on its way.
    const std::string body(std::size_t{ 16 } << 20, 'x');
    caller.send_head("/once/x", "Connection: close\r\n" + Caller::framing(body.size(), chunked()));
    std::thread sender([&] { caller.send_body(body, chunked()); });
    std::string response = caller.read_all();
    sender.join();
    return response;
  }

  // \return a response of this size that ends with its connection
  static ScriptedResponse response_without_length(const ReceivedRequest& received, std::size_t size)
  {
    return { .bytes = "HTTP/1.1 200 OK\r\n" + ScriptedServer::id_header(received) + "\r\n" +
                      std::string(size, 'y') };
  }

  // A body whose text looks like requests.
  static std::string smuggling_body(std::size_t size)
  {
    const std::string request = "GET /safe/smuggled HTTP/1.1\r\nHost: a.example\r\n"
                                "Lovagehold-Request-Id: inner\r\n\r\n";
    std::string body;
    while (body.size() < size) {
      body += request;
    }
    return body;
  }

  // Sends a long upload and expects that no part of its body is served as a request.
  void expect_nothing_smuggled(const std::string& path, unsigned status)
  {
    Caller caller(kPort);
    const std::string body = smuggling_body(kLongBytes);
    caller.send_head(path, Caller::framing(body.size(), chunked()));
    std::thread sender([&] { caller.send_body(body, chunked()); });
    const std::string response = caller.read_response();
    EXPECT_EQ(status_of(response), static_cast<int>(status)) << response;
    EXPECT_NE(response.find("Connection: close"), std::string::npos) << response;
    // A body that is taken for requests would be answered with further responses.
    EXPECT_EQ(caller.read_response(), "");
    sender.join();
    for (const auto& server : m_servers) {
      for (const ReceivedRequest& received : server->requests()) {
        // The gateway adds this header to what it sends; the stand-in itself reads on into a body
        // that it has answered early.
        const bool sent = !received.header("Lovagehold-Expect-Instance").empty();
        EXPECT_FALSE(sent && received.head.rfind("GET /safe/smuggled", 0) == 0);
      }
    }
  }
};

// Guards against a use after free: a server's early response ends the request while its body is
// still being sent to the server.
TEST_P(UploadTest, EarlyResponseEndsOnlyItsRequest)
{
  ScriptedServer& server = add_server(kServe);
  server.respond_early();
  configure();
  const std::string body(kLongBytes, 'x');
  for (int round = 0; round < 30; ++round) {
    Caller caller(kPort);
    caller.send_head("/once/x", Caller::framing(body.size(), chunked()));
    std::thread sender([&] { caller.send_body(body, chunked()); });
    const std::string response = caller.read_response();
    EXPECT_TRUE(response.empty() || status_of(response) == 200 || status_of(response) == 502)
      << response;
    sender.join();
  }
  expect_service();
}

// Guards against a use after free: the time budget ends while the body is still being sent.
TEST_P(UploadTest, TimeoutEndsOnlyItsRequest)
{
  add_server([](const ReceivedRequest& received) {
    return received.head.find("/safe/") == std::string::npos ? ScriptedResponse{ .hang = true }
                                                             : kServe(received);
  }).respond_early();
  configure(milliseconds(200), milliseconds(100));
  const std::string body(kLongBytes, 'x');
  for (int round = 0; round < 8; ++round) {
    Caller caller(kPort);
    caller.send_head("/once/x", Caller::framing(body.size(), chunked()));
    std::thread sender([&] { caller.send_body(body, chunked()); });
    EXPECT_EQ(status_of(caller.read_response()), 504);
    sender.join();
  }
  expect_service();
}

// Guards against a use after free: the caller leaves while its body is being sent to the server.
TEST_P(UploadTest, CallerThatLeavesEndsOnlyItsRequest)
{
  add_server(kServe);
  configure();
  const std::string body(kLongBytes, 'x');
  for (int round = 0; round < 20; ++round) {
    Caller caller(kPort);
    caller.send_head("/once/x", Caller::framing(body.size() + 1, chunked()));
    caller.send_body(body.substr(0, (std::size_t{ 1 } << 20) + round * kPieceBytes), chunked());
  }
  expect_service();
}

// Guards against bytes of a body that are served as requests: before the first configuration.
TEST_P(UploadTest, BodyIsNotServedAsRequestsWithoutConfiguration)
{
  add_server(kServe);
  std::thread late([this] {
    std::this_thread::sleep_for(milliseconds(900));
    configure();
  });
  expect_nothing_smuggled("/once/x", 503);
  late.join();
}

// Guards against bytes of a body that are served as requests: no route matches.
TEST_P(UploadTest, BodyIsNotServedAsRequestsWithoutRoute)
{
  add_server(kServe);
  configure();
  expect_nothing_smuggled("/else/x", 404);
}

// Guards against bytes of a body that are served as requests: the servers are full.
TEST_P(UploadTest, BodyIsNotServedAsRequestsAfterARefusal)
{
  add_server(kRefuse).respond_early();
  configure();
  expect_nothing_smuggled("/once/x", 503);
}

// Guards against bytes of a body that are served as requests: the host shuts down.
TEST_P(UploadTest, BodyIsNotServedAsRequestsDuringShutdown)
{
  add_server(kServe);
  configure();
  on_gateway([this] {
    const TimePoint now = Clock::now();
    m_gateway.begin_shutdown(now + milliseconds(100), now);
  });
  expect_nothing_smuggled("/once/x", 503);
}

// Guards against bytes of a body that are served as requests: a server answers early.
TEST_P(UploadTest, BodyIsNotServedAsRequestsAfterAnEarlyResponse)
{
  add_server(kServe).respond_early();
  configure();
  expect_nothing_smuggled("/once/x", 200);
}

// Guards against a part of a response that looks complete: the server responds early and without a
// length, and resets the connection while the upload is still being written. Short responses are
// read to their end before they are forwarded, long ones are not.
TEST_P(UploadTest, ResponseCutByAResetIsNotComplete)
{
  std::atomic<std::size_t> size{ 0 };
  add_server([&size](const ReceivedRequest& received) {
    ScriptedResponse response = response_without_length(received, size);
    response.reset = true;
    response.await_full_buffers = true;
    return response;
  }).respond_early();
  configure();
  for (const std::size_t part : { 0, 5, 10000, 300000 }) {
    size = part;
    const std::string response = send_upload();
    EXPECT_FALSE(status_of(response) == 200 && is_whole(response))
      << part << ": " << response.substr(0, 300);
    EXPECT_TRUE(part > kPieceBytes || status_of(response) == 502) << response.substr(0, 300);
  }
}

// Guards against a whole response that is broken off: the server responds early and without a
// length, closes its direction of the connection and reads the rest of the upload.
TEST_P(UploadTest, ResponseThatEndsBeforeItsUploadIsComplete)
{
  add_server([](const ReceivedRequest& received) {
    ScriptedResponse response = response_without_length(received, 5);
    response.half_close = true;
    return response;
  }).respond_early();
  configure();
  const std::string response = send_upload();
  EXPECT_EQ(status_of(response), 200) << response;
  EXPECT_TRUE(is_whole(response)) << response;
}

// Guards against a request without an end: its response has ended, but the server never reads the
// rest of the upload.
TEST_P(UploadTest, ResponseToAnUploadThatIsNeverReadEndsInTime)
{
  add_server([](const ReceivedRequest& received) {
    ScriptedResponse response = response_without_length(received, 5);
    response.half_close = true;
    response.stall = true;
    return response;
  }).respond_early();
  configure(milliseconds(300));
  const std::string response = send_upload();
  EXPECT_TRUE(status_of(response) == 502 || status_of(response) == 504) << response;
}

// Guards against a connection that is closed although its request has been read whole.
TEST_P(UploadTest, ConnectionIsKeptAfterAWholeRequest)
{
  add_server(kServe);
  configure();
  Caller caller(kPort);
  const std::string body(100, 'x');
  for (const char* path : { "/else/x", "/safe/x", "/else/x" }) {
    caller.send_head(path, Caller::framing(body.size(), chunked()));
    caller.send_body(body, chunked());
    const std::string response = caller.read_response();
    EXPECT_EQ(status_of(response), std::string(path) == "/safe/x" ? 200 : 404) << response;
    EXPECT_EQ(response.find("Connection: close"), std::string::npos) << response;
  }
}

// Guards against a limit of a replaced configuration: a connection was idle while the limit of
// bodies was raised.
TEST_P(UploadTest, LimitsOfANewConfigurationHoldOnKeptConnections)
{
  add_server(kServe);
  m_limits.body_bytes = 1000;
  configure();
  Caller caller(kPort);
  const auto upload = [&](std::size_t size) {
    caller.send_head("/safe/x", Caller::framing(size, chunked()));
    caller.send_body(std::string(size, 'x'), chunked());
    return status_of(caller.read_response());
  };
  EXPECT_EQ(upload(100), 200);
  m_limits.body_bytes = 100000;
  configure();
  EXPECT_EQ(upload(50000), 200);
  m_limits.body_bytes = 1000;
  configure();
  EXPECT_EQ(upload(50000), 413);
}

// Guards against a kept connection that is closed at an idle timeout that has been raised.
TEST_P(UploadTest, RaisedIdleTimeoutHoldsOnKeptConnections)
{
  add_server(kServe);
  m_limits.idle_timeout = milliseconds(300);
  configure();
  Caller caller(kPort);
  const auto serve = [&] {
    caller.send_head("/safe/x", Caller::framing(1, false));
    caller.send("x");
    return status_of(caller.read_response());
  };
  EXPECT_EQ(serve(), 200);
  m_limits.idle_timeout = milliseconds(5000);
  configure();
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(serve(), 200);
}

// A request that its server keeps without an answer; what the server's health checks say meanwhile
// differs.
class SilentServerTest : public GatewayTest
{
protected:
  // \param load_from_now_on called once the server has the request
  // \return the response status of an upload
  int upload_status(const std::function<void(ScriptedServer&)>& load_from_now_on,
                    const ScriptedServer::Script& script)
  {
    ScriptedServer& server = add_server([script](const ReceivedRequest& received) {
      return received.head.rfind("GET ", 0) == 0 ? kServe(received) : script(received);
    });
    configure();
    // Tells the gateway how soon a request is late.
    EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
    Caller caller(kPort);
    const std::string body(50000, 'x');
    caller.send_head("/once/x", Caller::framing(body.size(), false));
    caller.send_body(body, false);
    const TimePoint limit = Clock::now() + std::chrono::seconds(10);
    while (arrivals() < 2 && Clock::now() < limit) {
      std::this_thread::yield();
    }
    load_from_now_on(server);
    const int status = status_of(caller.read_response());
    EXPECT_EQ(arrivals(), 2U);
    return status;
  }
};

const auto kHang = [](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; };

// Guards against an upload that waits until its deadline for a server that has dropped it without
// an answer: the server reports that it has no request at all.
TEST_F(SilentServerTest, DroppedUploadIsAnswered)
{
  EXPECT_EQ(upload_status([](ScriptedServer&) {}, kHang), 502);
}

// Guards against a request that is broken off while its server reports that it is at work.
TEST_F(SilentServerTest, UploadOfABusyServerWaits)
{
  EXPECT_EQ(upload_status([](ScriptedServer& server) { server.report_full_load(1000); }, kHang),
            504);
}

// Guards against a request that is broken off although its server's health checks say nothing about
// its load.
TEST_F(SilentServerTest, UploadOfAServerWithoutLoadReportWaits)
{
  const auto hide_load = [](ScriptedServer& server) {
    server.answer_checks_with("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "");
  };
  EXPECT_EQ(upload_status(hide_load, kHang), 504);
}

// Guards against a response that is cut off while its body arrives slowly: its server has ended its
// work and reports that it has no request.
TEST_F(SilentServerTest, SlowResponseIsServed)
{
  const auto respond_slowly = [](const ReceivedRequest& received) {
    return ScriptedResponse{ .bytes = "HTTP/1.1 200 OK\r\n" + ScriptedServer::id_header(received) +
                                      "Transfer-Encoding: chunked\r\n\r\n",
                             .endless = "1\r\nx\r\n",
                             .pause = milliseconds(20) };
  };
  // The response has no end, so the deadline ends it.
  EXPECT_EQ(upload_status([](ScriptedServer&) {}, respond_slowly), 504);
}

// How a server ends an upload before it has read it.
struct EarlyEnd
{
  std::string name;
  // Headers of the refusal that describe its body.
  std::string headers;
  ScriptedResponse response;
  bool refuses = true;
};

std::ostream&
operator<<(std::ostream& stream, const EarlyEnd& end)
{
  return stream << end.name;
}

std::vector<EarlyEnd>
early_ends()
{
  const std::string no_body = "Content-Length: 0\r\n";
  return {
    { .name = "RefusedAndKept", .headers = no_body },
    { .name = "RefusedAndStalled", .headers = no_body, .response = { .stall = true } },
    { .name = "RefusedAndClosed", .headers = no_body, .response = { .close = true } },
    { .name = "RefusedWithoutTheBody",
      .headers = "Content-Length: 20\r\n",
      .response = { .stall = true } },
    { .name = "RefusedWithoutLength", .response = { .stall = true } },
    { .name = "RefusedInAChunkWithoutEnd",
      .headers = "Transfer-Encoding: chunked\r\n",
      .response = { .stall = true } },
    { .name = "Closed", .response = { .close = true }, .refuses = false },
    { .name = "Reset", .response = { .reset = true }, .refuses = false },
  };
}

// Ends uploads at the first server that they reach; on a slow link they are sent while they arrive.
class EarlyEndTest
  : public GatewayTest
  , public ::testing::WithParamInterface<std::tuple<EarlyEnd, bool>>
{
protected:
  EarlyEndTest()
    : GatewayTest(std::get<1>(GetParam()) ? 30 : 0)
  {
  }

  // \return the response status of an upload; the second server that gets it serves it
  int upload_status(std::size_t size)
  {
    const EarlyEnd& end = std::get<0>(GetParam());
    std::atomic<int> calls{ 0 };
    const auto script = [&](const ReceivedRequest& received) {
      if (++calls > 1) {
        return kServe(received);
      }
      ScriptedResponse response = end.response;
      if (end.refuses) {
        response.bytes = "HTTP/1.1 503 Full\r\n" + ScriptedServer::id_header(received) +
                         "Lovagehold-Not-Executed: 1\r\n" + end.headers + "\r\n";
      }
      return response;
    };
    add_server(script).respond_early();
    add_server(script).respond_early();
    configure();
    Caller caller(kPort);
    const std::string body(size, 'x');
    caller.send_head("/once/x", Caller::framing(size, false));
    std::thread sender([&] { caller.send_body(body, false); });
    const int status = status_of(caller.read_response());
    sender.join();
    m_servers.clear();
    return status;
  }
};

// Guards against an upload that waits until its deadline for a server that has refused it, and is
// then answered as if it might have run: another server could have served it.
TEST_P(EarlyEndTest, IsNoticedAtOnce)
{
  EXPECT_EQ(upload_status(200000), std::get<0>(GetParam()).refuses ? 200 : 502);
}

// Guards against the same for an upload that can't be sent again.
TEST_P(EarlyEndTest, IsNoticedAtOnceInAStreamedUpload)
{
  EXPECT_EQ(upload_status(kLongBytes), std::get<0>(GetParam()).refuses ? 503 : 502);
}

INSTANTIATE_TEST_SUITE_P(,
                         EarlyEndTest,
                         ::testing::Combine(::testing::ValuesIn(early_ends()), ::testing::Bool()),
                         [](const ::testing::TestParamInfo<std::tuple<EarlyEnd, bool>>& info) {
                           return std::get<0>(info.param).name +
                                  (std::get<1>(info.param) ? "OnASlowLink" : "");
                         });

INSTANTIATE_TEST_SUITE_P(,
                         UploadTest,
                         ::testing::Bool(),
                         [](const ::testing::TestParamInfo<bool>& info) {
                           return std::string(info.param ? "Chunked" : "WithLength");
                         });

} // namespace
} // namespace lovagehold
