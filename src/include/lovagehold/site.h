#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/control_call.h"
#include "lovagehold/gateway.h"

namespace lovagehold {

/// By how much the requests of an account, summed over all hosts, may exceed its allowance: in each
/// window, (rate * window + burst) * (1 + overage) + slack.
struct AllowanceBounds
{
  std::chrono::milliseconds window{ 5000 };
  double overage = 0.1;
  double slack = 20;

  bool operator==(const AllowanceBounds&) const = default;
};

/// By how much the requests to a cold server, summed over all hosts, may exceed its rate: in each
/// second, rate * overage + slack.
struct WarmupBounds
{
  double overage = 1.5;
  double slack = 8;

  bool operator==(const WarmupBounds&) const = default;
};

/// Settings of one process, as given by the deployment.
struct SiteSettings
{
  HostId host;
  std::string failure_domain;
  /// "IP:port" listeners for callers and for the readiness check; empty on hosts without the entry
  /// role.
  std::string entry_address;
  std::string readiness_address;
  /// "IP:port" listener for servers and operators; empty on hosts without the control role.
  std::string control_address;
  /// "IP:port" listener for callers that look up entry hosts; empty for none.
  std::string directory_address;
  /// "IP:port" listener for the other hosts of the system.
  std::string cluster_address;
  /// Cluster addresses of some control hosts. No other hosts are known at the start.
  std::vector<std::string> seeds;
  /// Set if the system starts for the first time: the seeds then found the control group.
  bool first_start = false;
  /// "IP:port" listener for the metrics, status and event pages; empty for none.
  std::string metrics_address;
  std::string data_folder;
  /// Number of control hosts whose disks may be lost at the same time.
  unsigned tolerated_losses = 1;
  /// Limit on open file descriptors.
  std::size_t max_descriptors = 1024;
  /// Bandwidth of the host's network link in Mbit/s; 0 if unknown.
  double link_mbps = 0;
  RetryBudgetOptions retry_budget;
  /// Limit on the health checks that a server receives per second from all entry hosts together.
  double probes_per_second = 60;
  /// Time between the signal to stop and the moment at which the deployment kills the process.
  std::chrono::milliseconds shutdown_grace{ 6000 };
  /// How long a request that has crashed three servers is not sent to another one.
  std::chrono::seconds quarantine{ 60 };
  /// Lets the control group decide how many requests leave their failure domain; see
  /// decides_overflow().
  bool domain_overflow = false;
  /// Upper limit on the time for which callers may cache a reply of the directory.
  std::chrono::milliseconds max_directory_ttl{ 5000 };
  /// All failure domains of the deployment; empty if the settings don't name them.
  std::vector<std::string> failure_domains;
  AllowanceBounds allowance;
  WarmupBounds warmup;

  bool operator==(const SiteSettings&) const = default;
};

/// \return the limits of the servers for all addresses but that for callers: a quarter of the
/// descriptors each
AdminServerOptions admin_options(const SiteSettings& settings);

/// \return whether the control group decides how many requests leave their failure domain: if
/// domain_overflow is set and there is more than one failure domain
inline bool
decides_overflow(const SiteSettings& settings)
{
  return settings.domain_overflow && settings.failure_domains.size() > 1;
}

/// Checks whether the process can work with the settings. \return all mistakes found
std::vector<Error> check_settings(const SiteSettings& settings);

/// Translates between the deployment's calls and documents and the project's types.
struct SiteProtocol
{
  std::function<ControlCall(const AdminRequest&)> decode_call;
  std::function<AdminResponse(const ControlReply&)> encode_reply;
  /// Decodes a routing configuration that was accepted earlier.
  std::function<Result<RoutingConfig>(const std::string& document)> decode_routing;
  GatewayHeaders headers;
};

/// Reads the current settings.
using ReadSettings = std::function<Result<SiteSettings>()>;

/// Runs the process until it receives SIGTERM or SIGINT. Reads the settings again on SIGHUP and
/// every 5 s, as they may change without a signal. The seeds, the grace period and the directory
/// TTL take effect at once, all other settings at the next start.
/// \return an error if the process cannot start; the first one of check_settings() if the settings
/// are invalid
Result<void> run_site(const SiteSettings& settings,
                      const SiteProtocol& protocol,
                      const ReadSettings& read_settings);

} // namespace lovagehold
