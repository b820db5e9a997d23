#pragma once

#include "commands.h"

#include <set>

namespace lovagehold {

/// Puts together what the control hosts tell of their group on their status pages.
/// \return the leader's view with its address as "leader"; if several hosts say that they lead,
/// that of the newest term, and without any, only the hosts outside. In both cases "outside" lists
/// the hosts that are not in the group, with "address" and, where it is known, "outside_ms". Null
/// if no page has anything of a group
nlohmann::json merge_group_pages(const std::vector<HostPage>& hosts);

/// \return the lines for a reader about the result of merge_group_pages(); none for null
std::vector<std::string> describe_group(const nlohmann::json& group);

/// \return the accounts that any control host names as near or over their allowance
std::set<std::string> restricted_accounts(const std::vector<HostPage>& hosts);

/// \return the line for a reader about restricted_accounts(); none without any
std::vector<std::string> describe_restrictions(const std::set<std::string>& accounts);

} // namespace lovagehold
