#include "group_status.h"

#include <algorithm>

namespace lovagehold {

std::size_t
GroupStatus::count(bool voters) const
{
  return static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [voters](const MemberState& state) {
      return state.member.voter == voters;
    }));
}

std::uint64_t
GroupStatus::most_missing_entries() const
{
  std::uint64_t most = 0;
  for (const MemberState& state : members) {
    most = std::max(most, state.missing_entries);
  }
  return most;
}

GroupStatus
make_group_status(const std::string& address,
                  const ReplicaStatus& replica,
                  std::size_t wanted_losses,
                  Duration reply_limit)
{
  GroupStatus group{ .address = address,
                     .leads = replica.role == ConsensusRole::Leader,
                     .term = replica.term,
                     .members = member_states(
                       replica.membership, replica.progress, replica.commit, reply_limit),
                     .wanted_losses = wanted_losses,
                     .outside = replica.outside,
                     .joining = replica.joining };
  if (group.leads) {
    group.tolerance = assess_tolerance(group.members, wanted_losses);
  }
  return group;
}

} // namespace lovagehold
