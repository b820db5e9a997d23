#include "gateway_fixture.h"
#include "server_notice.h"

#include <ctime>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

// Guards against changes to headers or bodies in transit.
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

// Guards against a non-idempotent request that is executed twice after its response was lost, and
// against a response that claims it was not executed.
TEST_F(GatewayTest, LostResponseOfANonIdempotentRequestIsNotRetried)
{
  add_server(kLoseResponse);
  add_server(kLoseResponse);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against an idempotent request that fails although another server could serve it.
TEST_F(GatewayTest, LostResponseOfAnIdempotentRequestIsRetried)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? kLoseResponse(request) : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against waiting for a stuck server until the deadline. A hedge must also be sent if a
// probe preceded the selection of the first server.
TEST_F(GatewayTest, LateIdempotentRequestIsHedged)
{
  std::atomic<int> arrived{ 0 };
  const auto first_hangs = [&arrived](const ReceivedRequest& received) {
    return ++arrived == 1 ? ScriptedResponse{ .hang = true }
                          : ScriptedResponse{ .bytes = ScriptedServer::response(received, "x") };
  };
  add_server(first_hangs);
  add_server(first_hangs);
  configure(milliseconds(3000), milliseconds(200));
  EXPECT_NE(send(request("GET", "/safe/a")).find("200 OK"), std::string::npos);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against a busy loop while a late request waits that must not be hedged; it tripled the
// processor time at low load. The bound is half of the time that the request waits.
TEST_F(GatewayTest, LateRequestWithoutHedgeDoesNotSpin)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
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

// Guards against forwarding a refusal although another server has free capacity.
TEST_F(GatewayTest, RefusedRequestGoesToAnotherServer)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? kRefuse(request) : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against more attempts than the route allows, and against a refusal without Retry-After.
TEST_F(GatewayTest, RequestIsRefusedAfterMaxAttempts)
{
  for (int i = 0; i < 3; ++i) {
    add_server(kRefuse);
  }
  configure();
  const std::string response = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(response), 503);
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(arrivals(), 2U);
}

// Guards against queueing requests at full servers, which makes all of them late, and against a
// refusal without Retry-After.
TEST_F(GatewayTest, RequestIsRefusedIfAllServersAreFull)
{
  for (int i = 0; i < 2; ++i) {
    add_server(kServe).report_full_load(1000);
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

// Guards against refusing a request although a server gets free capacity in time.
TEST_F(GatewayTest, RequestWaitsForCapacity)
{
  add_server(kServe).report_full_load(2);
  configure(milliseconds(3000), std::chrono::seconds(20));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
}

// Guards against forwarding a server's own 503, which callers would take as a statement that the
// request was not executed.
TEST_F(GatewayTest, Server503IsNotForwarded)
{
  add_server([](const ReceivedRequest& request) {
    return ScriptedResponse{ .bytes = "HTTP/1.1 503 Failed\r\nLovagehold-Request-Id: " +
                                      request.header("Lovagehold-Request-Id") +
                                      "\r\nContent-Length: 0\r\n\r\n" };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against taking a duplicate response to an earlier request for the response to the current
// one.
TEST_F(GatewayTest, ResponseToAnotherRequestIsDiscarded)
{
  add_server([](const ReceivedRequest& request) {
    return ScriptedResponse{
      .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong" +
               ScriptedServer::response(request, "right")
    };
  });
  configure();
  const std::string response = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(response.substr(response.size() - 5), "right");
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the
// answer to a request which the server runs: its caller would be told that it has not run, or it
// would run at a second server.
TEST_F(GatewayTest, RepeatedRefusalOnAKeptConnectionIsNotTrusted)
{
  const std::string refusal =
    "HTTP/1.1 503 Full\r\nLovagehold-Not-Executed: 1\r\nRetry-After: 0\r\n"
    "Content-Length: 0\r\n\r\n";
  for (int i = 0; i < 2; ++i) {
    add_server([refusal](const ReceivedRequest& received) {
      const std::string answer = ScriptedServer::response(received, "hello");
      return ScriptedResponse{ .bytes = received.earlier > 0 ? refusal + answer : answer };
    });
  }
  configure();
  for (int i = 0; i < 6; ++i) {
    const std::size_t before = arrivals();
    EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
    EXPECT_EQ(arrivals(), before + 1);
  }
}

// Guards against a refusal without an id that is no longer believed on a new connection, where it
// can belong to no other request.
TEST_F(GatewayTest, RefusalWithoutIdOnANewConnectionIsTrusted)
{
  m_health_path.clear();
  add_server([](const ReceivedRequest&) {
    return ScriptedResponse{
      .bytes = "HTTP/1.1 503 Full\r\nLovagehold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 503);
}

// Guards against a response whose head is cut off and that reaches the caller as a success with an
// empty or short body.
TEST_F(GatewayTest, ResponseWithACutHeadIsNotForwarded)
{
  std::atomic<std::size_t> cut{ 0 };
  add_server([&cut](const ReceivedRequest& received) {
    return ScriptedResponse{ .bytes = ScriptedServer::response(received, "hello").substr(0, cut),
                             .close = true };
  });
  configure();
  const std::string whole =
    ScriptedServer::response({ .head = "\r\nLovagehold-Request-Id: id-1\r\n" }, "hello");
  for (cut = 0; cut < whole.size(); ++cut) {
    // A new incarnation has no failures that would keep requests from it.
    ++m_server_infos.front().incarnation;
    on_gateway([&] { m_gateway.set_servers(m_server_infos, Clock::now()); });
    EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502) << cut;
  }
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
}

// Guards against a truncated response that looks complete to the caller.
TEST_F(GatewayTest, TruncatedResponseIsNotForwarded)
{
  add_server([](const ReceivedRequest& request) {
    const std::string response = ScriptedServer::response(request, "hello");
    return ScriptedResponse{ .bytes = response.substr(0, response.size() - 2), .close = true };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
}

// Guards against losing a complete response without a length, and against forwarding one that was
// cut off by a reset as complete.
TEST_F(GatewayTest, ResponseWithoutLengthEndsAtConnectionClose)
{
  std::atomic<bool> reset{ false };
  add_server([&](const ReceivedRequest& request) {
    return ScriptedResponse{ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: " +
                                      request.header("Lovagehold-Request-Id") + "\r\n\r\nhello",
                             .close = !reset,
                             .reset = reset };
  });
  configure();
  const std::string response = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(response.substr(response.size() - 5), "hello");
  reset = true;
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 502);
}

// Guards against requests that stay open beyond the timeout of their route.
TEST_F(GatewayTest, RouteTimeoutIsEnforced)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
  configure(milliseconds(300));
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 504);
}

// Guards against servers that keep working for callers that have disconnected.
TEST_F(GatewayTest, DisconnectedCallerCancelsItsRequest)
{
  ScriptedServer& server =
    add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
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
  while (!server.peer_closed() && Clock::now() < limit) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(server.peer_closed());
}

// Guards against failing a request, or executing it at the wrong server, if another server has
// taken over the address of the selected one.
TEST_F(GatewayTest, ReplacedServerIsNotRetried)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& request) {
    return ++calls == 1 ? ScriptedResponse{ .bytes = "HTTP/1.1 421 Misdirected\r\n" +
                                                     ScriptedServer::id_header(request) +
                                                     "Lovagehold-Instance-Id: other\r\n"
                                                     "Content-Length: 0\r\n\r\n" }
                        : kServe(request);
  };
  add_server(script);
  add_server(script);
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
}

// Guards against a 404, which callers take as final, from a host that has no routing configuration
// yet.
TEST_F(GatewayTest, UnknownRouteDiffersFromMissingConfiguration)
{
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 503);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/nothing/x"))), 404);
  const std::string unreached = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(unreached), 503);
  EXPECT_NE(unreached.find("Retry-After: "), std::string::npos);
}

// Guards against refusals by a host that has just started and is about to receive its
// configuration.
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

// Guards against a crash at process exit while requests wait for free capacity: their coroutines
// are destroyed after the gateway's shared state.
TEST_F(GatewayTest, GatewayIsDestroyedWhileRequestsWait)
{
  add_server(kServe).report_full_load(100000);
  configure(milliseconds(3000), std::chrono::seconds(20));
  for (int i = 0; i < 4; ++i) {
    m_callers.emplace_back(m_caller_context).connect(test_endpoint(".8.1", kPort));
    boost::asio::write(m_callers.back(), boost::asio::buffer(request("GET", "/safe/x")));
  }
  // Requests that arrive before the first probe has ended may be forwarded, as nothing is known
  // about the server yet.
  const std::string none_waiting = "lovagehold_requests_waiting 0\n";
  std::string metrics = none_waiting;
  // The test does not fail at the limit: the requests are refused at their deadline, which a
  // delayed test may miss.
  const TimePoint limit = Clock::now() + std::chrono::seconds(2);
  while (metrics.find(none_waiting) != std::string::npos && Clock::now() < limit) {
    on_gateway([&] { metrics = m_gateway.render_metrics(); });
  }
}

// Guards against a shutdown that interrupts requests, and against one that accepts requests which
// cannot finish in time.
TEST_F(GatewayTest, ShutdownServesRequestsThatCanFinish)
{
  add_server(kServe);
  configure();
  on_gateway(
    [&] { m_gateway.begin_shutdown(Clock::now() + std::chrono::seconds(60), Clock::now()); });
  const std::string served = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(served), 200);
  EXPECT_NE(served.find("Connection: close"), std::string::npos);
  on_gateway([&] { m_gateway.begin_shutdown(Clock::now() + milliseconds(100), Clock::now()); });
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 503);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against a request that is accepted late in a planned stop and is cut off without an answer
// when the process ends: one that may not be repeated must be able to use its whole time.
TEST_F(GatewayTest, ShutdownRefusesRequestsThatMayOutliveIt)
{
  add_server(kServe);
  configure(milliseconds(2000), milliseconds(300));
  on_gateway([&] { m_gateway.begin_shutdown(Clock::now() + milliseconds(1500), Clock::now()); });
  const std::string refused = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(refused), 503);
  EXPECT_NE(refused.find("Retry-After"), std::string::npos);
  EXPECT_EQ(arrivals(), 0U);
  // Early in the shutdown an idempotent request may hope to end in time.
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  on_gateway([&] { m_gateway.begin_shutdown(Clock::now() + milliseconds(2400), Clock::now()); });
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
}

// Guards against a disconnect that goes unnoticed because bytes of the next request precede it: the
// server would go on working for nobody.
TEST_F(GatewayTest, DisconnectIsNoticedBehindAPipelinedRequest)
{
  ScriptedServer& server =
    add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
  configure(std::chrono::seconds(8));
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".8.1", kPort));
    const std::string get =
      "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id-1\r\n"
      "Lovagehold-Deadline-Ms: 7000\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(get));
    while (arrivals() == 0) {
      std::this_thread::yield();
    }
    boost::asio::write(socket, boost::asio::buffer(get));
  }
  const TimePoint limit = Clock::now() + std::chrono::seconds(5);
  while (!server.peer_closed() && Clock::now() < limit) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(server.peer_closed());
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against requests that reach a server after their callers have left: a busy host read the
// request and the end of the connection at the same time, and noticed the end later.
TEST_F(GatewayTest, RequestOfACallerThatLeftWhileItWasUnreadIsNotSent)
{
  constexpr unsigned kCallers = 20;
  add_server(kServe);
  // Without health checks, nothing delays the selection of a server.
  m_health_path.clear();
  configure();
  ASSERT_NE(send(request("GET", "/safe/warm-up")).find("200 OK"), std::string::npos);
  boost::asio::io_context context;
  std::vector<TestSocket> callers;
  for (unsigned i = 0; i < kCallers; ++i) {
    callers.emplace_back(context);
    callers.back().connect(test_endpoint(".8.1", kPort));
  }
  const auto await_connections = [this](std::size_t count) {
    const TimePoint limit = Clock::now() + std::chrono::seconds(10);
    for (std::size_t open = count + 1; open != count && Clock::now() < limit;) {
      on_gateway([&] { open = m_gateway.connections(); });
    }
  };
  await_connections(kCallers);
  // The gateway's thread can't read meanwhile.
  on_gateway([&] {
    for (TestSocket& caller : callers) {
      boost::asio::write(caller, boost::asio::buffer(request("GET", "/safe/left")));
      caller.close();
    }
  });
  await_connections(0);
  EXPECT_EQ(arrivals(), 1U);
}

