#pragma once

#include "lovagehold/types.h"

#include <vector>

namespace lovagehold {

/// A live host of a membership view.
struct HostMember
{
  HostInfo host;
  /// View in which this incarnation joined.
  std::uint64_t joined_view = 0;
};

/// A host whose session ended without a release: its process may still dispatch on the isolated
/// share until it returns with a new incarnation, releases, or its isolation ends.
struct DepartedHost
{
  HostId id;
  std::uint64_t incarnation = 0;
  /// Members at the departure that the host is known to have competed with in every view that it
  /// may have acted on. It can only have owned services for which it outweighs all of them.
  std::vector<HostId> known_members;
};

/// The replicated membership as of one view.
struct MembershipView
{
  /// Log index of the last membership command; names the view.
  std::uint64_t view = 0;
  std::vector<HostMember> members;
  std::vector<DepartedHost> unreleased;
};

} // namespace lovagehold
