#pragma once

#include "commands.h"

namespace lovagehold {

/// Compares the evacuations that the hosts apply. Those of the leader are in force; without one,
/// those of any host are.
/// \return a list with an object for each failure domain: "domain", "index" of the order,
/// "withdrawn" (a host still applies an order that is not in force any more), "hosts" that were
/// asked, "following" (number of those that apply the order, or its withdrawal) and "behind" (names
/// of the others, also of those that did not respond)
nlohmann::json merge_evacuation_pages(const std::vector<HostPage>& hosts);

/// \return the lines for a reader about the result of merge_evacuation_pages(); none if it is empty
std::vector<std::string> describe_evacuations(const nlohmann::json& evacuations);

} // namespace lovagehold