// Guards against responses to pipelined requests that are lost or in another order, and against
// forwarding what was sent behind a response that closes the connection.
TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInOrder)
{
  ScriptedServer& server = add_server([](const ReceivedRequest& received) {
    return ScriptedResponse{ .bytes = ScriptedServer::response(
                               received, received.head.substr(0, received.head.find(" HTTP"))) };
  });
  configure();
  const auto get = [](const std::string& path, bool close) {
    return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id" + path +
           "\r\n" + (close ? "Connection: close\r\n" : "") + "\r\n";
  };
  const std::string responses = send(get("/safe/1", false) + get("/safe/2", false) +
                                     get("/safe/3", true) + get("/safe/4", false));
  const std::size_t first = responses.find("GET /safe/1");
  const std::size_t second = responses.find("GET /safe/2");
  const std::size_t third = responses.find("GET /safe/3");
  ASSERT_NE(third, std::string::npos) << responses;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_EQ(responses.find("GET /safe/4"), std::string::npos);
  EXPECT_EQ(server.requests().size(), 3U);
}

// Guards against a request that is sent to a server after the server said in a response that it is
// leaving, and against delaying the refusal if no other server is left.
TEST_F(GatewayTest, LeavingServerGetsNoFurtherRequest)
{
  add_server([](const ReceivedRequest& received) {
    std::string response = ScriptedServer::response(received, "hello");
    return ScriptedResponse{ .bytes =
                               response.insert(response.find("\r\n"), "\r\nServer-Leaving: 1") };
  });
  configure(std::chrono::seconds(30), std::chrono::seconds(20));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  const unsigned checks = m_servers.front()->checks();
  for (int i = 0; i < 3; ++i) {
    // The same incarnation is listed again.
    on_gateway([&] { m_gateway.set_servers(m_server_infos, Clock::now()); });
    const TimePoint sent = Clock::now();
    EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 503);
    // A request waits for capacity for an eighth of the target latency.
    EXPECT_LT(Clock::now() - sent, milliseconds(2500));
  }
  EXPECT_EQ(arrivals(), 1U);
  EXPECT_EQ(m_servers.front()->checks(), checks);
  m_server_infos.front().incarnation = 2;
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
}

