#include "gateway_fixture.h"

#include <gmock/gmock.h>

namespace lovagehold {
namespace {

// Guards against callers that get no answer because their request outlives the shutdown: its server
// is silent, and the process ends before the request's own deadline.
TEST_F(GatewayTest, RequestThatOutlivesTheShutdownIsAnswered)
{
  add_server([](const ReceivedRequest&) { return ScriptedResponse{ .hang = true }; });
  configure();
  auto response =
    std::async(std::launch::async, [] { return send(request("POST", "/once/x", "body")); });
  while (arrivals() == 0) {
    std::this_thread::yield();
  }
  const TimePoint end = Clock::now() + std::chrono::seconds(1);
  on_gateway([&] { m_gateway.begin_shutdown(end, Clock::now()); });
  std::size_t in_progress = 1;
  while (in_progress > 0 && Clock::now() < end) {
    on_gateway([&] { in_progress = m_gateway.in_progress(); });
  }
  EXPECT_EQ(in_progress, 0U);
  EXPECT_THAT(response.get(), ::testing::StartsWith("HTTP/1.1 504"));
}

} // namespace
} // namespace lovagehold
