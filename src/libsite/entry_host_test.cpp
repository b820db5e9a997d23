#include "entry_host.h"

#include "control_host.h"
#include "libproxy/entry_fixture.h"
#include "lovagehold/account_table.h"

#include <boost/asio/post.hpp>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <sstream>

namespace lovagehold {
namespace {

constexpr unsigned kRoutes = 1400;

std::string
text(const boost::asio::ip::tcp::endpoint& endpoint)
{
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// The test's document format: the version, then one line with prefix and service for each route,
// and one with "@", the name, which is also the key, and the rate for each account.
RoutingConfig
read_document(const std::string& document)
{
  std::istringstream input(document);
  RoutingConfig config{ .services = { { .name = "s" }, { .name = "t" } } };
  input >> config.version;
  VirtualHost host{ .name = "a" };
  for (std::string prefix, service; input >> prefix >> service;) {
    if (prefix.starts_with('@')) {
      config.requires_key = true;
      config.accounts.push_back({ .name = prefix.substr(1),
                                  .keys = { digest_of(prefix.substr(1)) },
                                  .rate = std::stod(service) });
      continue;
    }
    host.routes.push_back(
      { .name = prefix, .path_prefix = prefix, .targets = { { .service = service } } });
  }
  config.hosts.push_back(std::move(host));
  return config;
}

// A control host and an entry host in one process.
class EntryHostTest : public ::testing::Test
{
protected:
  static constexpr unsigned short kPort = 17460;
  static inline const auto kServerAddress = test_endpoint(".7.3", kPort + 6);

  EntryHostTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("lovagehold-entry-host-test-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(m_folder);
    const std::string control_link = text(test_endpoint(".7.3", kPort + 1));
    SiteSettings control{ .host = "control-1",
                          .failure_domain = "a",
                          .control_address = text(test_endpoint(".7.3", kPort)),
                          .cluster_address = control_link,
                          .seeds = { control_link },
                          .first_start = true,
                          .metrics_address = text(test_endpoint(".7.3", kPort + 6)),
                          .data_folder = m_folder };
    m_control = std::make_unique<ControlHost>(m_context, control, make_protocol(), m_log);
    SiteSettings entry{ .host = "entry-1",
                        .failure_domain = "a",
                        .entry_address = text(test_endpoint(".7.3", kPort + 2)),
                        .readiness_address = text(test_endpoint(".7.3", kPort + 3)),
                        .cluster_address = text(test_endpoint(".7.3", kPort + 4)),
                        .seeds = { control_link },
                        .metrics_address = text(test_endpoint(".7.3", kPort + 5)) };
    SiteProtocol entry_protocol = make_protocol();
    entry_protocol.decode_routing = [this](const std::string& document) -> Result<RoutingConfig> {
      RoutingConfig config = read_document(document);
      m_decoded_routes += config.hosts.front().routes.size();
      return config;
    };
    m_entry = std::make_unique<EntryHost>(m_context, entry, std::move(entry_protocol), m_log);
  }

  void SetUp() override
  {
    ASSERT_TRUE(m_control->start().has_value());
    ASSERT_TRUE(m_entry->start().has_value());
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~EntryHostTest() override
  {
    boost::asio::post(m_context, [this] {
      m_entry->stop();
      m_control->stop();
      m_context.stop();
    });
    m_thread.join();
    m_entry.reset();
    m_control.reset();
    std::filesystem::remove_all(m_folder);
  }

  static SiteProtocol make_protocol()
  {
    SiteProtocol protocol;
    protocol.headers.account_key = "Account-Key";
    protocol.decode_call = [](const AdminRequest& request) -> ControlCall {
      if (request.path == "/put") {
        return ReplaceRoutingCall{ .config = read_document(request.body),
                                   .document = request.body };
      }
      if (request.path == "/read") {
        return ReadRoutingCall{};
      }
      if (request.path == "/evacuate" || request.path == "/end") {
        return EvacuationCall{ .failure_domain = query_value(request.query, "domain"),
                               .active = request.path == "/evacuate" };
      }
      if (request.path == "/heartbeat") {
        return HeartbeatCall{ { .server = { .service = "s",
                                            .id = query_value(request.query, "id"),
                                            .address = text(kServerAddress),
                                            .incarnation = 1,
                                            .failure_domain = "b" },
                                .sequence = 1 } };
      }
      return UnknownCall{};
    };
    protocol.encode_reply = [](const ControlReply& reply) -> AdminResponse {
      if (const auto* routing = std::get_if<RoutingReply>(&reply)) {
        return { .status = 200, .body = routing->document };
      }
      return { .status = std::holds_alternative<FailedReply>(reply) ? 503U : 200U };
    };
    protocol.decode_routing = [](const std::string& document) -> Result<RoutingConfig> {
      return read_document(document);
    };
    return protocol;
  }

  static void send_call(TestSocket& socket,
                        unsigned short port,
                        const std::string& path,
                        const std::string& body)
  {
    socket.connect(test_endpoint(".7.3", port));
    set_read_timeout(socket);
    boost::asio::write(
      socket,
      boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  // \return the response with its header
  static std::string call(unsigned short port, const std::string& path, const std::string& body)
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    send_call(socket, port, path, body);
    return read_to_close(socket).value_or("");
  }

  // \param services service of each route; empty for a route that is left out
  static std::string document(std::uint64_t version, const std::vector<std::string>& services)
  {
    std::string document = std::to_string(version) + "\n";
    for (std::size_t i = 0; i < services.size(); ++i) {
      if (!services[i].empty()) {
        document += "/p" + std::to_string(i) + "/ " + services[i] + "\n";
      }
    }
    return document;
  }

  static void put(const std::string& document)
  {
    const TimePoint limit = Clock::now() + std::chrono::seconds(20);
    while (status_of(call(kPort, "/put", document)) != 200 && Clock::now() < limit) {
    }
  }

  // \return the result of a function that is run on the hosts' thread
  template<class Function>
  auto on_thread(Function function)
  {
    std::promise<decltype(function())> result;
    boost::asio::post(m_context, [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  bool await_version(std::uint64_t version)
  {
    const TimePoint limit = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < limit) {
      if (on_thread([this] { return m_entry->status().version; }) == version) {
        return true;
      }
    }
    return false;
  }

  static int route_status(unsigned route)
  {
    return status_of(call(kPort + 2, "/p" + std::to_string(route) + "/", ""));
  }

  std::filesystem::path m_folder;
  boost::asio::io_context m_context;
  EventLog m_log{ { .host = "entry-host-test", .level = "error" } };
  std::size_t m_decoded_routes = 0;
  std::unique_ptr<ControlHost> m_control;
  std::unique_ptr<EntryHost> m_entry;
  std::thread m_thread;
};

// Guards against entry hosts that fall behind acknowledged configurations: the time for a change of
// one route grew with the number of all routes, and in a series of changes requests and later
// versions waited behind it.
TEST_F(EntryHostTest, ChangeOfOneRouteDoesNotDecodeTheOthers)
{
  std::vector<std::string> services(kRoutes, "s");
  put(document(1, services));
  ASSERT_TRUE(await_version(1));
  constexpr std::uint64_t kChanges = 20;
  for (std::uint64_t version = 2; version <= kChanges + 1; ++version) {
    services[version * 7] = version % 2 == 0 ? "t" : "";
    put(document(version, services));
    ASSERT_TRUE(await_version(version));
  }
  EXPECT_LE(on_thread([this] { return m_decoded_routes; }), kRoutes + 2 * kChanges);
  // The host has no servers, so a route that is there is refused.
  EXPECT_EQ(route_status(14), 503);
  EXPECT_EQ(route_status(21), 404);
  EXPECT_EQ(route_status(kRoutes - 1), 503);
  const std::string read = call(kPort, "/read", "");
  const std::size_t body = read.find("\r\n\r\n");
  ASSERT_NE(body, std::string::npos);
  EXPECT_EQ(read.substr(body + 4), document(kChanges + 1, services));
}

// Guards against whole documents for all entry hosts because two operators change the configuration
// at the same time, or because a control host is behind.
TEST_F(EntryHostTest, OvertakenChangeDoesNotDecodeTheOtherRoutes)
{
  std::vector<std::string> services(kRoutes, "s");
  put(document(1, services));
  ASSERT_TRUE(await_version(1));
  constexpr std::uint64_t kRounds = 20;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    const std::uint64_t version = 2 + 2 * round;
    boost::asio::io_context context;
    TestSocket first(context);
    TestSocket second(context);
    services[round] = "t";
    send_call(first, kPort, "/put", document(version, services));
    services[kRoutes - 1 - round] = "t";
    send_call(second, kPort, "/put", document(version + 1, services));
    ASSERT_EQ(status_of(read_to_close(first).value_or("")), 200);
    ASSERT_EQ(status_of(read_to_close(second).value_or("")), 200);
    ASSERT_TRUE(await_version(version + 1));
  }
  EXPECT_LE(on_thread([this] { return m_decoded_routes; }), kRoutes + 4 * kRounds);
}

// Guards against an acknowledged evacuation that does not reach the gateway, against a host that
// becomes ready without it, and against one that outlives its withdrawal.
TEST_F(EntryHostTest, EvacuationIsInForceAtTheGateway)
{
  boost::asio::io_context server_context;
  boost::asio::ip::tcp::acceptor server(server_context, kServerAddress);
  server.non_blocking(true);
  // Closes all connections that the gateway has opened. \return their number
  const auto accept_all = [&] {
    unsigned accepted = 0;
    boost::system::error_code error;
    while (!error) {
      TestSocket socket(server_context);
      server.accept(socket, error);
      accepted += error ? 0 : 1;
    }
    return accepted;
  };
  // \return the status, or 0 if the request reached the server, which does not answer
  const auto try_route = [&] {
    accept_all();
    boost::asio::io_context context;
    TestSocket socket(context);
    send_call(socket, kPort + 2, "/p0/", "");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return accept_all() > 0 ? 0 : status_of(read_to_close(socket).value_or(""));
  };
  const auto await_evacuations = [this](std::size_t count) {
    const TimePoint limit = Clock::now() + std::chrono::seconds(5);
    while (Clock::now() < limit) {
      if (on_thread([this] { return m_entry->status().evacuations.size(); }) == count) {
        return true;
      }
    }
    return false;
  };
  const TimePoint limit = Clock::now() + std::chrono::seconds(20);
  while (status_of(call(kPort, "/evacuate?domain=b", "")) != 200 && Clock::now() < limit) {
  }
  EXPECT_EQ(status_of(call(kPort, "/heartbeat?id=i-1", "")), 200);
  put(document(1, { "s" }));
  ASSERT_TRUE(await_version(1));
  ASSERT_TRUE(await_evacuations(1));
  EXPECT_EQ(try_route(), 503);
  EXPECT_EQ(status_of(call(kPort, "/end?domain=b", "")), 200);
  ASSERT_TRUE(await_evacuations(0));
  EXPECT_EQ(try_route(), 0);
  EXPECT_EQ(status_of(call(kPort, "/evacuate?domain=b", "")), 200);
  ASSERT_TRUE(await_evacuations(1));
  EXPECT_EQ(try_route(), 503);
}

// Guards against a configuration that is acknowledged but too large for the log, the image of the
// state or the messages that carry it, and against changes of it that cost as much as all of it.
TEST_F(EntryHostTest, TwentyThousandRoutesAreServed)
{
  constexpr unsigned kManyRoutes = 20000;
  std::vector<std::string> services(kManyRoutes, "s");
  put(document(1, services));
  ASSERT_TRUE(await_version(1));
  EXPECT_EQ(route_status(kManyRoutes - 1), 503);
  EXPECT_EQ(route_status(kManyRoutes), 404);
  services[kManyRoutes / 2] = "";
  put(document(2, services));
  ASSERT_TRUE(await_version(2));
  EXPECT_EQ(route_status(kManyRoutes / 2), 404);
  EXPECT_LE(on_thread([this] { return m_decoded_routes; }), kManyRoutes + 2);
  const std::string read = call(kPort, "/read", "");
  EXPECT_TRUE(read.ends_with("\r\n\r\n" + document(2, services)));
}

// Guards against parts of the allowances that don't work together: messages that one of the hosts
// does not handle, timers that do not run, and restrictions that operators are not shown.
TEST_F(EntryHostTest, AllowanceOfAnAccountHolds)
{
  put("1\n/p0/ s\n@north 2\n");
  ASSERT_TRUE(await_version(1));
  const auto ask = [] {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".7.3", kPort + 2));
    set_read_timeout(socket);
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string("GET /p0/ HTTP/1.1\r\nHost: a\r\nAccount-Key: north\r\n"
                                      "Connection: close\r\n\r\n")));
    return read_to_close(socket).value_or("");
  };
  // The host has no servers, so an admitted request is refused for this reason.
  std::size_t admitted = 0;
  std::string denied;
  const TimePoint end = Clock::now() + std::chrono::seconds(3);
  while (Clock::now() < end) {
    const std::string response = ask();
    admitted += response.find("no server") != std::string::npos ? 1 : 0;
    denied = status_of(response) == 429 ? response : denied;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_GE(admitted, 6U);
  EXPECT_LE(admitted, 31U);
  EXPECT_NE(denied.find("Retry-After: 0."), std::string::npos) << denied;
  EXPECT_EQ(on_thread([this] { return m_control->status().restricted_accounts; }),
            std::set<std::string>{ "north" });
  const std::string metrics = on_thread([this] { return m_entry->render_metrics(); });
  EXPECT_NE(metrics.find("lovagehold_allowance_requests_total{mode=\"queried\""),
            std::string::npos);
  EXPECT_NE(metrics.find("lovagehold_allowance_restricted 1\n"), std::string::npos);
  on_thread([this] {
    m_control->stop();
    return true;
  });
  ASSERT_FALSE(denied.empty());
  std::string unknown;
  for (int i = 0; i < 20 && unknown.find("can't tell") == std::string::npos; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    unknown = ask();
  }
  EXPECT_EQ(status_of(unknown), 503) << unknown;
  EXPECT_NE(unknown.find("Retry-After: 0."), std::string::npos) << unknown;
}

} // namespace
} // namespace lovagehold
