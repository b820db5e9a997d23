#include "lovagehold/state_machine.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

const SubmitChange kFirst{ .number = 1,
                           .file_name = "0001-a.yaml",
                           .content = "services: {a: {}}" };
const SubmitChange kRival{ .number = 1,
                           .file_name = "0001-b.yaml",
                           .content = "services: {b: {}}" };

// Guards against two operators both being told that their equal number was accepted.
TEST(StateMachine, EqualNumbersGiveOneWinnerAndAConflict)
{
  StateMachine state;
  EXPECT_TRUE(state.apply(1, kFirst).accepted);
  const ApplyResult lost = state.apply(2, kRival);
  EXPECT_FALSE(lost.accepted);
  EXPECT_EQ(lost.winner_file, "0001-a.yaml");
  EXPECT_EQ(lost.next_free_number, 2U);
  EXPECT_EQ(state.configuration()->services.count("b"), 0U);
}

// Guards against a resent change being refused or applied twice when its answer was lost.
TEST(StateMachine, ResentChangeGetsItsFirstAnswer)
{
  StateMachine state;
  const ApplyResult first = state.apply(1, kFirst);
  const ApplyResult again = state.apply(2, kFirst);
  EXPECT_TRUE(again.accepted);
  EXPECT_EQ(again.revision, first.revision);
}

// Guards against a key that runs twice.
TEST(StateMachine, KeyIsGrantedToOneAttempt)
{
  StateMachine state;
  ClaimKey claim{ .service = "s", .key = "k", .attempt = "1", .holder = "h" };
  EXPECT_EQ(state.apply(1, claim).claim, ClaimStatus::Granted);
  claim.attempt = "2";
  EXPECT_EQ(state.apply(2, claim).claim, ClaimStatus::InProgress);
  state.apply(3, JoinHost{ { .id = "h", .incarnation = 1 } });
  EXPECT_EQ(state.apply(4, claim).claim, ClaimStatus::Unknown);
}

// Guards against a restart that loses or alters a part of the state.
TEST(StateMachine, SnapshotRestoresEverything)
{
  StateMachine state;
  state.apply(1, kFirst);
  state.apply(2, ClaimKey{ .service = "s", .key = "k", .attempt = "1", .holder = "h" });
  state.apply(3, JoinServer{ { .service = "s", .id = "x", .address = "127.0.0.1:1" } });
  state.apply(4, JoinHost{ { .id = "h", .incarnation = 1, .failure_domain = "d" } });
  StateMachine other;
  ASSERT_TRUE(other.restore(state.snapshot()).has_value());
  EXPECT_EQ(other.applied_index(), 4U);
  EXPECT_EQ(other.snapshot(), state.snapshot());
  EXPECT_EQ(other.configuration()->revision, 1U);
}

} // namespace
} // namespace lovagehold
