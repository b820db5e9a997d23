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

void
render_group_metrics(MetricsText& text, const GroupStatus& group)
{
  const auto gauge = [&text](const char* name, const char* help, double value) {
    text.begin(name, "gauge", help);
    text.sample({}, value);
  };
  gauge("lovagehold_group_members",
        "Members of the control group.",
        static_cast<double>(group.members.size()));
  gauge("lovagehold_group_voters",
        "Members that count towards a majority, as in this host's log.",
        static_cast<double>(group.count(true)));
  gauge("lovagehold_group_learners",
        "Members that receive the log and may become voters, as in this host's log.",
        static_cast<double>(group.count(false)));
  gauge("lovagehold_group_losses_wanted",
        "Losses of control hosts at the same time that the settings ask for.",
        static_cast<double>(group.wanted_losses));
  gauge("lovagehold_group_outside_seconds",
        "Time for which this host has been outside the group, as no member or without a leader.",
        std::chrono::duration<double>(group.outside).count());
  gauge("lovagehold_group_joining",
        "Hosts outside the group that ask this host to join.",
        static_cast<double>(group.joining.size()));
  if (group.tolerance) {
    gauge("lovagehold_group_losses_left",
          "Control hosts that may still be lost; -1 without a majority. Served by the leader only.",
          group.tolerance->losses_left ? static_cast<double>(*group.tolerance->losses_left) : -1);
    gauge("lovagehold_group_missing_entries",
          "Committed entries that the member furthest behind lacks. Served by the leader only.",
          static_cast<double>(group.most_missing_entries()));
  }
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