// Guards against ignoring the mark in the response to a health check.
TEST_F(GatewayTest, ServerThatLeavesInItsHealthCheckGetsNoRequest)
{
  add_server(kServe).leave();
  add_server(kServe);
  configure();
  // A server that has not been probed yet may get the first request.
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  const std::size_t before = m_servers[0]->requests().size();
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  }
  EXPECT_EQ(m_servers[0]->requests().size(), before);
}

// Guards against requests and health checks to a server that asked for a pause, and against a
// refusal that names an earlier time to return than the server did.
TEST_F(GatewayTest, PausedServerGetsNothingUntilThePauseEnds)
{
  add_server([](const ReceivedRequest& received) {
    return ScriptedResponse{ .bytes = "HTTP/1.1 503 Full\r\n" +
                                      ScriptedServer::id_header(received) +
                                      "Lovagehold-Not-Executed: 1\r\n"
                                      "Retry-After: 30.5\r\nContent-Length: 0\r\n\r\n" };
  });
  configure();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 503);
  const unsigned checks = m_servers.front()->checks();
  const std::string refused = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(refused), 503);
  const std::size_t retry_after = refused.find("Retry-After: ");
  ASSERT_NE(retry_after, std::string::npos);
  EXPECT_GT(std::stod(refused.substr(retry_after + 13)), 20);
  EXPECT_EQ(arrivals(), 1U);
  EXPECT_EQ(m_servers.front()->checks(), checks);
}

