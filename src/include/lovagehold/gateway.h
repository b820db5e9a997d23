#pragma once

#include "lovagehold/allowance_gate.h"
#include "lovagehold/crash_suspects.h"
#include "lovagehold/error.h"
#include "lovagehold/event_log.h"
#include "lovagehold/request_limiter.h"
#include "lovagehold/retry_budget.h"
#include "lovagehold/routing_change.h"
#include "lovagehold/server_selector.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace lovagehold {

/// Names of the HTTP headers exchanged with servers and callers, and the parser for the load
/// header.
struct GatewayHeaders
{
  std::string request_id;
  /// Remaining time in milliseconds that the caller is willing to wait.
  std::string deadline;
  /// Id of the server that a request is addressed to. A server with another id must reject it.
  std::string expected_server;
  /// Id of the server that sent the response.
  std::string server_id;
  /// Present in a response if the server did not execute the request.
  std::string not_executed;
  /// Has the value 1 in each response of a server that is leaving.
  std::string leaving;
  /// Requests per second that the server takes from all hosts together, in each of its responses
  /// for as long as it has a limit.
  std::string limit;
  /// Key of the caller's account in a request. Never forwarded.
  std::string account_key;
  /// Name of the caller's account, set by the gateway in requests to servers.
  std::string account;
  /// Milliseconds for which the server stays cold, in its responses to health checks.
  std::string warmup_left;
  /// Current load of the server, decoded by parse_load.
  std::string load;
  std::function<std::optional<LoadReport>(std::string_view)> parse_load;
};

/// Asks for permission to send a request to a server that names a request limit. The handler is
/// called once, within some 100 ms.
using RequestPermit =
  std::function<void(const PermitQuery& query, std::function<void(const PermitAnswer&)> handler)>;

/// Asks for permission to forward a request of an account with a rate. The handler is called once,
/// at once or within some 100 ms.
using RequestAllowance = std::function<void(const std::shared_ptr<const ClientAccount>& account,
                                            std::function<void(const AllowanceDecision&)> handler)>;

struct GatewayOptions
{
  HostId host;
  std::string failure_domain;
  /// "IP:port" on which the gateway accepts callers.
  std::string listen_address;
  GatewayHeaders headers;
  RetryBudgetOptions retry_budget;
  /// Maximum number of open caller connections; further ones are closed on accept.
  std::size_t max_connections = 1500;
  /// Maximum number of servers probed for their load before one is selected.
  std::size_t probes = 3;
  /// Limit on the probes that a server receives per second from all entry hosts together.
  double probes_per_second = 60;
  std::chrono::milliseconds connect_timeout{ 400 };
  /// Time that server selection waits for probe results. A cross-domain round trip plus the health
  /// check on the server takes up to 10 ms.
  std::chrono::milliseconds probe_wait{ 20 };
  std::chrono::milliseconds probe_timeout{ 250 };
  /// For this time after the first routing configuration, callers' connections are closed after
  /// each response. Hosts that restart together become ready one after the other; callers that
  /// found only the first ones are spread over all of them by this.
  std::chrono::milliseconds spread_time{ 0 };
  /// Bandwidth of this host's network link in Mbit/s. On a slow link request bodies are paced; 0 if
  /// unknown, without pacing.
  double link_mbps = 0;
  /// Longest silence of a server in the middle of a response once the route's timeout has passed.
  std::chrono::milliseconds response_idle{ 10000 };
  /// See ColdServerShareOptions::depth.
  double cold_share_depth = ColdServerShareOptions{}.depth;
  /// Without it, limited servers get no requests.
  RequestPermit request_permit;
  /// Without it, accounts are not limited.
  RequestAllowance request_allowance;
  /// Counts what take_domain_loads() reports.
  bool domain_overflow = false;
  CrashSuspectsOptions crash_suspects;
  /// Called with new evidence that the other hosts should know. May be empty.
  std::function<void(const CrashEvidence&)> on_crash_evidence;
  std::uint64_t seed = 1;
};

