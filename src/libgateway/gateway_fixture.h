#pragma once

#include "lovagehold/gateway.h"

#include "scripted_server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <gtest/gtest.h>
#include <stdexcept>

namespace lovagehold {

inline std::string
text(const boost::asio::ip::tcp::endpoint& endpoint)
{
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Runs a gateway with one service of scripted servers, an idempotent and a non-idempotent route.
class GatewayTest : public ::testing::Test
{
protected:
  static constexpr unsigned short kPort = 17410;

  explicit GatewayTest(double link_mbps = 0,
                       std::chrono::milliseconds response_idle = GatewayOptions{}.response_idle)
    : m_log({ .host = "gateway-test", .level = "error" })
    , m_gateway(m_context, with_hooks(make_options(link_mbps, response_idle)), m_log)
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

  static GatewayOptions make_options(
    double link_mbps,
    std::chrono::milliseconds response_idle = GatewayOptions{}.response_idle)
  {
    GatewayOptions options{
      .host = "h", .failure_domain = "a", .link_mbps = link_mbps, .response_idle = response_idle
    };
    options.listen_address = text(test_endpoint(".8.1", kPort));
    options.headers = { .request_id = "Lovagehold-Request-Id",
                        .deadline = "Lovagehold-Deadline-Ms",
                        .expected_server = "Lovagehold-Expect-Instance",
                        .server_id = "Lovagehold-Instance-Id",
                        .not_executed = "Lovagehold-Not-Executed",
                        .leaving = "Server-Leaving",
                        .limit = "Server-Limit",
                        .account_key = "Account-Key",
                        .account = "Account-Name",
                        .warmup_left = "Server-Warmup",
                        .load = "Lovagehold-Server-Load",
                        .parse_load = [](std::string_view text) {
                          if (text == "throw") {
                            throw std::runtime_error("odd load report");
                          }
                          return LoadReport{ .running = static_cast<unsigned>(text[0] - '0'),
                                             .slots = 3 };
                        } };
    return options;
  }

  GatewayOptions with_hooks(GatewayOptions options)
  {
    options.request_permit = [this](const PermitQuery& query, const auto& handler) {
      ++m_permit_queries;
      PermitAnswer answer{ .wait = std::chrono::milliseconds(400) };
      if (m_permits > 0) {
        --m_permits;
        answer = { .server = query.candidates.front().id, .wait = std::chrono::milliseconds(5) };
      }
      handler(answer);
    };
    options.request_allowance = [this](const std::shared_ptr<const ClientAccount>&,
                                       const auto& handler) {
      ++m_allowance_queries;
      // Also answers that arrive later than the call returns.
      boost::asio::post(m_context, [handler, answer = m_allowance] { handler(answer); });
    };
    options.on_crash_evidence = [this](const CrashEvidence& evidence) {
      if (m_on_crash_evidence) {
        m_on_crash_evidence(evidence);
      }
    };
    return options;
  }

  // Runs the function on the gateway's thread and waits until it returns.
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
    m_server_infos.push_back({ .service = "desk",
                               .id = id,
                               .address = text(address),
                               .incarnation = 1,
                               .failure_domain = "a" });
    return *m_servers.back();
  }

  void configure(std::chrono::milliseconds timeout = std::chrono::milliseconds(3000),
                 std::chrono::milliseconds target_latency = std::chrono::milliseconds(2000),
                 unsigned max_attempts = 2)
  {
    const auto route = [&](const std::string& prefix, RouteKind kind) {
      return Route{ .name = prefix,
                    .path_prefix = prefix,
                    .kind = kind,
                    .targets = { { .service = "desk" } },
                    .timeout = timeout,
                    .target_latency = target_latency,
                    .max_attempts = max_attempts };
    };
    RoutingConfig config{ .version = ++m_version, .limits = m_limits };
    config.hosts = { { .name = "a.example",
                       .routes = { route("/safe/", RouteKind::Idempotent),
                                   route("/once/", RouteKind::NonIdempotent) } } };
    config.services = {
      { .name = "desk", .health_path = m_health_path, .warmup_rate = m_warmup_rate }
    };
    config.accounts = m_accounts;
    config.requires_key = !m_accounts.empty();
    for (Route& configured : config.hosts[0].routes) {
      configured.open = m_open_routes;
    }
    on_gateway([&] {
      m_gateway.set_routing(config);
      m_gateway.set_servers(m_server_infos, Clock::now());
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

  // Caller connections that stay open until the gateway has been destroyed.
  boost::asio::io_context m_caller_context;
  std::vector<TestSocket> m_callers;
  boost::asio::io_context m_context;
  /// Permits that the limiter still grants, and queries that it has received.
  std::atomic<int> m_permits{ 0 };
  std::atomic<int> m_permit_queries{ 0 };
  /// Called on the gateway's thread.
  std::function<void(const CrashEvidence&)> m_on_crash_evidence;
  EventLog m_log;
  Gateway m_gateway;
  std::thread m_thread;
  std::vector<std::unique_ptr<ScriptedServer>> m_servers;
  std::vector<ServerInfo> m_server_infos;
  std::string m_health_path = "/health";
  double m_warmup_rate = 0;
  /// Limits and version of the routing configuration.
  RequestLimits m_limits;
  std::uint64_t m_version = 0;
  std::vector<ClientAccount> m_accounts;
  /// Answer to each question about an allowance.
  AllowanceDecision m_allowance;
  std::atomic<unsigned> m_allowance_queries{ 0 };
  /// Whether both routes are open.
  bool m_open_routes = false;
};

inline const auto kServe = [](const ReceivedRequest& request) {
  return ScriptedResponse{ .bytes = ScriptedServer::response(request, "hello") };
};

inline const auto kRefuse = [](const ReceivedRequest& request) {
  return ScriptedResponse{ .bytes = "HTTP/1.1 503 Full\r\n" + ScriptedServer::id_header(request) +
                                    "Lovagehold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
};

inline const auto kLoseResponse = [](const ReceivedRequest&) {
  return ScriptedResponse{ .reset = true };
};

} // namespace lovagehold