// Guards against requests that reach a limited server without a permit, and against a refusal that
// does not say when to come back.
TEST_F(GatewayTest, LimitedServerGetsOnlyPermittedRequests)
{
  add_server([](const ReceivedRequest& received) {
    std::string response = ScriptedServer::response(received, "hello");
    response.insert(response.find("Content-Length"), "Server-Limit: 2.5\r\n");
    return ScriptedResponse{ .bytes = response };
  }).name_limit("2.5");
  configure();
  m_permits = 2;
  int served = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string response = send(request("GET", "/safe/x"));
    served += response.find("200 OK") != std::string::npos ? 1 : 0;
    if (i == 2) {
      EXPECT_NE(response.find("503"), std::string::npos);
      const std::size_t retry_after = response.find("Retry-After: ");
      ASSERT_NE(retry_after, std::string::npos);
      EXPECT_GE(std::stod(response.substr(retry_after + 13)), 0.3);
    }
  }
  EXPECT_EQ(served, 2);
  EXPECT_EQ(arrivals(), 2U);
  // After the denial, no permit is asked for until the time that the limiter named.
  EXPECT_EQ(m_permit_queries, 3);
}

// Guards against callers that are refused because a server is limited while others have room.
TEST_F(GatewayTest, UnlimitedServerTakesWhatALimitedOneMayNot)
{
  ScriptedServer& limited = add_server(kServe);
  limited.name_limit("0");
  ScriptedServer& unlimited = add_server(kServe);
  configure();
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(send(request("GET", "/safe/x")).find("200 OK"), std::string::npos);
  }
  EXPECT_EQ(limited.requests().size(), 0U);
  EXPECT_EQ(unlimited.requests().size(), 5U);
}

