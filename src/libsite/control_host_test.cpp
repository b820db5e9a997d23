#include "control_host.h"

#include "entry_host.h"
#include "libgateway/account_counters.h"
#include "libproxy/entry_fixture.h"

#include <boost/asio/post.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <regex>
#include <set>

namespace lovagehold {
namespace {

std::string
text(const boost::asio::ip::tcp::endpoint& endpoint)
{
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// A service whose cold servers take few requests.
RoutingConfig
make_routing()
{
  return { .version = 1, .services = { { .name = "s", .warmup_rate = 1.6 } } };
}

// Maps each supported path to a kind of call.
SiteProtocol
make_protocol()
{
  SiteProtocol protocol;
  protocol.decode_call = [](const AdminRequest& request) -> ControlCall {
    if (request.path == "/read") {
      return ReadRoutingCall{};
    }
    const auto number = [&](const char* name, std::uint64_t missing) {
      const std::string value = query_value(request.query, name);
      return value.empty() ? missing : std::stoull(value);
    };
    const std::string given_id = query_value(request.query, "id");
    const std::string id = given_id.empty() ? "i-1" : given_id;
    if (request.path == "/evacuate" || request.path == "/end") {
      return EvacuationCall{ .failure_domain = query_value(request.query, "domain"),
                             .active = request.path == "/evacuate" };
    }
    if (request.path == "/leave") {
      return LeaveCall{ .id = id, .incarnation = number("incarnation", 0) };
    }
    if (request.path == "/heartbeat" || request.path == "/drain") {
      return HeartbeatCall{ { .server = { .service = "s",
                                          .id = id,
                                          .address = "127.0.0.1:9",
                                          .incarnation = number("incarnation", 1),
                                          .warmup =
                                            std::chrono::milliseconds(number("warmup", 0)) },
                              .sequence = number("sequence", 1),
                              .draining = request.path == "/drain" } };
    }
    if (request.path == "/configure") {
      return ReplaceRoutingCall{ .config = make_routing(), .document = "cold" };
    }
    return UnknownCall{};
  };
  protocol.decode_routing = [](const std::string&) -> Result<RoutingConfig> {
    return make_routing();
  };
  protocol.encode_reply = [](const ControlReply& reply) -> AdminResponse {
    if (const auto* failed = std::get_if<FailedReply>(&reply)) {
      return { .status = failed->error.kind == ErrorKind::InvalidArgument ? 400U : 503U,
               .body = failed->error.message + "; " + failed->error.remedy };
    }
    return { .status = std::holds_alternative<NotFoundReply>(reply) ? 404U : 200U };
  };
  return protocol;
}

// Runs one control host: either a group of its own, or a member of a group whose other members
// cannot be reached.
class ControlHostTest : public ::testing::Test
{
protected:
  static constexpr unsigned short kPort = 17450;

  ControlHostTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("lovagehold-control-host-test-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(m_folder);
  }

  void start(bool alone, const std::vector<std::string>& failure_domains = { "a", "b" })
  {
    SiteSettings settings{ .host = "control-1",
                           .failure_domain = "a",
                           .control_address = text(test_endpoint(".7.1", kPort)),
                           .cluster_address = text(test_endpoint(".7.1", kPort + 1)),
                           .first_start = true,
                           .metrics_address = text(test_endpoint(".7.1", kPort + 2)),
                           .data_folder = m_folder,
                           .domain_overflow = m_domain_overflow,
                           .failure_domains = failure_domains };
    settings.seeds = { settings.cluster_address };
    if (!alone) {
      settings.seeds.push_back(text(test_endpoint(".7.2", kPort + 1)));
      settings.seeds.push_back(text(test_endpoint(".7.3", kPort + 1)));
    }
    m_host = std::make_unique<ControlHost>(m_context, settings, make_protocol(), m_log);
    ASSERT_TRUE(m_host->start().has_value());
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~ControlHostTest() override
  {
    stop();
    std::filesystem::remove_all(m_folder);
  }

  void stop()
  {
    boost::asio::post(m_context, [this] {
      m_host->stop();
      m_context.stop();
    });
    m_thread.join();
    m_host.reset();
    m_context.restart();
  }

  static int call(const std::string& path) { return status_of(response_to(path)); }

  static std::string response_to(const std::string& path)
  {
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".7.1", kPort));
    set_read_timeout(socket);
    boost::asio::write(
      socket,
      boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    return read_to_close(socket).value_or("");
  }

  static bool wait_for_status(const std::string& path, int status)
  {
    const TimePoint limit = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < limit) {
      if (call(path) == status) {
        return true;
      }
    }
    return false;
  }

  // \return the result of a function that is run on the host's thread
  template<class Function>
  auto on_thread(Function function)
  {
    std::promise<decltype(function())> result;
    boost::asio::post(m_context, [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  std::string render_metrics()
  {
    return on_thread([this] { return m_host->render_metrics(); });
  }

  // \return the value of a metric of the control host
  double metric(const std::string& name)
  {
    const std::string metrics = render_metrics();
    const std::size_t sample = metrics.find("\n" + name + " ");
    return sample == std::string::npos ? -1 : std::stod(metrics.substr(sample + name.size() + 2));
  }

  bool m_domain_overflow = false;
  boost::asio::io_context m_context;
  EventLog m_log{ { .host = "control-host-test", .level = "error" } };
  std::unique_ptr<ControlHost> m_host;
  std::thread m_thread;
  std::filesystem::path m_folder;
};

// Guards against acknowledging calls that the group never receives. A control host that was cut off
// from its group acknowledged the leave of a server that had joined on the other side, and requests
// still reached the server after 2.2 s (run trouble-3, seed 441163827367).
TEST_F(ControlHostTest, HostWithoutContactRejectsCalls)
{
  start(false);
  EXPECT_EQ(call("/leave"), 503);
  EXPECT_EQ(call("/heartbeat"), 503);
  EXPECT_EQ(call("/read"), 503);
  EXPECT_EQ(call("/evacuate?domain=b"), 503);
}

// Guards against a leave that is never acknowledged because its server is unknown.
TEST_F(ControlHostTest, GroupAcknowledgesLeavesOfKnownAndUnknownServers)
{
  start(true);
  EXPECT_TRUE(wait_for_status("/leave", 200));
  EXPECT_TRUE(wait_for_status("/heartbeat", 200));
  EXPECT_EQ(call("/leave"), 200);
  EXPECT_EQ(call("/else"), 404);
}

// Guards against requests to a server that has left: its first heartbeat arrived after its leave,
// which named a server that was not known.
TEST_F(ControlHostTest, LateHeartbeatDoesNotJoinAfterTheLeave)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  EXPECT_EQ(call("/leave?incarnation=5"), 200);
  EXPECT_EQ(call("/heartbeat?incarnation=5"), 200);
  EXPECT_EQ(call("/heartbeat?incarnation=4"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 0);
  // A leave of an earlier start must not keep the server out.
  EXPECT_EQ(call("/heartbeat?incarnation=6"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 1);
  EXPECT_EQ(call("/leave?incarnation=5"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 1);
}

// Guards against requests to a server that drains while the control host knows only its previous
// start: only that one was remembered as gone.
TEST_F(ControlHostTest, LateHeartbeatDoesNotJoinAfterTheDrainOfANewStart)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  EXPECT_EQ(call("/heartbeat?incarnation=5"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 1);
  EXPECT_EQ(call("/drain?incarnation=6&sequence=2"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 0);
  EXPECT_EQ(call("/heartbeat?incarnation=6&sequence=1"), 200);
  EXPECT_EQ(call("/heartbeat?incarnation=5&sequence=9"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 0);
}

// Guards against a repeated order that is rejected, or answered from a state that may be behind
// instead of by the group, and against a withdrawal without effect.
TEST_F(ControlHostTest, EvacuationsAreAcknowledgedAgain)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/evacuate?domain=b", 200));
  const double index = metric("lovagehold_commit_index");
  EXPECT_EQ(call("/evacuate?domain=b"), 200);
  EXPECT_EQ(metric("lovagehold_commit_index"), index + 1);
  EXPECT_EQ(metric("lovagehold_evacuated_domains"), 1);
  EXPECT_EQ(on_thread([this] { return m_host->status().evacuations.size(); }), 1U);
  EXPECT_EQ(call("/end?domain=b"), 200);
  EXPECT_EQ(call("/end?domain=b"), 200);
  EXPECT_EQ(metric("lovagehold_evacuated_domains"), 0);
}

// Guards against an order for a misspelt failure domain that is acknowledged and does nothing.
TEST_F(ControlHostTest, UnknownFailureDomainIsRejectedWithTheKnownOnes)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  for (const char* path : { "/evacuate?domain=c", "/end?domain=c" }) {
    const std::string response = response_to(path);
    EXPECT_EQ(status_of(response), 400);
    EXPECT_NE(response.find("'c' is not a known failure domain; use one of a, b"),
              std::string::npos);
  }
  EXPECT_EQ(metric("lovagehold_evacuated_domains"), 0);
}

// Guards against an order that a restart loses, and against one that nobody can withdraw because
// its failure domain was removed from the settings.
TEST_F(ControlHostTest, OrderSurvivesARestartAndItsFailureDomain)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/evacuate?domain=b", 200));
  stop();
  start(true, { "a", "c" });
  ASSERT_TRUE(wait_for_status("/leave", 200));
  EXPECT_EQ(metric("lovagehold_evacuated_domains"), 1);
  EXPECT_EQ(call("/evacuate?domain=b"), 400);
  EXPECT_EQ(call("/end?domain=b"), 200);
  EXPECT_EQ(metric("lovagehold_evacuated_domains"), 0);
  EXPECT_EQ(call("/end?domain=b"), 400);
}

// Guards against a server that turns cold again without a command, against one command for each of
// its heartbeats, and against commands without a limit for cold servers.
TEST_F(ControlHostTest, ServerThatTurnsColdUpdatesItsEntryOnce)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/heartbeat?sequence=1", 200));
  const double joined = metric("lovagehold_applied_index");
  EXPECT_EQ(call("/heartbeat?sequence=2&warmup=3000"), 200);
  EXPECT_EQ(call("/configure"), 200);
  EXPECT_EQ(metric("lovagehold_applied_index"), joined + 1);
  for (const char* sequence : { "3", "4", "5" }) {
    EXPECT_EQ(call("/heartbeat?warmup=3000&sequence=" + std::string(sequence)), 200);
  }
  // Acknowledged after all commands before it have been applied.
  EXPECT_EQ(call("/leave?id=other&incarnation=1"), 200);
  EXPECT_EQ(metric("lovagehold_applied_index"), joined + 3);
  EXPECT_EQ(metric("lovagehold_servers"), 1);
}

// Guards against made-up leaves that fill the replicated log.
TEST_F(ControlHostTest, LeavesOfUnknownServersAreLimited)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  const TimePoint begin = Clock::now();
  const double index = metric("lovagehold_commit_index");
  unsigned refused = 0;
  for (int i = 0; i < 200; ++i) {
    refused += call("/leave?incarnation=1&id=x-" + std::to_string(i)) == 503 ? 1 : 0;
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  EXPECT_GT(refused, 0U);
  EXPECT_LE(metric("lovagehold_commit_index") - index, 51 + 2 * seconds);
  // A repeated leave costs nothing, and a server that is known leaves all the same.
  EXPECT_EQ(call("/leave?incarnation=1&id=x-0"), 200);
  EXPECT_EQ(call("/heartbeat?id=known"), 200);
  EXPECT_EQ(call("/leave?id=known&incarnation=1"), 200);
  EXPECT_EQ(metric("lovagehold_servers"), 0);
}

// Guards against a group that bears fewer losses than the settings ask for without a sign of it.
TEST_F(ControlHostTest, LeaderServesTheLossesLeft)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  EXPECT_EQ(metric("lovagehold_group_voters"), 1);
  EXPECT_EQ(metric("lovagehold_group_learners"), 0);
  EXPECT_EQ(metric("lovagehold_group_losses_wanted"), 1);
  EXPECT_EQ(metric("lovagehold_group_losses_left"), 0);
  EXPECT_EQ(metric("lovagehold_group_missing_entries"), 0);
  EXPECT_EQ(metric("lovagehold_group_outside_seconds"), 0);
}

// Guards against a host that states losses left which it can't know.
TEST_F(ControlHostTest, HostOutsideTheGroupServesForHowLong)
{
  start(false);
  EXPECT_EQ(call("/else"), 404);
  EXPECT_EQ(metric("lovagehold_group_voters"), 0);
  EXPECT_GT(metric("lovagehold_group_outside_seconds"), 0);
  EXPECT_EQ(render_metrics().find("losses_left"), std::string::npos);
}

std::set<std::string>
metric_names(const std::string& text)
{
  std::set<std::string> names;
  const std::regex pattern("lovagehold_[a-z_]+");
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    std::string name = match->str();
    for (const char* suffix : { "_bucket", "_sum", "_count" }) {
      const std::size_t position = name.rfind(suffix);
      if (position != std::string::npos && position + std::strlen(suffix) == name.size()) {
        name.resize(position);
      }
    }
    names.insert(name);
  }
  return names;
}

// \return the metrics in the tables of the operators' page
std::set<std::string>
documented_names()
{
  std::ifstream page(std::string(LOVAGEHOLD_SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::string rows;
  for (std::string line; std::getline(page, line);) {
    rows += line.rfind("| `lovagehold_", 0) == 0 ? line + "\n" : "";
  }
  return metric_names(rows);
}

// Guards against metrics of a feature that is off.
TEST_F(ControlHostTest, OverflowIsOffByDefault)
{
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  EXPECT_EQ(render_metrics().find("lovagehold_domain_"), std::string::npos);
}

// Guards against metrics that are documented but not served, and the reverse. All features are on.
TEST_F(ControlHostTest, ServedMetricsAreDocumented)
{
  m_domain_overflow = true;
  start(true);
  ASSERT_TRUE(wait_for_status("/leave", 200));
  const EntryHost entry(
    m_context,
    SiteSettings{
      .host = "h", .seeds = { "seed" }, .domain_overflow = true, .failure_domains = { "a", "b" } },
    {},
    m_log);
  // Served only after the first request of an account.
  AccountCounters accounts;
  accounts.count_request(nullptr, RouteKind::Idempotent, {});
  MetricsText text;
  accounts.render(text);
  const std::string served = render_metrics() + entry.render_metrics() + text.text();
  EXPECT_EQ(metric_names(served), documented_names());
}

} // namespace
} // namespace lovagehold
