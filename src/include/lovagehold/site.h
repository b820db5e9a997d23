#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/control_call.h"
#include "lovagehold/gateway.h"

namespace lovagehold {

/// What a deployment tells one process.
struct SiteSettings
{
  HostId host;
  std::string failure_domain;
  /// "IP:port" for callers and for the readiness check; empty on hosts without the entry role.
  std::string entry_address;
  std::string readiness_address;
  /// "IP:port" for servers and the operator; empty on hosts without the control role.
  std::string control_address;
  /// "IP:port" for callers that ask where to connect.
  std::string directory_address;
  /// "IP:port" for the other hosts of the system.
  std::string cluster_address;
  /// Cluster addresses of some control hosts, the only other hosts known at the start.
  std::vector<std::string> seeds;
  /// The system starts for the first time, so that the seeds found the control group.
  bool first_start = false;
  /// "IP:port" of the metrics page; empty for none.
  std::string metrics_address;
  std::string data_folder;
  /// Control hosts whose disks may be lost at the same time.
  unsigned tolerated_losses = 1;
  std::size_t max_descriptors = 1024;
  /// Rate of the host's own link in Mbit/s; 0 if it is not known.
  double link_mbps = 0;
  RetryBudgetOptions retry_budget;
  /// Health checks that a server may get each second from all hosts together.
  double probes_per_second = 60;
  /// A process is killed this long after it was told to stop.
  std::chrono::milliseconds shutdown_grace{ 6000 };
  /// Longest time for which callers may keep an answer of the directory.
  std::chrono::milliseconds max_directory_keep{ 5000 };

  bool operator==(const SiteSettings&) const = default;
};

/// Looks for settings with which the process can't do its work. \return all mistakes found
std::vector<Error> check_settings(const SiteSettings& settings);

/// How the deployment speaks: decodes its calls and messages into the project's types.
struct SiteProtocol
{
  std::function<ControlCall(const AdminRequest&)> decode_call;
  std::function<AdminResponse(const ControlReply&)> encode_reply;
  /// Decodes a routing configuration that was accepted before.
  std::function<Result<RoutingConfig>(const std::string& document)> decode_routing;
  GatewayHeaders headers;
};

/// Reads the settings as they are now.
using ReadSettings = std::function<Result<SiteSettings>()>;

/// Runs the process until it is told to stop. Reads the settings again at SIGHUP and every 5 s, as
/// they may change without a signal: seeds, the grace period and the time for which directory
/// answers are kept take effect at once, the rest at the next start.
/// \return an error if it can't start
Result<void> run_site(const SiteSettings& settings,
                      const SiteProtocol& protocol,
                      const ReadSettings& read_settings);

} // namespace lovagehold