// Guards against a hedge or a retry that reaches a limited server without a permit.
TEST_F(GatewayTest, RetryAtALimitedServerNeedsAPermit)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .close = true }; });
  ScriptedServer& limited = add_server(kServe);
  limited.name_limit("1");
  configure();
  EXPECT_NE(send(request("GET", "/safe/x")).find("502"), std::string::npos);
  EXPECT_EQ(limited.requests().size(), 0U);
}

// Guards against a limit that stays in force after the server has stopped to name it.
TEST_F(GatewayTest, LimitEndsWithTheAnswersThatNameIt)
{
  ScriptedServer& server = add_server(kServe);
  server.name_limit("1");
  configure();
  EXPECT_NE(send(request("GET", "/safe/x")).find("503"), std::string::npos);
  server.name_limit("");
  std::string response;
  const TimePoint end = Clock::now() + std::chrono::seconds(30);
  while (response.find("200 OK") == std::string::npos && Clock::now() < end) {
    response = send(request("GET", "/safe/x"));
  }
  EXPECT_NE(response.find("200 OK"), std::string::npos) << response;
}

// Guards against a request that crashes server after server, and against a response that denies
// that it has run.
TEST_F(GatewayTest, RequestThatCrashesItsServersIsQuarantined)
{
  for (int i = 0; i < 5; ++i) {
    add_server([](const ReceivedRequest& received) {
      const bool deadly = received.head.find("/safe/deadly") != std::string::npos;
      return deadly ? ScriptedResponse{ .crash = true } : kServe(received);
    });
  }
  configure();
  std::vector<CrashEvidence> reported;
  on_gateway([&] { m_on_crash_evidence = [&](const auto& item) { reported.push_back(item); }; });
  std::string response;
  for (int i = 0; i < 4; ++i) {
    response = send(request("GET", "/safe/deadly"));
    EXPECT_NE(response.find("502"), std::string::npos);
    // Crashes that overlap within 5 ms would count once.
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_NE(response.find("quarantined"), std::string::npos);
  EXPECT_EQ(response.find("Retry-After"), std::string::npos);
  EXPECT_EQ(arrivals(), 3U);
  EXPECT_NE(send(request("GET", "/safe/other")).find("200 OK"), std::string::npos);
  on_gateway([&] { m_on_crash_evidence = nullptr; });
  ASSERT_EQ(reported.size(), 3U);
  EXPECT_EQ(reported.back().crashes.size(), 3U);
}

// Guards against a request that crashes further servers at a host that has not seen it before.
TEST_F(GatewayTest, EvidenceOfOtherHostsQuarantinesARequest)
{
  add_server(kServe);
  configure();
  CrashEvidence evidence{ .request = fingerprint_of(
                            { .method = "GET", .host = "a.example", .target = "/safe/deadly" }),
                          .service = "desk" };
  for (unsigned i = 0; i < 3; ++i) {
    evidence.crashes.push_back({ .server = i,
                                 .sent = milliseconds(1000 - 100 * i),
                                 .crashed = milliseconds(950 - 100 * i) });
  }
  on_gateway([&] { m_gateway.add_crash_evidence({ evidence }, Clock::now()); });
  EXPECT_NE(send(request("GET", "/safe/deadly")).find("quarantined"), std::string::npos);
  EXPECT_EQ(arrivals(), 0U);
  evidence.cleared = milliseconds(0);
  on_gateway([&] { m_gateway.add_crash_evidence({ evidence }, Clock::now()); });
  EXPECT_NE(send(request("GET", "/safe/deadly")).find("200 OK"), std::string::npos);
}

// Guards against a closed connection that is taken for a crash: the request beside it would become
// a suspect.
TEST_F(GatewayTest, ClosedConnectionIsNoCrash)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .reset = true }; });
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .close = true }; });
  configure();
  for (int i = 0; i < 4; ++i) {
    const std::string response = send(request("GET", "/safe/x"));
    EXPECT_EQ(response.find("quarantined"), std::string::npos);
  }
  on_gateway([&] { EXPECT_EQ(m_gateway.counters().server_crashes, 0U); });
}

