#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/gateway.h"

namespace lovagehold {

/// Another host as this one knows it.
struct KnownHost
{
  HostId id;
  std::string failure_domain;
  /// "IP:port" of its status page.
  std::string status_address;
};

/// What a host on the platform tells about itself.
struct SiteStatus
{
  HostId host;
  /// Version of the routing configuration in force.
  std::uint64_t version = 0;
  /// An entry host takes callers; a control host is in contact with its group.
  bool ready = false;
  std::vector<KnownHost> hosts;
  std::vector<GatewayServiceStatus> services;
};

/// \return an address with the IP of \p address and the port of \p port_source
std::string with_port_of(const std::string& address, const std::string& port_source);

/// GET /status of the metrics address, in the form that lovagectl reads.
AdminResponse make_status_page(const SiteStatus& status);

} // namespace lovagehold
