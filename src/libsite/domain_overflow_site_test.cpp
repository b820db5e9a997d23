#include "control_host.h"
#include "entry_host.h"
#include "libgateway/gateway_fixture.h"

#include <atomic>
#include <filesystem>

namespace lovagehold {
namespace {

// A control host and one entry host and one server in each of two failure domains.
class DomainOverflowSiteTest : public ::testing::Test
{
protected:
  static constexpr unsigned short kPort = 17480;

  DomainOverflowSiteTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("lovagehold-domain-overflow-test-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(m_folder);
    m_control = std::make_unique<ControlHost>(m_context, settings("control", 0), protocol(), m_log);
    m_entry_a = std::make_unique<EntryHost>(m_context, settings("a", 3), protocol(), m_log);
    m_entry_b = std::make_unique<EntryHost>(m_context, settings("b", 6), protocol(), m_log);
    m_server_a = make_server("ia", 10);
    m_server_b = make_server("ib", 11);
  }

  void SetUp() override
  {
    ASSERT_TRUE(m_control->start().has_value());
    ASSERT_TRUE(m_entry_a->start().has_value());
    ASSERT_TRUE(m_entry_b->start().has_value());
    m_thread = std::thread([this] { m_context.run(); });
    const TimePoint limit = Clock::now() + std::chrono::seconds(20);
    for (const char* path : { "/put", "/heartbeat?a", "/heartbeat?b" }) {
      while (status_of(call(kPort, path)) != 200 && Clock::now() < limit) {
      }
    }
    while ((status_of(call(kPort + 3, "/")) != 200 || status_of(call(kPort + 6, "/")) != 200) &&
           Clock::now() < limit) {
    }
  }

  ~DomainOverflowSiteTest() override
  {
    boost::asio::post(m_context, [this] {
      m_entry_a->stop();
      m_entry_b->stop();
      m_control->stop();
      m_context.stop();
    });
    m_thread.join();
    m_entry_a.reset();
    m_entry_b.reset();
    m_control.reset();
    std::filesystem::remove_all(m_folder);
  }

  static std::string address(unsigned port)
  {
    return text(test_endpoint(".7.5", static_cast<unsigned short>(kPort + port)));
  }

  SiteSettings settings(const std::string& name, unsigned port)
  {
    SiteSettings settings{ .host = name, .failure_domain = name == "b" ? "b" : "a" };
    settings.cluster_address = address(port + 1);
    settings.seeds = { address(1) };
    settings.domain_overflow = true;
    settings.failure_domains = { "a", "b" };
    if (name == "control") {
      settings.control_address = address(port);
      settings.first_start = true;
      settings.data_folder = m_folder;
    } else {
      settings.entry_address = address(port);
      settings.readiness_address = address(port + 2);
    }
    return settings;
  }

  static SiteProtocol protocol()
  {
    const auto config = [](const std::string&) -> Result<RoutingConfig> {
      RoutingConfig routing{ .version = 1,
                             .services = { { .name = "s", .health_path = "/health" } } };
      routing.hosts.push_back(
        { .name = "a",
          .routes = { { .name = "r", .path_prefix = "/", .targets = { { .service = "s" } } } } });
      return routing;
    };
    SiteProtocol protocol;
    protocol.decode_call = [config](const AdminRequest& request) -> ControlCall {
      if (request.path == "/put") {
        return ReplaceRoutingCall{ .config = config("").value(), .document = "1" };
      }
      const std::string domain = request.query;
      ServerInfo server{ .service = "s", .id = "i" + domain, .incarnation = 1 };
      server.address = address(domain == "a" ? 10 : 11);
      server.failure_domain = domain;
      return HeartbeatCall{ { .server = server, .sequence = 1 } };
    };
    protocol.encode_reply = [](const ControlReply& reply) -> AdminResponse {
      return { .status = std::holds_alternative<FailedReply>(reply) ? 503U : 200U };
    };
    protocol.decode_routing = config;
    protocol.headers = { .request_id = "Lovagehold-Request-Id",
                         .server_id = "Lovagehold-Instance-Id",
                         .load = "Lovagehold-Server-Load",
                         .parse_load = [](std::string_view text) {
                           return LoadReport{ .running = static_cast<unsigned>(text[0] - '0'),
                                              .slots = 3 };
                         } };
    return protocol;
  }

