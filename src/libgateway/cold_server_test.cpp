#include "gateway_fixture.h"

#include "lovagehold/host_count.h"
#include "server_notice.h"

namespace lovagehold {
namespace {

class ColdServerGatewayTest : public GatewayTest
{
protected:
  ColdServerGatewayTest() { m_warmup_rate = 1.6; }
};

// Guards against requests that are sent to cold servers although the share admits none, and against
// a refusal that names a time at which they are still cold.
TEST_F(ColdServerGatewayTest, ServiceOfColdServersRefusesWhatTheShareDoesNotAdmit)
{
  add_server(kServe).stay_cold("30000");
  configure();
  // The number of hosts is unknown, so that this host's share is next to nothing. Until the first
  // health check, the server may get a request.
  send(request("GET", "/safe/x"));
  const std::size_t before = arrivals();
  const std::string refused = send(request("GET", "/safe/x"));
  EXPECT_EQ(status_of(refused), 503);
  EXPECT_NE(refused.find("warming up"), std::string::npos);
  const std::size_t retry_after = refused.find("Retry-After: ");
  ASSERT_NE(retry_after, std::string::npos);
  EXPECT_GT(std::stod(refused.substr(retry_after + 13)), 20);
  EXPECT_EQ(arrivals(), before);
  m_servers.front()->stay_cold("");
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
}

// Guards against a host with the whole share that does not use its cold servers.
TEST_F(ColdServerGatewayTest, ShareOfColdServersIsUsed)
{
  add_server(kServe).stay_cold("30000");
  m_warmup_rate = 200;
  configure();
  on_gateway([&] { m_gateway.set_entry_hosts(1); });
  std::this_thread::sleep_for(HostCountOptions{}.stable_after);
  on_gateway([&] { m_gateway.set_entry_hosts(1); });
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    served += status_of(send(request("GET", "/safe/x"))) == 200 ? 1 : 0;
  }
  EXPECT_GE(served, 8);
  std::string metrics;
  on_gateway([&] { metrics = m_gateway.render_metrics(); });
  EXPECT_NE(metrics.find("lovagehold_cold_servers{service=\"desk\"} 1"), std::string::npos);
  EXPECT_EQ(metrics.find("lovagehold_cold_requests_total 0"), std::string::npos);
}

// Guards against requests to a cold server while a warm one has free capacity.
TEST_F(ColdServerGatewayTest, WarmServerIsPreferred)
{
  add_server(kServe).stay_cold("30000");
  add_server(kServe);
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  const std::size_t before = m_servers[0]->requests().size();
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  }
  EXPECT_EQ(m_servers[0]->requests().size(), before);
}

// Guards against decisions by the header if the configuration does not limit cold servers.
TEST_F(ColdServerGatewayTest, HeaderIsIgnoredWithoutARate)
{
  m_warmup_rate = 0;
  add_server(kServe).stay_cold("30000");
  configure();
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 200);
}

// Guards against a warm-up that ends by an unreadable value, by an answer of another server or by a
// failed health check.
TEST(ServerNotice, WarmupIsRead)
{
  const GatewayHeaders names{ .warmup_left = "Server-Warmup" };
  const auto read = [&](unsigned status, const char* warmup) {
    http::response_header<> header;
    header.result(status);
    if (warmup != nullptr) {
      header.set("Server-Warmup", warmup);
    }
    return read_warmup(header, names);
  };
  EXPECT_EQ(read(200, "1500"), std::chrono::milliseconds(1500));
  EXPECT_EQ(read(503, " 1500 "), std::chrono::milliseconds(1500));
  EXPECT_EQ(read(200, "0"), Duration::zero());
  EXPECT_EQ(read(204, nullptr), Duration::zero());
  EXPECT_EQ(read(200, "1e999"), std::chrono::hours(24));
  EXPECT_EQ(read(503, nullptr), std::nullopt);
  EXPECT_EQ(read(421, "1500"), std::nullopt);
  for (const char* junk : { "", "-1", "nan", "inf", "3s", "1,5", "cold", "0x10" }) {
    EXPECT_EQ(read(200, junk), std::nullopt) << junk;
  }
}

} // namespace
} // namespace lovagehold