// Guards against misreading Retry-After of a server.
TEST(ServerNotice, RetryAfterIsParsed)
{
  EXPECT_EQ(parse_retry_after("2"), std::chrono::seconds(2));
  EXPECT_EQ(parse_retry_after(" 0.25 "), milliseconds(250));
  EXPECT_EQ(parse_retry_after("0"), Duration::zero());
  EXPECT_EQ(parse_retry_after("1e300"), std::chrono::hours(24));
  EXPECT_EQ(parse_retry_after("1e999"), std::chrono::hours(24));
  for (const char* unreadable : { "", "-1", "-1e999", "nan", "inf", "2 s", "soon", "1,5" }) {
    EXPECT_EQ(parse_retry_after(unreadable), std::nullopt) << unreadable;
  }
}

// Guards against misreading the request limit of a server.
TEST(ServerNotice, RequestLimitIsParsed)
{
  EXPECT_EQ(parse_limit("2.5"), 2.5);
  EXPECT_EQ(parse_limit(" 3 "), 3);
  EXPECT_EQ(parse_limit("0"), 0);
  EXPECT_EQ(parse_limit("1e300"), parse_limit("1e999"));
  for (const char* unreadable : { "", "-1", "-1e999", "nan", "inf", "2 /s", "none", "1,5" }) {
    EXPECT_EQ(parse_limit(unreadable), std::nullopt) << unreadable;
  }
}

