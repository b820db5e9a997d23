#include "lovagehold/gateway.h"

#include "scripted_server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

std::string
text(const boost::asio::ip::tcp::endpoint& endpoint)
{
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A gateway with one service of scripted servers and a route for each kind of request.
class GatewayTest : public ::testing::Test
{
protected:
  static constexpr unsigned short kPort = 17410;

  explicit GatewayTest(double link_mbps = 0)
    : m_log({ .host = "gateway-test", .level = "error" })
    , m_gateway(m_context, make_options(link_mbps), m_log)
  {
    EXPECT_TRUE(m_gateway.start().has_value());
    m_thread = std::thread([this] {
      const auto guard = boost::asio::make_work_guard(m_context);
      m_context.run();
    });
  }

  ~GatewayTest() override
  {
    m_context.stop();
    m_thread.join();
  }

  static GatewayOptions make_options(double link_mbps)
  {
    GatewayOptions options{ .host = "h", .failure_domain = "a", .link_mbps = link_mbps };
    options.listen_address = text(test_endpoint(".8.1", kPort));
    options.headers = { .request_id = "Lovagehold-Request-Id",
                        .deadline = "Lovagehold-Deadline-Ms",
                        .expected_server = "Lovagehold-Expect-Instance",
                        .server_id = "Lovagehold-Instance-Id",
                        .not_executed = "Lovagehold-Not-Executed",
                        .load = "Lovagehold-Server-Load",
                        .parse_load = [](std::string_view text) {
                          return LoadReport{ .running = static_cast<unsigned>(text[0] - '0'),
                                             .slots = 3 };
                        } };
    return options;
  }

  // Runs on the gateway's thread and waits for it.
  void on_gateway(const std::function<void()>& function)
  {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  ScriptedServer& add_server(ScriptedServer::Script script)
  {
    const auto number = static_cast<int>(m_servers.size());
    const auto address = test_endpoint(".8.2", static_cast<unsigned short>(kPort + 1 + number));
    const std::string id = "i-" + std::to_string(number);
    m_servers.push_back(std::make_unique<ScriptedServer>(id, address, std::move(script)));
    m_infos.push_back({ .service = "desk",
                        .id = id,
                        .address = text(address),
                        .incarnation = 1,
                        .failure_domain = "a" });
    return *m_servers.back();
  }

  void configure(milliseconds timeout = milliseconds(3000),
                 milliseconds objective = milliseconds(2000),
                 unsigned max_attempts = 2)
  {
    const auto route = [&](const std::string& prefix, RouteKind kind) {
      return Route{ .name = prefix,
                    .path_prefix = prefix,
                    .kind = kind,
                    .targets = { { .service = "desk" } },
                    .timeout = timeout,
                    .target_latency = objective,
                    .max_attempts = max_attempts };
    };
    RoutingConfig config{ .version = 1 };
    config.hosts = { { .name = "a.example",
                       .routes = { route("/safe/", RouteKind::Idempotent),
                                   route("/once/", RouteKind::NonIdempotent) } } };
    config.services = { { .name = "desk", .health_path = "/health" } };
    on_gateway([&] {
      m_gateway.set_routing(config);
      m_gateway.set_servers(m_infos, Clock::now());
    });
  }

  static std::string request(const std::string& method,
                             const std::string& path,
                             const std::string& body = "")
  {
    const std::string length =
      body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id-1\r\n" +
           "Lovagehold-Deadline-Ms: 2500\r\n" + length + "Connection: close\r\n\r\n" + body;
  }

  static std::string send(const std::string& bytes)
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".8.1", kPort));
    set_read_timeout(socket);
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return read_to_close(socket).value_or("(not closed)");
  }

  std::size_t arrivals() const
  {
    std::size_t count = 0;
    for (const auto& server : m_servers) {
      count += server->requests().size();
    }
    return count;
  }

  // Callers that outlive the gateway.
  boost::asio::io_context m_caller_context;
  std::vector<TestSocket> m_callers;
  boost::asio::io_context m_context;
  EventLog m_log;
  Gateway m_gateway;
  std::thread m_thread;
  std::vector<std::unique_ptr<ScriptedServer>> m_servers;
  std::vector<ServerInfo> m_infos;
};

