#include "gateway_fixture.h"

#include <gmock/gmock.h>

namespace lovagehold {
namespace {

using ::testing::AllOf;
using ::testing::HasSubstr;
using ::testing::StartsWith;

class ShutdownTest : public GatewayTest
{
protected:
  // Shuts the gateway down and expects that no request is left when the shutdown ends.
  void expect_all_answered()
  {
    const TimePoint end = Clock::now() + std::chrono::seconds(1);
    on_gateway([&] { m_gateway.begin_shutdown(end, Clock::now()); });
    std::size_t in_progress = 1;
    while (in_progress > 0 && Clock::now() < end) {
      on_gateway([&] { in_progress = m_gateway.in_progress(); });
    }
    EXPECT_EQ(in_progress, 0U);
  }

  void await(const std::function<bool()>& condition)
  {
    bool met = false;
    while (!met) {
      on_gateway([&] { met = condition(); });
    }
  }
};

// Guards against callers that get no answer because their request outlives the shutdown: its server
// is silent, and the process ends before the request's own deadline.
TEST_F(ShutdownTest, RequestThatOutlivesTheShutdownIsAnswered)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
  configure();
  auto response =
    std::async(std::launch::async, [] { return send(request("POST", "/once/x", "body")); });
  await([this] { return arrivals() == 1; });
  expect_all_answered();
  EXPECT_THAT(response.get(), StartsWith("HTTP/1.1 504"));
}

// Guards against the same for an upload of which the server takes only a part.
TEST_F(ShutdownTest, UploadThatOutlivesTheShutdownIsAnswered)
{
  add_server([](const ReceivedRequest&) {
    return ScriptedResponse{ .stall = true };
  }).respond_early();
  configure();
  const std::string body(std::size_t{ 1 } << 20, 'x');
  auto response =
    std::async(std::launch::async, [&] { return send(request("POST", "/once/x", body)); });
  await([this] { return arrivals() == 1; });
  expect_all_answered();
  EXPECT_THAT(response.get(), StartsWith("HTTP/1.1 504"));
}

// Guards against a request that was sent to no server and whose caller is not told so when the
// shutdown ends: it may be sent to another host.
TEST_F(ShutdownTest, RequestThatWaitsAtTheEndOfTheShutdownIsRefused)
{
  add_server(kServe).report_full_load(1000);
  configure(std::chrono::seconds(20), std::chrono::seconds(16));
  auto response =
    std::async(std::launch::async, [] { return send(request("POST", "/once/x", "body")); });
  await([this] { return m_gateway.in_progress() == 1; });
  expect_all_answered();
  EXPECT_THAT(response.get(), AllOf(StartsWith("HTTP/1.1 503"), HasSubstr("Retry-After")));
  EXPECT_EQ(arrivals(), 0U);
}

// Guards against an answer that a shutdown ends sooner than it has to.
TEST_F(ShutdownTest, LateResponseIsServedUntilTheEndOfTheShutdown)
{
  std::promise<void> released;
  add_server([&](const ReceivedRequest& received) {
    released.get_future().wait();
    return kServe(received);
  });
  configure();
  auto response =
    std::async(std::launch::async, [] { return send(request("POST", "/once/x", "body")); });
  await([this] { return arrivals() == 1; });
  on_gateway(
    [&] { m_gateway.begin_shutdown(Clock::now() + std::chrono::seconds(60), Clock::now()); });
  released.set_value();
  EXPECT_THAT(response.get(), StartsWith("HTTP/1.1 200"));
}

} // namespace
} // namespace lovagehold
