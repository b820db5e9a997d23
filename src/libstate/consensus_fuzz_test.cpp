#include "testing/group_harness.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>

namespace lovagehold::testing {

// Used by RapidCheck, through argument-dependent lookup, to print a failing schedule.
static std::ostream&
operator<<(std::ostream& stream, const Op& op)
{
  return stream << static_cast<int>(op.kind) << "/" << op.node << "/" << op.argument;
}

namespace {

constexpr int kSequences = 8000;
constexpr std::uint64_t kSeed = 20261204;
// Number of sequences within which each injected fault must be detected.
constexpr int kFaultSequences = 5000;
constexpr int kMaxOps = 60;
constexpr int kReplacementSequences = 4000;

std::uint64_t
from_environment(const char* name, std::uint64_t fallback)
{
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

rc::Gen<Op>
make_op(bool frequent_elections)
{
  // Time advances and commands are proposed more often than anything fails.
  const auto mixed_faults = rc::gen::weightedElement<OpKind>({ { 24, OpKind::Run },
                                                               { 12, OpKind::Propose },
                                                               { 3, OpKind::Isolate },
                                                               { 1, OpKind::IsolateLeader },
                                                               { 1, OpKind::IsolateNextLeader },
                                                               { 2, OpKind::Reconnect },
                                                               { 2, OpKind::CutOneWay },
                                                               { 4, OpKind::Heal },
                                                               { 2, OpKind::Crash },
                                                               { 3, OpKind::CrashAtWrite },
                                                               { 5, OpKind::Restart },
                                                               { 2, OpKind::Wipe },
                                                               { 1, OpKind::Pause },
                                                               { 1, OpKind::StepClock },
                                                               { 1, OpKind::FailDisk },
                                                               { 1, OpKind::FillDisk },
                                                               { 2, OpKind::Compact } });
  // Leaders are lost together with entries that only they hold, and return later.
  const auto election_faults = rc::gen::weightedElement<OpKind>({ { 6, OpKind::Run },
                                                                  { 2, OpKind::Propose },
                                                                  { 3, OpKind::IsolateLeader },
                                                                  { 4, OpKind::IsolateNextLeader },
                                                                  { 3, OpKind::IsolateAtCommit },
                                                                  { 2, OpKind::RestartAtVote },
                                                                  { 8, OpKind::Reconnect },
                                                                  { 1, OpKind::Restart } });
  return rc::gen::build<Op>(
    rc::gen::set(&Op::kind, frequent_elections ? election_faults : mixed_faults),
    rc::gen::set(&Op::node, rc::gen::inRange(0U, 5U)),
    rc::gen::set(&Op::argument, rc::gen::inRange(0U, 10000U)));
}

std::string
run_schedule(const HarnessOptions& options, const std::vector<Op>& schedule)
{
  GroupHarness group(options);
  for (const Op& op : schedule) {
    group.apply(op);
    if (!group.violation().empty()) {
      return group.violation();
    }
  }
  group.finish();
  return group.violation();
}

rc::detail::TestResult
fuzz(const HarnessOptions& base, int sequences, bool shrink)
{
  const auto property = [&base] {
    HarnessOptions options = base;
    options.nodes = *rc::gen::weightedElement<unsigned>({ { 3, 3U }, { 1, 5U } });
    options.seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30U);
    const auto length = *rc::gen::inRange(1, kMaxOps);
    options.election_timeout = std::chrono::milliseconds(*rc::gen::element(400, 200));
    options.window_entries = *rc::gen::element<std::uint64_t>(1, 4096);
    const bool frequent_elections = *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } });
    const auto schedule = *rc::gen::container<std::vector<Op>>(length, make_op(frequent_elections));
    const std::string violation = run_schedule(options, schedule);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  };
  rc::detail::TestParams params;
  params.seed = from_environment("LOVAGEHOLD_FUZZ_SEED", kSeed);
  params.maxSuccess = sequences;
  params.disableShrinking = !shrink;
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
}

// Verifies that the checks detect the injected fault within kFaultSequences.
void
expect_detected(const HarnessOptions& options)
{
  const rc::detail::TestResult result = fuzz(options, kFaultSequences, false);
  rc::detail::FailureResult failure;
  ASSERT_TRUE(result.match(failure)) << "the injected fault was not detected";
  std::cout << "detected after " << failure.numSuccess << " sequences: " << failure.description
            << "\n";
}

// Guards against commands that are lost, reverted or applied twice, replicas that differ, and a
// group that makes no progress, under all faults of OpKind.
TEST(ConsensusFuzz, GeneratedSchedulesViolateNoInvariant)
{
  const auto sequences =
    static_cast<int>(from_environment("LOVAGEHOLD_FUZZ_SEQUENCES", kSequences));
  const rc::detail::TestResult result = fuzz({}, sequences, true);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.match(success)) << text.str();
}

// Guards against commands that are lost or reverted when unresponsive members are replaced by
// learners and return later, and when restarted members start elections early.
TEST(ConsensusFuzz, ReplacingSilentMembersViolatesNoInvariant)
{
  const rc::detail::TestResult result =
    fuzz({ .target_voters = 3,
           .lost_after = std::chrono::milliseconds(800),
           .first_election_timeout = std::chrono::milliseconds(100) },
         kReplacementSequences,
         true);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.match(success)) << text.str();
}

// Guards against a majority that is lost for good when one of three voters is isolated and
// replaced, and the disk of another one is lost.
TEST(ConsensusFuzz, ReplacingVotersOfFiveHostsViolatesNoInvariant)
{
  const rc::detail::TestResult result = fuzz({ .nodes = 5,
                                               .target_voters = 3,
                                               .lost_after = std::chrono::milliseconds(800),
                                               .failure_domains = 2 },
                                             kReplacementSequences,
                                             true);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.match(success)) << text.str();
}

// Guards against the same when voters of a crowded failure domain become learners.
TEST(ConsensusFuzz, SpreadingVotersOverDomainsViolatesNoInvariant)
{
  const rc::detail::TestResult result =
    fuzz({ .target_voters = 3, .failure_domains = 2 }, kReplacementSequences, true);
  rc::detail::SuccessResult success;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.match(success)) << text.str();
}

TEST(ConsensusFuzzNotices, AcknowledgingBeforeSync)
{
  expect_detected({ .faults = { .acknowledge_before_sync = true } });
}

TEST(ConsensusFuzzNotices, SkippingPreVote)
{
  expect_detected({ .faults = { .skip_pre_vote = true } });
}

TEST(ConsensusFuzzNotices, ForgettingTheVote)
{
  expect_detected({ .faults = { .forget_vote = true } });
}

TEST(ConsensusFuzzNotices, CommittingAnEarlierTerm)
{
  expect_detected({ .faults = { .commit_earlier_term = true } });
}

TEST(ConsensusFuzzNotices, PromotingALearnerEarly)
{
  expect_detected({ .faults = { .promote_early = true } });
}

// A member whose disk was wiped, but which keeps its identity, votes although it has lost its vote
// and its log.
TEST(ConsensusFuzzNotices, WipedMemberThatVotes)
{
  expect_detected({ .make_identity = [](unsigned node) { return node + 1; } });
}

} // namespace
} // namespace lovagehold::testing