const auto kServe = [](const ReceivedRequest& request) {
  return ScriptedAnswer{ .bytes = ScriptedServer::response(request, "hello") };
};

const auto kShed = [](const ReceivedRequest&) {
  return ScriptedAnswer{
    .bytes = "HTTP/1.1 503 Full\r\nLovagehold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
  };
};

const auto kLoseAnswer = [](const ReceivedRequest&) { return ScriptedAnswer{ .reset = true }; };

// Guards against headers and bodies that are changed on the way.
TEST_F(GatewayTest, RequestAndResponsePassUnchanged)
{
  ScriptedServer& server = add_server(kServe);
  configure();
  const std::string response = send(request("POST", "/once/x?y=1", "body"));
  EXPECT_EQ(status_of(response), 200);
  EXPECT_NE(response.find("Lovagehold-Response-Seal: seal"), std::string::npos);
  EXPECT_EQ(response.substr(response.size() - 5), "hello");
  ASSERT_EQ(server.requests().size(), 1U);
  const ReceivedRequest received = server.requests()[0];
  EXPECT_EQ(received.head.rfind("POST /once/x?y=1 HTTP/1.1", 0), 0U);
  EXPECT_EQ(received.body, "body");
  EXPECT_EQ(received.header("Lovagehold-Request-Id"), "id-1");
  EXPECT_EQ(received.header("Lovagehold-Expect-Instance"), "i-0");
  EXPECT_LE(std::stoi(received.header("Lovagehold-Deadline-Ms")), 2500);
}

