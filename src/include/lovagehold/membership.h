#pragma once

#include "lovagehold/types.h"

#include <vector>

namespace lovagehold {

/// A host that has joined and not left.
struct HostMember
{
  HostInfo host;
  /// View in which this incarnation joined.
  std::uint64_t joined_view = 0;
};

/// A host whose session ended before it released its services. Its process may still dispatch with
/// SlotShare::Isolated until it rejoins with a new incarnation, releases its services, or the time
/// limit of its isolation passes.
struct DepartedHost
{
  HostId id;
  std::uint64_t incarnation = 0;
  /// Entry hosts, still joined at the departure, that were members in every view that the departed
  /// host may have acted on. It can only have owned services for which its rendezvous weight
  /// exceeds that of all of them.
  std::vector<HostId> known_members;
};

/// The replicated membership as of one view.
struct MembershipView
{
  /// Log index of the last membership change; identifies the view.
  std::uint64_t view = 0;
  std::vector<HostMember> members;
  /// Hosts that left without releasing their services.
  std::vector<DepartedHost> unreleased;
};

} // namespace lovagehold
