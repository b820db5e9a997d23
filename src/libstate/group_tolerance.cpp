#include "lovagehold/group_tolerance.h"

#include <algorithm>
#include <map>

namespace lovagehold {

namespace {

std::string
count_of(std::size_t count, const std::string& noun)
{
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

// \return why learners don't take the place of voters that are missing or lost
std::string
describe_learners(const GroupTolerance& group)
{
  if (group.learners == 0) {
    return "there is no learner";
  }
  if (group.ready_learners == 0) {
    return "no learner that answers holds the log, of " + std::to_string(group.learners);
  }
  return count_of(group.ready_learners, "learner") +
         (group.ready_learners == 1 ? " holds" : " hold") + " the log and can replace voters";
}

std::vector<std::string>
describe_shortfalls(const GroupTolerance& group, std::size_t wanted_losses)
{
  std::vector<std::string> shortfalls;
  if (group.losses_left && *group.losses_left >= wanted_losses) {
    return shortfalls;
  }
  const std::size_t wanted_voters = 2 * wanted_losses + 1;
  const std::size_t silent = group.voters - group.answering_voters;
  if (silent > 0) {
    shortfalls.push_back(std::to_string(silent) + " of " + count_of(group.voters, "voter") +
                         (silent == 1 ? " doesn't answer" : " don't answer"));
  }
  if (group.voters < wanted_voters) {
    shortfalls.push_back(count_of(group.voters, "voter") + " instead of " +
                         std::to_string(wanted_voters));
  }
  shortfalls.push_back(describe_learners(group));
  return shortfalls;
}

} // namespace

std::size_t
majority_of(std::size_t voters)
{
  return voters / 2 + 1;
}

std::vector<MemberState>
member_states(const Membership& membership,
              const std::vector<MemberProgress>& progress,
              std::uint64_t commit_index,
              Duration reply_limit)
{
  std::vector<MemberState> states;
  states.reserve(membership.size());
  for (const Member& member : membership) {
    const auto known = std::find_if(progress.begin(), progress.end(), [&](const auto& candidate) {
      return candidate.id == member.id;
    });
    const MemberProgress current =
      known == progress.end() ? MemberProgress{ .id = member.id } : *known;
    states.push_back(
      { .member = member,
        .answers = current.since_reply <= reply_limit,
        .missing_entries = commit_index - std::min(commit_index, current.stored_index) });
  }
  return states;
}

GroupTolerance
assess_tolerance(const std::vector<MemberState>& members, std::size_t wanted_losses)
{
  GroupTolerance group;
  std::map<std::string, std::size_t> answering_by_domain;
  for (const MemberState& state : members) {
    if (!state.member.voter) {
      ++group.learners;
      group.ready_learners += state.answers && state.missing_entries == 0 ? 1 : 0;
      continue;
    }
    ++group.voters;
    if (state.answers) {
      ++group.answering_voters;
      ++answering_by_domain[state.member.failure_domain];
    }
  }
  answering_by_domain.erase("");
  const std::size_t majority = majority_of(group.voters);
  if (group.answering_voters >= majority) {
    group.losses_left = group.answering_voters - majority;
  }
  std::size_t most_spared = 0;
  for (const auto& [domain, answering] : answering_by_domain) {
    if (!group.losses_left || answering > *group.losses_left) {
      group.critical_domains.push_back(domain);
    } else if (answering > most_spared) {
      most_spared = answering;
      group.largest_spare_domain = domain;
    }
  }
  group.shortfalls = describe_shortfalls(group, wanted_losses);
  return group;
}

} // namespace lovagehold
