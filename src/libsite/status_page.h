#pragma once

#include "group_status.h"
#include "lovagehold/admin_server.h"
#include "lovagehold/gateway.h"
#include "lovagehold/state_machine.h"

#include <set>

namespace lovagehold {

/// Another host of the system, as known to this host.
struct KnownHost
{
  HostId id;
  std::string failure_domain;
  /// "IP:port" of its status page.
  std::string status_address;
};

/// Content of a host's status page.
struct SiteStatus
{
  HostId host;
  /// Version of the active routing configuration; 0 if there is none.
  std::uint64_t version = 0;
  /// On an entry host: it accepts callers. On a control host: it is in contact with its group.
  bool ready = false;
  /// Time since which acknowledged changes may be missing; Duration::max() if that is not known.
  Duration state_age = Duration::max();
  std::vector<KnownHost> hosts;
  std::vector<GatewayServiceStatus> services;
  /// Set on control hosts only.
  std::optional<GroupStatus> group;
  /// The evacuations that the host applies.
  Evacuations evacuations;
  /// On control hosts: accounts near or over their allowance.
  std::set<std::string> restricted_accounts;
};

/// \return the IP of \p address with the port of \p port_source
std::string with_port_of(const std::string& address, const std::string& port_source);

/// \return the response to GET /status, as JSON that lovagectl reads
AdminResponse make_status_page(const SiteStatus& status);

} // namespace lovagehold
