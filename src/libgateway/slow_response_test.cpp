#include "gateway_fixture.h"
#include "libproxy/http_types.h"

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kResponseIdle{ 100 };
constexpr milliseconds kSilence{ 400 };
// More than a host buffers before it forwards the head of a response.
constexpr std::size_t kLongBytes = 3 * kStreamBufferBytes;

// A gateway whose server falls silent for longer than GatewayOptions::response_idle after the first
// part of a long response.
class SlowResponseTest : public GatewayTest
{
protected:
  SlowResponseTest()
    : GatewayTest(0, kResponseIdle)
  {
    add_server([](const ReceivedRequest& received) {
      const std::string whole = ScriptedServer::response(received, std::string(kLongBytes, 'x'));
      return ScriptedResponse{ .bytes = whole.substr(0, kStreamBufferBytes),
                               .rest = whole.substr(kStreamBufferBytes),
                               .pause = kSilence };
    });
  }

  static std::size_t body_size(const std::string& received)
  {
    return received.size() - received.find("\r\n\r\n") - 4;
  }
};

// Guards against a response that is cut because its server is silent, although the caller's time
// and the route's timeout have not passed.
TEST_F(SlowResponseTest, IsForwardedWholeWithinTheTimeout)
{
  configure(milliseconds(3000));
  const std::string received = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(received), 200);
  EXPECT_EQ(body_size(received), kLongBytes);
}

// Guards against a request that a silent server holds for as long as its caller waits, although the
// route's timeout has passed.
TEST_F(SlowResponseTest, EndsAfterTheTimeoutIfTheServerIsSilent)
{
  configure(milliseconds(200));
  const std::string received = send(request("POST", "/once/x", "body"));
  EXPECT_EQ(status_of(received), 200);
  EXPECT_LT(body_size(received), kLongBytes);
}

} // namespace
} // namespace lovagehold