// Guards against a limit that outlives the answers that name it, and against an unreadable value
// or a misdirected request that ends a limit.
TEST(ServerNotice, RequestLimitEndsWithTheFirstAnswerWithoutIt)
{
  const GatewayHeaders names{ .leaving = "Server-Leaving", .limit = "Server-Limit" };
  const auto read = [&](unsigned status, const char* limit) {
    http::response_header<> header;
    header.result(status);
    if (limit != nullptr) {
      header.set("Server-Limit", limit);
    }
    return read_notice(header, names);
  };
  EXPECT_EQ(read(200, "1.5").limit, 1.5);
  EXPECT_TRUE(read(503, "1.5").states_limit);
  EXPECT_TRUE(read(200, nullptr).states_limit);
  EXPECT_EQ(read(200, nullptr).limit, std::nullopt);
  EXPECT_FALSE(read(200, "odd").states_limit);
  EXPECT_FALSE(read(421, nullptr).states_limit);
}

// A server that sends bytes without end.
class EndlessResponseTest : public GatewayTest
{
protected:
  // The response must end in time, must not be a complete success, and the connection to the server
  // must be closed.
  void expect_bounded(const ScriptedResponse& response)
  {
    add_server([response](const ReceivedRequest& received) {
      ScriptedResponse endless = response;
      const std::size_t id = endless.bytes.find("ID");
      if (id != std::string::npos) {
        endless.bytes.replace(id, 2, received.header("Lovagehold-Request-Id"));
      }
      return endless;
    });
    configure(milliseconds(1000));
    const std::string received = send(request("POST", "/once/x", "body"));
    const bool whole = received.find("200 OK") != std::string::npos && received.size() >= 5 &&
                       received.substr(received.size() - 5) == "0\r\n\r\n";
    EXPECT_FALSE(whole) << received.substr(0, 200);
    EXPECT_NE(received, "(not closed)");
    if (received.find("200 OK") == std::string::npos) {
      EXPECT_TRUE(status_of(received) == 502 || status_of(received) == 504) << received;
    }
    const TimePoint limit = Clock::now() + std::chrono::seconds(5);
    while (!m_servers.front()->peer_closed() && Clock::now() < limit) {
      std::this_thread::yield();
    }
    EXPECT_TRUE(m_servers.front()->peer_closed());
  }
};

// Guards against collecting a header without end.
TEST_F(EndlessResponseTest, Header)
{
  expect_bounded({ .bytes = "HTTP/1.1 200 OK\r\n", .endless = "X-Noise: 0123456789\r\n" });
}

// Guards against waiting for a header without end that arrives slowly.
TEST_F(EndlessResponseTest, SlowHeader)
{
  expect_bounded(
    { .bytes = "HTTP/1.1 200 OK\r\nX-Noise: ", .endless = "x", .pause = milliseconds(20) });
}

// Guards against reading bytes that are no response.
TEST_F(EndlessResponseTest, Noise)
{
  expect_bounded({ .endless = std::string(1000, '\x07') });
}

// Guards against skipping interim responses without end.
TEST_F(EndlessResponseTest, InterimResponses)
{
  expect_bounded({ .endless = "HTTP/1.1 102 Processing\r\n\r\n" });
}

// Guards against discarding the body of a response to another request without end.
TEST_F(EndlessResponseTest, BodyOfAnotherResponse)
{
  expect_bounded({ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: other\r\n\r\n",
                   .endless = std::string(1000, 'x') });
}

// Guards against collecting a body without length and end, and against passing it on for longer
// than the caller waits.
TEST_F(EndlessResponseTest, BodyWithoutLength)
{
  expect_bounded({ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: ID\r\n\r\n",
                   .endless = std::string(1000, 'x'),
                   .pause = milliseconds(1) });
}

// Guards against a body without length and end that arrives too slowly to be passed on.
TEST_F(EndlessResponseTest, SlowBody)
{
  expect_bounded({ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: ID\r\n\r\n",
                   .endless = "x",
                   .pause = milliseconds(20) });
}