  // Responses report the same load as health checks.
  std::unique_ptr<ScriptedServer> make_server(const std::string& id, unsigned short port)
  {
    return std::make_unique<ScriptedServer>(
      id, test_endpoint(".7.5", kPort + port), [this, id](const ReceivedRequest& request) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const bool full = id == "ia" && m_a_is_full;
        return ScriptedResponse{ .bytes = "HTTP/1.1 200 OK\r\n" +
                                          ScriptedServer::id_header(request) +
                                          "Lovagehold-Server-Load: " + (full ? "3" : "0") +
                                          "\r\nContent-Length: 2\r\n\r\nok" };
      });
  }

  void fill_server_a(bool full)
  {
    m_a_is_full = full;
    m_server_a->report_full_load(full ? 1000000 : 0);
  }

  static std::string call(unsigned port, const std::string& path)
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".7.5", static_cast<unsigned short>(port)));
    set_read_timeout(socket);
    boost::asio::write(
      socket,
      boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n" +
                          "Lovagehold-Request-Id: x\r\nConnection: close\r\n\r\n"));
    return read_to_close(socket).value_or("");
  }

  // Sends requests through both entry hosts until the control host shows a share of a's requests
  // for b, or none. \return whether that happens within 15 s
  bool send_until(bool share_expected)
  {
    const TimePoint limit = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < limit) {
      // Renews the servers' leases.
      EXPECT_EQ(status_of(call(kPort, "/heartbeat?a")), 200);
      EXPECT_EQ(status_of(call(kPort, "/heartbeat?b")), 200);
      EXPECT_EQ(status_of(call(kPort + 3, "/")), 200);
      EXPECT_EQ(status_of(call(kPort + 6, "/")), 200);
      std::promise<std::string> rendered;
      boost::asio::post(m_context, [&] { rendered.set_value(m_control->render_metrics()); });
      const std::string metrics = rendered.get_future().get();
      const bool decided = metrics.find("lovagehold_domain_overflow{") != std::string::npos;
      const bool found =
        metrics.find("lovagehold_domain_share{service=\"s\",domain=\"a\"") != std::string::npos;
      if (decided && found == share_expected) {
        return true;
      }
    }
    return false;
  }

  std::filesystem::path m_folder;
  boost::asio::io_context m_context;
  EventLog m_log{ { .host = "domain-overflow-test", .level = "error" } };
  std::unique_ptr<ControlHost> m_control;
  std::unique_ptr<EntryHost> m_entry_a;
  std::unique_ptr<EntryHost> m_entry_b;
  std::unique_ptr<ScriptedServer> m_server_a;
  std::unique_ptr<ScriptedServer> m_server_b;
  std::atomic<bool> m_a_is_full{ false };
  std::thread m_thread;
};

// Guards against reports, decisions or shares that are lost between the hosts: a full server's
// domain must send requests to the other domain, and keep them when the server has room again.
TEST_F(DomainOverflowSiteTest, FullDomainSendsRequestsAndTakesThemBack)
{
  ASSERT_TRUE(send_until(false));
  fill_server_a(true);
  EXPECT_TRUE(send_until(true));
  fill_server_a(false);
  EXPECT_TRUE(send_until(false));
  // The decision must reach the entry host first.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::size_t before = m_server_a->requests().size();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(status_of(call(kPort + 3, "/")), 200);
  }
  EXPECT_EQ(m_server_a->requests().size(), before + 20);
}

} // namespace
} // namespace lovagehold
