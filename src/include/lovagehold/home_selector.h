#pragma once

#include "lovagehold/types.h"

#include <string_view>
#include <vector>

namespace lovagehold {

/// Ranks the entry hosts for a service by rendezvous weight (highest random weight, Thaler and
/// Ravishankar 1998), so that a lost host moves only its own services.
/// \param service name of the service
/// \param hosts live entry hosts in any order
/// \param count entries wanted
/// \return the owner first, then successors by weight; among the successors, hosts of failure
/// domains not yet listed come before others. At most \p count entries.
std::vector<HostInfo> select_homes(std::string_view service,
                                   const std::vector<HostInfo>& hosts,
                                   std::size_t count);

/// \return rendezvous weight of the host for the service. The owner has the highest weight; of
/// equal weights the smaller id wins.
std::uint64_t rendezvous_weight(std::string_view service, const HostId& host);

/// \return id of the owner of the service; empty if there is no host.
HostId select_owner(std::string_view service, const std::vector<HostInfo>& hosts);

} // namespace lovagehold