// Guards against a non-idempotent request that runs twice after its answer was lost, and against a
// promise that it did not run.
TEST_F(GatewayTest, LostAnswerOfANonIdempotentRequestIsNotRepeated)
{
  add_server(kLoseAnswer);
  add_server(kLoseAnswer);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against an idempotent request that fails although another server can run it.
TEST_F(GatewayTest, LostAnswerOfAnIdempotentRequestIsRepeated)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? kLoseAnswer(request) : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against a slow server that is waited for to the end: a hedge has to be sent also when the
// choice of the first server took a probe.
TEST_F(GatewayTest, LateIdempotentRequestIsSentToASecondServer)
{
  std::atomic<int> arrived{ 0 };
  const auto first_hangs = [&arrived](const ReceivedRequest& received) {
    return ++arrived == 1 ? ScriptedAnswer{ .hang = true }
                          : ScriptedAnswer{ .bytes = ScriptedServer::response(received, "x") };
  };
  add_server(first_hangs);
  add_server(first_hangs);
  configure(milliseconds(3000), milliseconds(200));
  EXPECT_NE(send(request("GET", "/safe/a")).find("200 OK"), std::string::npos);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against a busy loop of a request that is late but must not be hedged: processor time was
// three times as high on a quiet day. The bound is half of the time that the request waits.
TEST_F(GatewayTest, LateRequestWithoutHedgeWaitsIdle)
{
  add_server([](const ReceivedRequest&) { return ScriptedAnswer{ .hang = true }; });
  add_server([](const ReceivedRequest&) { return ScriptedAnswer{ .hang = true }; });
  configure(milliseconds(1000), milliseconds(40), 1);
  const auto processor_time = [this] {
    timespec time{};
    on_gateway([&] { ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time); });
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  };
  const auto before = processor_time();
  EXPECT_EQ(status_of(send(request("GET", "/safe/a"))), 504);
  EXPECT_LT(processor_time() - before, milliseconds(500));
}

// Guards against a refusal that is passed on while another server has room.
TEST_F(GatewayTest, RefusedRequestGoesToAnotherServer)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? kShed(request) : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against more servers than the route allows, and a refusal that does not say when to come
// back.
TEST_F(GatewayTest, FullServersGiveATrueRefusal)
{
  for (int i = 0; i < 3; ++i) {
    add_server(kShed);
  }
  configure();
  const std::string response = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(response), 503);
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against requests that queue at full servers, which makes all of them late, and against a
// refusal that does not say when to come back.
TEST_F(GatewayTest, RequestWithoutRoomIsRefusedUnrun)
{
  for (int i = 0; i < 2; ++i) {
    add_server(kServe).report_full(1000);
  }
  configure();
  for (const std::string& bytes :
       { request("POST", "/once/x", "body"), request("GET", "/safe/x") }) {
    const std::string response = send(bytes);
    EXPECT_EQ(status_of(response), 503);
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  }
  EXPECT_EQ(arrivals(), 0U);
}

// Guards against a refusal although a server becomes free in time.
TEST_F(GatewayTest, RequestWaitsForRoom)
{
  add_server(kServe).report_full(2);
  configure(milliseconds(3000), std::chrono::seconds(20));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
}

// Guards against a server's own 503 that is passed on as a promise that the request did not run.
TEST_F(GatewayTest, ServersFailureIsNoPromise)
{
  add_server([](const ReceivedRequest& request) {
    return ScriptedAnswer{ .bytes = "HTTP/1.1 503 Failed\r\nLovagehold-Request-Id: " +
                                    request.header("Lovagehold-Request-Id") +
                                    "\r\nContent-Length: 0\r\n\r\n" };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against a second response to an earlier request that is taken for this request's.
TEST_F(GatewayTest, ResponseOfAnotherRequestIsSkipped)
{
  add_server([](const ReceivedRequest& request) {
    return ScriptedAnswer{
      .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong" +
               ScriptedServer::response(request, "right")
    };
  });
  configure();
  const std::string response = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(response.substr(response.size() - 5), "right");
}

// Guards against a response cut short that looks complete.
TEST_F(GatewayTest, TruncatedResponseIsNotPassedOn)
{
  add_server([](const ReceivedRequest& request) {
    const std::string whole = ScriptedServer::response(request, "hello");
    return ScriptedAnswer{ .bytes = whole.substr(0, whole.size() - 2), .close = true };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
}

// Guards against responses without a length: whole ones that are lost, and reset ones that look
// complete.
TEST_F(GatewayTest, ResponseWithoutLengthEndsWithItsConnection)
{
  std::atomic<bool> reset{ false };
  add_server([&](const ReceivedRequest& request) {
    return ScriptedAnswer{ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: " +
                                    request.header("Lovagehold-Request-Id") + "\r\n\r\nhello",
                           .close = !reset,
                           .reset = reset };
  });
  configure();
  const std::string whole = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(whole), 200);
  EXPECT_EQ(whole.substr(whole.size() - 5), "hello");
  reset = true;
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
}

// Guards against requests that are held beyond their route's timeout.
TEST_F(GatewayTest, TimeoutOfTheRouteGivesAnAnswer)
{
  add_server([](const ReceivedRequest&) { return ScriptedAnswer{ .hang = true }; });
  configure(milliseconds(300));
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 504);
}

// Guards against servers that work for callers that have left.
TEST_F(GatewayTest, CallerThatLeavesCancelsItsRequest)
{
  ScriptedServer& server =
    add_server([](const ReceivedRequest&) { return ScriptedAnswer{ .hang = true }; });
  configure();
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".8.1", kPort));
    boost::asio::write(socket, boost::asio::buffer(request("GET", "/safe/x")));
    while (arrivals() == 0) {
      std::this_thread::yield();
    }
  }
  const TimePoint limit = Clock::now() + std::chrono::seconds(5);
  while (!server.saw_close() && Clock::now() < limit) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(server.saw_close());
}

// Guards against a server that took another one's address and runs its requests.
TEST_F(GatewayTest, ReplacedServerIsNotTriedAgain)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? ScriptedAnswer{ .bytes = "HTTP/1.1 421 Misdirected\r\n"
                                                   "Lovagehold-Instance-Id: other\r\n"
                                                   "Content-Length: 0\r\n\r\n" }
                        : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
}