/// Counters since the gateway was created.
struct GatewayCounters
{
  std::uint64_t requests = 0;
  /// Responses forwarded completely.
  std::uint64_t served = 0;
  /// Requests refused by the gateway with status 503.
  std::uint64_t refused = 0;
  /// Requests that ended with another error or a truncated response.
  std::uint64_t failed = 0;
  /// Requests whose caller disconnected.
  std::uint64_t abandoned = 0;
  /// Attempts after a failed one.
  std::uint64_t retries = 0;
  /// Attempts started while a slow one is still active.
  std::uint64_t hedges = 0;
  /// Health checks sent.
  std::uint64_t probes = 0;
  /// Connections opened to servers.
  std::uint64_t server_connections = 0;
  std::uint64_t connections_refused = 0;
  /// Exceptions that ended the serving of a connection, an attempt or a probe.
  std::uint64_t exceptions = 0;
  /// Attempts whose server's process ended while it held the request.
  std::uint64_t server_crashes = 0;
  /// Requests that were not sent because they are quarantined.
  std::uint64_t quarantined = 0;
  /// Permits for limited servers that were asked for, and those that were granted.
  std::uint64_t permits_requested = 0;
  std::uint64_t permits_granted = 0;
  /// Requests sent to cold servers, and requests that waited because the share of cold servers
  /// admitted none.
  std::uint64_t cold_requests = 0;
  std::uint64_t cold_waits = 0;
  /// Servers that turned cold or warm without a log line of their own.
  std::uint64_t unlogged_cold_changes = 0;
  /// Changes of the routing configuration, and the time that this thread spent on them.
  std::uint64_t routing_changes = 0;
  Duration routing_change_time{};
};

/// A service's servers and load as seen by one gateway.
struct GatewayServiceStatus
{
  ServiceName name;
  std::size_t servers = 0;
  /// Requests from this host that are being processed by its servers.
  std::size_t in_progress = 0;
};

/// HTTP reverse proxy of an entry host. Accepts caller connections and forwards each request to a
/// server according to the routing configuration. Servers are selected locally from their load
/// reports, without coordination with other hosts. Runs on the thread of its io_context; not
/// thread-safe.
class Gateway
{
public:
  Gateway(boost::asio::io_context& context, GatewayOptions options, EventLog& log);
  ~Gateway();

  /// Starts to accept caller connections.
  Result<void> start();

  /// Makes \p config the active routing configuration for all later requests.
  void set_routing(const RoutingConfig& config);

  /// Changes the active routing configuration for all later requests.
  /// \return false, without any effect, if the change is not based on the active version
  bool change_routing(const RoutingChange& change);

  /// Counts a change of the routing configuration.
  /// \param elapsed time spent on decoding it and putting it in force
  void count_routing_change(Duration elapsed);

  /// Replaces the set of servers that requests may be forwarded to.
  void set_servers(const std::vector<ServerInfo>& servers, TimePoint now);

  /// Replaces the servers of one service.
  void set_servers(const ServiceName& service,
                   const std::vector<ServerInfo>& servers,
                   TimePoint now);

  /// Replaces the set of evacuated failure domains. From now on no request and no health check is
  /// sent to their servers; requests already running there continue. When an evacuation ends, the
  /// servers of the domain are cold for RoutedService::warmup.
  void set_evacuated(std::set<std::string> domains, TimePoint now);

  /// Sets the number of entry hosts that receive caller traffic. The retry budgets and the probe
  /// rate limits are divided by it.
  void set_entry_hosts(std::size_t hosts);

  /// Adds evidence of other hosts about requests that crash their servers.
  void add_crash_evidence(const std::vector<CrashEvidence>& evidence, TimePoint now);

  /// \return by service, the load of the servers of the local failure domain and the traffic since
  /// the last call; only services with requests since then
  std::map<ServiceName, DomainServiceLoad> take_domain_loads(TimePoint now);

  /// Sets the shares of the requests that leave the failure domain.
  /// \param as_of when they were decided
  void set_domain_shares(const std::vector<ServiceShares>& shares, TimePoint as_of);

  /// Starts a graceful shutdown: closes each connection after its current request, and refuses
  /// requests that are unlikely to finish in time. Requests that have no response shortly before
  /// the deadline are answered with an error then.
  /// \param deadline latest time at which the process exits
  void begin_shutdown(TimePoint deadline, TimePoint now);

  /// \return number of requests being served
  std::size_t in_progress() const;

  /// \return number of open caller connections
  std::size_t connections() const;

  /// \return version of the active routing configuration; 0 if there is none
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
