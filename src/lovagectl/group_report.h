#pragma once

#include "commands.h"

namespace lovagehold {

/// Puts together what the control hosts tell of their group on their status pages.
/// \return the leader's view with its address as "leader"; if several hosts say that they lead,
/// that of the newest term, and without any, only the hosts outside. In both cases "outside" lists
/// the hosts that are not in the group, with "address" and, where it is known, "outside_ms". Null
/// if no page has anything of a group
nlohmann::json merge_group_pages(const std::vector<HostPage>& hosts);

/// \return the lines for a reader about the result of merge_group_pages(); none for null
std::vector<std::string> describe_group(const nlohmann::json& group);

} // namespace lovagehold
