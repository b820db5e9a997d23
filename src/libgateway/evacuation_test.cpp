#include "gateway_fixture.h"

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

const auto kHang = [](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; };

// Servers in the failure domains "a", which is that of the gateway, and "b".
class EvacuationTest : public GatewayTest
{
protected:
  ScriptedServer& add_server_in(const std::string& domain, ScriptedServer::Script script)
  {
    ScriptedServer& server = add_server(std::move(script));
    m_server_infos.back().failure_domain = domain;
    return server;
  }

  void evacuate(const std::set<std::string>& domains)
  {
    on_gateway([&] { m_gateway.set_evacuated(domains, Clock::now()); });
  }

  // Calls \p function while a request is being served. \return the response
  std::string send_and_meanwhile(const std::string& bytes, const std::function<void()>& function)
  {
    std::future<std::string> response =
      std::async(std::launch::async, [bytes] { return send(bytes); });
    std::this_thread::sleep_for(milliseconds(60));
    function();
    return response.get();
  }
};

// Guards against requests and health checks to an evacuated failure domain, for services that are
// configured before and after the order, and against one that lasts after its withdrawal.
TEST_F(EvacuationTest, EvacuatedDomainGetsNothing)
{
  ScriptedServer& near = add_server_in("a", kServe);
  ScriptedServer& far = add_server_in("b", kServe);
  evacuate({ "a" });
  configure();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
  }
  EXPECT_EQ(near.requests().size(), 0U);
  EXPECT_EQ(near.checks(), 0U);
  EXPECT_EQ(far.requests().size(), 5U);
  evacuate({ "b" });
  const unsigned checks = far.checks();
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
  EXPECT_EQ(near.requests().size(), 1U);
  EXPECT_EQ(far.checks(), checks);
}

// Guards against requests that wait until their deadline although no server is left, also if one of
// the evacuated servers names a request limit.
TEST_F(EvacuationTest, RequestIsRefusedAtOnceIfAllDomainsAreEvacuated)
{
  add_server_in("a", kServe);
  add_server_in("b", kServe).name_limit("5");
  // Without the evacuation a request may wait for 2.5 s.
  configure(milliseconds(3000), milliseconds(20000));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  const std::size_t before = arrivals();
  evacuate({ "a", "b" });
  const TimePoint begin = Clock::now();
  const std::string response = send(request("GET", "/safe/x"));
  EXPECT_LT(Clock::now() - begin, milliseconds(1000));
  EXPECT_EQ(status_of(response), 503);
  EXPECT_NE(response.find("\r\nRetry-After: "), std::string::npos);
  EXPECT_EQ(arrivals(), before);
}

// Guards against a waiting request that is sent to a server of the domain once that has a free
// slot, and against one that goes on waiting while another domain has one.
TEST_F(EvacuationTest, WaitingRequestGoesElsewhere)
{
  ScriptedServer& near = add_server_in("a", kServe);
  near.report_full_load(1000);
  ScriptedServer& far = add_server_in("b", kServe);
  configure(milliseconds(3000), milliseconds(2500));
  evacuate({ "b" });
  const std::string response = send_and_meanwhile(request("POST", "/once/x", "body"), [&] {
    evacuate({ "a" });
    near.report_full_load(0);
  });
  EXPECT_EQ(status_of(response), 200);
  EXPECT_EQ(near.requests().size(), 0U);
  EXPECT_EQ(far.requests().size(), 1U);
}

// Guards against waiting requests that are refused only when their time is over.
TEST_F(EvacuationTest, WaitingRequestsAreRefusedAtOnceIfNoDomainIsLeft)
{
  add_server_in("a", kServe).report_full_load(1000);
  configure(milliseconds(3000), milliseconds(20000));
  std::vector<std::future<std::string>> responses;
  for (int i = 0; i < 3; ++i) {
    responses.push_back(
      std::async(std::launch::async, [] { return send(request("GET", "/safe/x")); }));
    // Until the first load report the server counts as idle.
    std::this_thread::sleep_for(milliseconds(60));
  }
  evacuate({ "a" });
  const TimePoint evacuated = Clock::now();
  for (auto& response : responses) {
    EXPECT_EQ(status_of(response.get()), 503);
  }
  EXPECT_LT(Clock::now() - evacuated, milliseconds(1000));
  EXPECT_EQ(arrivals(), 0U);
}

// Guards against a retry at a server of the domain in which the first attempt failed.
TEST_F(EvacuationTest, RetryLeavesTheEvacuatedDomain)
{
  const auto lose_and_evacuate = [this](const ReceivedRequest& received) {
    evacuate({ "a" });
    return kLoseResponse(received);
  };
  add_server_in("a", lose_and_evacuate);
  add_server_in("a", lose_and_evacuate);
  ScriptedServer& far = add_server_in("b", kServe);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(arrivals(), 2U);
  EXPECT_EQ(far.requests().size(), 1U);
}

// Guards against a hedge to the evacuated domain, and against an evacuation that ends the attempt
// that is running there.
TEST_F(EvacuationTest, HedgeLeavesTheEvacuatedDomain)
{
  std::atomic<int> arrived{ 0 };
  const auto evacuate_and_hang = [&](const ReceivedRequest& received) {
    ++arrived;
    evacuate({ "a" });
    return kHang(received);
  };
  add_server_in("a", evacuate_and_hang);
  add_server_in("a", evacuate_and_hang);
  ScriptedServer& far = add_server_in("b", kServe);
  configure(milliseconds(3000), milliseconds(200));
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(arrived, 1);
  EXPECT_EQ(far.requests().size(), 1U);
}

// Guards against a request that is cut off because its failure domain is evacuated, and against
// health checks of its server while it is late.
TEST_F(EvacuationTest, RunningRequestContinuesWithoutHealthChecks)
{
  ScriptedServer* server = nullptr;
  std::atomic<unsigned> checks{ 0 };
  server = &add_server_in("a", [&](const ReceivedRequest& received) {
    evacuate({ "a" });
    checks = server->checks();
    // Late enough for three health checks of the server.
    std::this_thread::sleep_for(milliseconds(1200));
    return kServe(received);
  });
  configure(milliseconds(3000), milliseconds(40));
  EXPECT_EQ(status_of(send(request("POST", "/once/x", "body"))), 200);
  EXPECT_EQ(server->checks(), checks);
}

} // namespace
} // namespace lovagehold
