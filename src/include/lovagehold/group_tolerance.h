#pragma once

#include "lovagehold/consensus.h"

#include <optional>
#include <string>
#include <vector>

/// Members of a replicated group, and the losses that it can still bear.
///
/// A host is one of three things:
/// - A *voter* elects the leader and acknowledges commands. The group works while a majority of the
///   voters runs: with 2n + 1 voters it bears the loss of n.
/// - A *learner* receives the log and has no vote. If it holds the log, it is made a voter when one
///   is missing or lost; until then it adds nothing to the losses that can be borne.
/// - A host *outside* the group asks to join it. Its log is not updated.
///
/// A lost voter counts against the majority until a learner has taken its place. Only the leader
/// knows which members answer, so only it can tell how many losses are left.
namespace lovagehold {

/// A member as its leader sees it.
struct MemberState
{
  Member member;
  /// It has replied recently; true for the leader itself.
  bool answers = false;
  /// Committed entries that it is not known to have stored. A few at any time are normal.
  std::uint64_t missing_entries = 0;
};

/// Which losses a group can bear. Hosts that are lost keep their vote until they are replaced.
struct GroupTolerance
{
  std::size_t voters = 0;
  /// Voters that answer.
  std::size_t answering_voters = 0;
  std::size_t learners = 0;
  /// Learners that answer and hold the log, and so can replace a lost voter.
  std::size_t ready_learners = 0;
  /// Largest number for which any as many of the answering voters may fail and a majority of the
  /// voters still answers. Nothing if there is no majority even now.
  std::optional<std::size_t> losses_left;
  /// Failure domains whose loss ends the majority, in alphabetical order. Members without a failure
  /// domain are in none.
  std::vector<std::string> critical_domains;
  /// The failure domain with the most answering voters of those whose loss leaves a majority; empty
  /// if there is none. Of equal ones the first in alphabetical order.
  std::string largest_spare_domain;
  /// Why losses_left is below the number asked for, in words for the operator, such as "2 of 5
  /// voters don't answer"; empty if it is not below.
  std::vector<std::string> shortfalls;
};

/// \return the smallest number of voters that is a majority of \p voters
std::size_t majority_of(std::size_t voters);

/// \return the members with what the leader knows of them
/// \param progress see Consensus::progress()
/// \param commit_index index of the last committed entry
/// \param reply_limit a member answers if its last reply is not older than this
std::vector<MemberState> member_states(const Membership& membership,
                                       const std::vector<MemberProgress>& progress,
                                       std::uint64_t commit_index,
                                       Duration reply_limit);

/// \return the losses that the group can bear
/// \param members all members, see member_states()
/// \param wanted_losses number of losses that the group is to bear
GroupTolerance assess_tolerance(const std::vector<MemberState>& members, std::size_t wanted_losses);

} // namespace lovagehold
