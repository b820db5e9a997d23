#include "lovagehold/group_tolerance.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using Strings = std::vector<std::string>;

constexpr std::uint64_t kSeed = 20261207;
constexpr int kGroups = 500;

MemberState
voter(const std::string& domain, bool answers = true)
{
  return { .member = { .voter = true, .failure_domain = domain }, .answers = answers };
}

MemberState
learner(bool answers, std::uint64_t missing_entries)
{
  return { .answers = answers, .missing_entries = missing_entries };
}

// \return whether a majority of all voters is left after the loss of those selected by the bits
bool
keeps_majority(const std::vector<MemberState>& members, unsigned lost)
{
  std::size_t voters = 0;
  std::size_t left = 0;
  for (std::size_t i = 0; i < members.size(); ++i) {
    voters += members[i].member.voter ? 1 : 0;
    left += members[i].member.voter && members[i].answers && (lost >> i & 1U) == 0 ? 1 : 0;
  }
  return left * 2 > voters;
}

// Guards against a number of losses that the group is said to bear, but does not, and against one
// that is too low: compares it with all sets of lost voters.
TEST(GroupTolerance, LossesLeftAreTheMostThatAnyVotersMayFail)
{
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kGroups;
  const rc::detail::TestResult result = rc::detail::checkTestable(
    [] {
      std::vector<MemberState> members;
      unsigned running = 0;
      const auto count = *rc::gen::inRange<unsigned>(1, 10);
      for (unsigned i = 0; i < count; ++i) {
        members.push_back(voter(*rc::gen::element<std::string>("", "a", "b", "c"),
                                *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } })));
        members.back().member.voter =
          *rc::gen::weightedElement<bool>({ { 4, true }, { 1, false } });
        running |= members.back().member.voter && members.back().answers ? 1U << i : 0;
      }
      std::optional<std::size_t> expected;
      for (std::size_t losses = 0; losses <= count; ++losses) {
        bool any_may_fail = true;
        bool possible = false;
        for (unsigned lost = 0; lost < 1U << count; ++lost) {
          if ((lost & ~running) == 0 &&
              static_cast<std::size_t>(__builtin_popcount(lost)) == losses) {
            possible = true;
            any_may_fail = any_may_fail && keeps_majority(members, lost);
          }
        }
        if (possible && any_may_fail) {
          expected = losses;
        }
      }
      const GroupTolerance group = assess_tolerance(members, 1);
      RC_ASSERT(group.losses_left == expected);
      for (const std::string domain : { "a", "b", "c" }) {
        unsigned lost = 0;
        for (unsigned i = 0; i < count; ++i) {
          lost |= members[i].member.failure_domain == domain ? running & 1U << i : 0;
        }
        const bool critical =
          std::count(group.critical_domains.begin(), group.critical_domains.end(), domain) > 0;
        RC_ASSERT(critical == (lost != 0 && !keeps_majority(members, lost)));
      }
    },
    rc::detail::TestMetadata{},
    params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

// Guards against a group that is short of voters without a word on the reason.
TEST(GroupTolerance, NamesWhyItBearsLessThanAskedFor)
{
  const std::vector<MemberState> whole{
    voter("a"), voter("a"), voter("b"), voter("c"), voter("c")
  };
  EXPECT_EQ(assess_tolerance(whole, 2).losses_left, 2U);
  EXPECT_EQ(assess_tolerance(whole, 2).shortfalls, Strings());
  std::vector<MemberState> silent = whole;
  silent[3].answers = false;
  silent[4].answers = false;
  silent.push_back(learner(true, 700));
  EXPECT_EQ(assess_tolerance(silent, 2).losses_left, 0U);
  EXPECT_EQ(
    assess_tolerance(silent, 2).shortfalls,
    (Strings{ "2 of 5 voters don't answer", "no learner that answers holds the log, of 1" }));
  EXPECT_EQ(assess_tolerance({ voter("a"), voter("b"), voter("c") }, 2).shortfalls,
            (Strings{ "3 voters instead of 5", "there is no learner" }));
  EXPECT_EQ(assess_tolerance({ voter("a"), voter("b", false) }, 0).losses_left, std::nullopt);
  EXPECT_EQ(assess_tolerance({ voter("a"), voter("b", false) }, 0).shortfalls,
            (Strings{ "1 of 2 voters doesn't answer", "there is no learner" }));
}

// Guards against a failure domain whose loss would end the majority and that nobody names.
TEST(GroupTolerance, NamesTheDomainsThatMayNotBeLost)
{
  const GroupTolerance uneven = assess_tolerance(
    { voter("a"), voter("a"), voter("a"), voter("b"), voter("c"), voter("c", false) }, 2);
  EXPECT_EQ(uneven.critical_domains, Strings{ "a" });
  EXPECT_EQ(uneven.largest_spare_domain, "b");
  const GroupTolerance spread =
    assess_tolerance({ voter("a"), voter("b"), voter("b"), voter("c"), voter("c") }, 2);
  EXPECT_EQ(spread.critical_domains, Strings());
  EXPECT_EQ(spread.largest_spare_domain, "b");
  EXPECT_EQ(assess_tolerance({ voter(""), voter(""), voter("") }, 1).critical_domains, Strings());
}

// Guards against a member that counts as running before its leader has heard from it, or long
// after.
TEST(GroupTolerance, MemberAnswersOnlyIfItHasRepliedRecently)
{
  const Membership membership{ { .id = 1 }, { .id = 2 }, { .id = 3 }, { .id = 4 } };
  const std::vector<MemberProgress> progress{
    { .id = 1, .stored_index = 12, .since_reply = Duration::zero() },
    { .id = 2, .stored_index = 4, .since_reply = milliseconds(700) },
    { .id = 3, .stored_index = 10, .since_reply = milliseconds(701) },
  };
  const std::vector<MemberState> states =
    member_states(membership, progress, 10, milliseconds(700));
  ASSERT_EQ(states.size(), 4U);
  EXPECT_TRUE(states[0].answers);
  EXPECT_EQ(states[0].missing_entries, 0U);
  EXPECT_TRUE(states[1].answers);
  EXPECT_EQ(states[1].missing_entries, 6U);
  EXPECT_FALSE(states[2].answers);
  EXPECT_FALSE(states[3].answers);
  EXPECT_EQ(states[3].missing_entries, 10U);
}

} // namespace
} // namespace lovagehold