// Guards against a chunked body without end.
TEST_F(EndlessResponseTest, ChunkedBody)
{
  expect_bounded({ .bytes = "HTTP/1.1 200 OK\r\nLovagehold-Request-Id: ID\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                   .endless = "5\r\nhello\r\n",
                   .pause = milliseconds(1) });
}

// A gateway on a slow link, which reads and sends long bodies in pieces.
class SlowLinkTest : public GatewayTest
{
protected:
  SlowLinkTest()
    : GatewayTest(30)
  {
  }
};

// Guards against lost, duplicated or reordered bytes when a body is paced. The larger body does not
// fit into the buffer of one request and is streamed.
TEST_F(SlowLinkTest, LongBodiesArriveComplete)
{
  add_server([](const ReceivedRequest& received) {
    return ScriptedResponse{ .bytes = ScriptedServer::response(received, "stored") };
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

// Guards against sending a part of a body that is still arriving to the second server, after the
// first one has refused the request.
TEST_F(SlowLinkTest, RefusedUploadIsSentWholeToAnotherServer)
{
  std::atomic<int> calls{ 0 };
  const auto script = [&](const ReceivedRequest& received) {
    return ++calls == 1 ? kRefuse(received) : kServe(received);
  };
  add_server(script).respond_early();
  add_server(script);
  configure(milliseconds(20000), milliseconds(20000));
  const std::string body(200000, 'x');
  // The server that answers early may be asked second; its answer is a success then.
  EXPECT_EQ(status_of(send(request("POST", "/once/a", body))), 200);
  EXPECT_GE(arrivals(), 1U);
  if (calls == 2) {
    for (const auto& server : m_servers) {
      for (const ReceivedRequest& received : server->requests()) {
        EXPECT_TRUE(received.body.empty() || received.body == body);
      }
    }
  }
}

// Guards against a response that is lost because the server sent it before the whole body had
// arrived, and against bytes of the body that are taken for the next request.
TEST_F(SlowLinkTest, EarlyResponseReachesACallerThatIsStillSending)
{
  add_server(kServe).respond_early();
  configure(milliseconds(20000), milliseconds(20000));
  const std::string body(200000, 'x');
  const std::string bytes = request("POST", "/once/a", body);
  boost::asio::io_context context;
  TestSocket socket(context);
  socket.connect(test_endpoint(".8.1", kPort));
  set_read_timeout(socket);
  boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, bytes.size() - 100000)));
  std::string received(15, '\0');
  boost::asio::read(socket, boost::asio::buffer(received));
  EXPECT_EQ(received, "HTTP/1.1 200 OK");
  boost::asio::write(socket, boost::asio::buffer(bytes.substr(bytes.size() - 100000)));
  const std::string rest = read_to_close(socket).value_or("(not closed)");
  EXPECT_EQ(rest.substr(rest.size() - 5), "hello");
  EXPECT_EQ(rest.find("HTTP/1.1"), std::string::npos);
}

// Guards against a request that is executed with a part of its body after its caller has left.
TEST_F(SlowLinkTest, UploadOfACallerThatLeavesIsNotCompleted)
{
  add_server(kServe);
  configure(milliseconds(20000), milliseconds(20000));
  const std::string bytes = request("POST", "/once/a", std::string(200000, 'x'));
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".8.1", kPort));
    boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, bytes.size() - 100000)));
  }
  std::uint64_t abandoned = 0;
  const TimePoint limit = Clock::now() + std::chrono::seconds(10);
  while (abandoned == 0 && Clock::now() < limit) {
    on_gateway([&] { abandoned = m_gateway.counters().abandoned; });
  }
  EXPECT_EQ(abandoned, 1U);
  for (const ReceivedRequest& received : m_servers.front()->requests()) {
    EXPECT_LT(received.body.size(), 200000U);
  }
}

} // namespace
} // namespace lovagehold
