#pragma once

#include "lovagehold/error.h"
#include "lovagehold/event_log.h"
#include "lovagehold/retry_budget.h"
#include "lovagehold/routing_config.h"
#include "lovagehold/server_selector.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace lovagehold {

/// Names and formats of the headers that servers and callers use.
struct GatewayHeaders
{
  std::string request_id;
  /// Milliseconds that the caller still waits.
  std::string deadline;
  /// Identity of the server that a request is meant for.
  std::string expected_server;
  /// Identity of the server that answers.
  std::string server_id;
  /// Present if the server did not run the request.
  std::string not_executed;
  /// Load of the server.
  std::string load;
  std::function<std::optional<LoadReport>(std::string_view)> parse_load;
};

struct GatewayOptions
{
  HostId host;
  std::string failure_domain;
  /// "IP:port" where callers connect.
  std::string listen_address;
  GatewayHeaders headers;
  RetryBudgetOptions retry_budget;
  /// Connections of callers.
  std::size_t max_connections = 1500;
  /// Servers asked for their load before a choice.
  std::size_t probes = 3;
  /// Probes that a server may get each second from all hosts together.
  double probes_per_second = 60;
  std::chrono::milliseconds connect_timeout{ 400 };
  /// A choice waits for probes this long; the round trip between failure domains and the probe's
  /// work on the server take up to 10 ms.
  std::chrono::milliseconds probe_wait{ 20 };
  std::chrono::milliseconds probe_timeout{ 250 };
  /// Rate of this host's link in Mbit/s; 0 if it is not known.
  double link_mbps = 0;
  std::uint64_t seed = 1;
};

/// Counters since the start.
struct GatewayCounters
{
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t probes = 0;
  std::uint64_t server_connections = 0;
};

/// A service as a gateway has it.
struct GatewayServiceStatus
{
  ServiceName name;
  std::size_t servers = 0;
  /// Requests of this host at its servers.
  std::size_t in_progress = 0;
};

/// Accepts callers and forwards their requests to servers by the routing configuration. Chooses the
/// server by itself from load reports. Runs on the thread of its context. Not thread-safe.
class Gateway
{
public:
  Gateway(boost::asio::io_context& context, GatewayOptions options, EventLog& log);
  ~Gateway();

  /// Listens for callers.
  Result<void> start();

  /// Puts a routing configuration in force for all later requests.
  void set_routing(RoutingConfig config);

  /// Replaces the servers that requests may go to.
  void set_servers(const std::vector<ServerInfo>& servers, TimePoint now);

  /// Entry hosts that callers are sent to; they share the retry budgets and the probes.
  void set_entry_hosts(std::size_t hosts);

  /// Closes connections as soon as their requests are answered, and refuses requests that are
  /// unlikely to end in time.
  /// \param end when the process ends at the latest
  void begin_shutdown(TimePoint end);

  /// \return requests in progress
  std::size_t in_progress() const;

  /// \return connections of callers
  std::size_t connections() const;

  /// Version of the routing configuration in force; 0 if there is none.
  std::uint64_t version() const;

  const GatewayCounters& counters() const;

  std::vector<GatewayServiceStatus> services() const;

  /// \return counters and latency histograms in the Prometheus text format
  std::string render_metrics() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace lovagehold
