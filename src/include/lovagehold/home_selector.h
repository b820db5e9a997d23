#pragma once

#include "lovagehold/types.h"

#include <string_view>
#include <vector>

namespace lovagehold {

/// Selects the homes of a service: the entry host that owns it and the hosts that follow as its
/// successors. Uses rendezvous hashing (highest random weight, Thaler and Ravishankar 1998), so
/// that the loss of a host moves only the services that it owned.
/// \param service name of the service
/// \param hosts live hosts in any order; hosts without a caller address are ignored
/// \param count number of homes to select
/// \return the owner first, then successors by descending weight; among the successors, hosts of
/// failure domains not yet listed come before others. At most \p count hosts.
std::vector<HostInfo> select_homes(std::string_view service,
                                   const std::vector<HostInfo>& hosts,
                                   std::size_t count);

/// \return rendezvous weight of the host for the service. The host with the highest weight owns the
/// service; the smaller id breaks ties.
std::uint64_t rendezvous_weight(std::string_view service, const HostId& host);

/// \return id of the owner of the service; empty if there is no entry host.
HostId select_owner(std::string_view service, const std::vector<HostInfo>& hosts);

} // namespace lovagehold