// Guards against a final 404 from a host that knows no routes yet.
TEST_F(GatewayTest, UnknownRoutesAreToldFromAMissingConfiguration)
{
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 503);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/nothing/x"))), 404);
  const std::string unreached = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(unreached), 503);
  EXPECT_NE(unreached.find("Retry-After: "), std::string::npos);
}

// Guards against refusals of a host that has just started and is about to learn its configuration.
TEST_F(GatewayTest, RequestWaitsForTheFirstConfiguration)
{
  add_server(kServe);
  auto response = std::async(std::launch::async, [] { return send(request("GET", "/safe/x")); });
  std::uint64_t requests = 0;
  while (requests == 0) {
    on_gateway([&] { requests = m_gateway.counters().requests; });
  }
  configure();
  EXPECT_EQ(status_of(response.get()), 200);
}

// Guards against a crash at the end of a process in which requests wait for room: their coroutines
// are destroyed after what the gateway shares.
TEST_F(GatewayTest, EndsWhileRequestsWait)
{
  add_server(kServe).report_full(100000);
  configure(milliseconds(3000), std::chrono::seconds(20));
  for (int i = 0; i < 4; ++i) {
    m_callers.emplace_back(m_caller_context).connect(test_endpoint(".8.1", kPort));
    boost::asio::write(m_callers.back(), boost::asio::buffer(request("GET", "/safe/x")));
  }
  // Those that come while the first probe is under way may find room at the unknown server.
  const std::string none = "lovagehold_requests_waiting 0\n";
  std::string metrics = none;
  // The requests are refused at their deadline, which a delayed test may miss.
  const TimePoint limit = Clock::now() + std::chrono::seconds(2);
  while (metrics.find(none) != std::string::npos && Clock::now() < limit) {
    on_gateway([&] { metrics = m_gateway.render_metrics(); });
  }
}

// Guards against a stop that cuts requests, and against one that takes requests it can't end.
TEST_F(GatewayTest, ShutdownServesWhatItCanEnd)
{
  add_server(kServe);
  configure();
  on_gateway([&] { m_gateway.begin_shutdown(Clock::now() + std::chrono::seconds(60)); });
  const std::string served = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(served), 200);
  EXPECT_NE(served.find("Connection: close"), std::string::npos);
  on_gateway([&] { m_gateway.begin_shutdown(Clock::now() + milliseconds(100)); });
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 503);
  EXPECT_EQ(arrivals(), 1U);
}

// A link on which long bodies are read and sent in pieces.
class SlowLinkTest : public GatewayTest
{
protected:
  SlowLinkTest()
    : GatewayTest(30)
  {
  }
};

// Guards against bytes that are lost, doubled or reordered when a body is spread over time. The
// larger body is streamed, as it does not fit into the memory for one request.
TEST_F(SlowLinkTest, LongBodiesArriveWhole)
{
  add_server([](const ReceivedRequest& received) {
    return ScriptedAnswer{ .bytes = ScriptedServer::response(received, "stored") };
  });
  configure(milliseconds(20000), milliseconds(20000));
  for (const std::size_t size : { std::size_t{ 60000 }, std::size_t{ 1300000 } }) {
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
      body[i] = static_cast<char>('a' + i % 23);
    }
    EXPECT_NE(send(request("POST", "/once/a", body)).find("stored"), std::string::npos);
    EXPECT_TRUE(m_servers.front()->requests().back().body == body) << size;
  }
}

} // namespace
} // namespace lovagehold
