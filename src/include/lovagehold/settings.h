#pragma once

#include "lovagehold/config_parser.h"

#include <optional>

namespace lovagehold {

/// A control host listed in the settings.
struct ControlPeer
{
  HostId id;
  std::string cluster_address;
};

/// Limits on connections and requests from callers.
struct CallerLimits
{
  std::size_t header_bytes = std::size_t{ 16 } << 10;
  std::size_t body_bytes = std::size_t{ 1 } << 30;
  std::size_t connections = 10000;
  std::chrono::milliseconds idle{ 60000 };
  std::chrono::milliseconds header_timeout{ 5000 };
  /// Longest time without data while a request or response body is transferred.
  std::chrono::milliseconds body_idle{ 10000 };
  /// A request body that arrives at a lower average rate is rejected.
  std::uint64_t body_bytes_per_second = 1024;
};

/// Timeouts of connections to servers and other entry hosts.
struct ServerLimits
{
  std::chrono::milliseconds connect{ 250 };
  /// Longest time without progress while a body goes to or comes from the server.
  std::chrono::milliseconds stall{ 5000 };
};

/// Settings of one process.
struct Settings
{
  HostId host;
  std::string failure_domain;
  bool entry_role = false;
  bool control_role = false;
  std::string caller_address;
  std::string cluster_address;
  std::string admin_address;
  std::string data_folder;
  std::vector<ControlPeer> control_peers;
  unsigned threads = 2;
  std::string log_level = "info";
  CallerLimits limits;
  /// How long a host that shuts down still accepts and relays requests; covers the time for which
  /// callers cache its address.
  std::chrono::milliseconds shutdown_grace{ 10000 };
  /// How long a host that shuts down waits after shutdown_grace for its requests to end. Requests
  /// that take longer are cut off.
  std::chrono::milliseconds shutdown_limit{ 600000 };
};

struct SettingsOutcome
{
  Settings settings;
  std::vector<Mistake> mistakes;
};

/// Reads the settings of a process from YAML text.
/// \param file name of the file to put into mistakes
SettingsOutcome parse_settings(const std::string& file, const std::string& content);

} // namespace lovagehold
