#include "gateway_fixture.h"

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

// More than the time for which a piece of a body occupies the link.
constexpr milliseconds kBusyTime{ 30 };
constexpr double kLinkMbps = 2.2;
constexpr unsigned kServers = 8;
constexpr unsigned kUploads = 12;

// A gateway on a link so slow that bodies are sent in paced pieces.
class BusyLinkTest : public GatewayTest
{
protected:
  BusyLinkTest()
    : GatewayTest(kLinkMbps)
  {
  }

  // Keeps the gateway's thread busy, so that all that happens meanwhile is handled together.
  void keep_busy()
  {
    boost::asio::post(m_context, [] { std::this_thread::sleep_for(kBusyTime); });
  }

  static std::string upload_in_chunks()
  {
    const std::string chunk = "1770\r\n" + std::string(6000, 'x') + "\r\n";
    return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id-1\r\n"
           "Lovagehold-Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\nConnection: "
           "close\r\n\r\n" +
           chunk + chunk + chunk + chunk + "0\r\n\r\n";
  }
};

// Guards against a crash: a server rejects an upload while a piece of it has been written whose
// completion is not handled yet, so that the sending goes on after the connection is released.
TEST_F(BusyLinkTest, EarlyRejectionEndsTheSending)
{
  for (unsigned i = 0; i < kServers; ++i) {
    ScriptedServer& server = add_server([this](const ReceivedRequest& received) {
      keep_busy();
      ScriptedResponse response = kRefuse(received);
      response.stall = true;
      return response;
    });
    server.respond_early();
  }
  configure();
  for (unsigned i = 0; i < kUploads; ++i) {
    EXPECT_EQ(status_of(send(upload_in_chunks())), 503);
  }
  EXPECT_GE(arrivals(), kServers);
}

} // namespace
} // namespace lovagehold
