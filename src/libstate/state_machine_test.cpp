#include "lovagehold/state_machine.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lovagehold {
namespace {

const SubmitChange kFirst{ .number = 1,
                           .file_name = "0001-a.yaml",
                           .content = "services: {a: {}}" };
const SubmitChange kConflicting{ .number = 1,
                                 .file_name = "0001-b.yaml",
                                 .content = "services: {b: {}}" };

// Guards against two changes with the same number that are both accepted.
TEST(StateMachine, EqualNumbersGiveOneWinnerAndAConflict)
{
  StateMachine state;
  EXPECT_TRUE(state.apply(1, kFirst).accepted);
  const ApplyResult lost = state.apply(2, kConflicting);
  EXPECT_FALSE(lost.accepted);
  EXPECT_EQ(lost.winner_file, "0001-a.yaml");
  EXPECT_EQ(lost.next_free_number, 2U);
  EXPECT_EQ(state.configuration()->services.count("b"), 0U);
}

// Guards against a change that is rejected or applied twice when it is resent, because its first
// result was lost.
TEST(StateMachine, ResentChangeGetsItsFirstAnswer)
{
  StateMachine state;
  const ApplyResult first = state.apply(1, kFirst);
  const ApplyResult again = state.apply(2, kFirst);
  EXPECT_TRUE(again.accepted);
  EXPECT_EQ(again.revision, first.revision);
}

// Guards against an older routing configuration that replaces a newer one, and against the
// rejection of a change that is resent.
TEST(StateMachine, HighestRoutingVersionWins)
{
  StateMachine state;
  EXPECT_EQ(state.routing_version(), 0U);
  EXPECT_TRUE(state.apply(1, ReplaceRouting{ .version = 5, .document = "five" }).accepted);
  EXPECT_TRUE(state.apply(2, ReplaceRouting{ .version = 3, .document = "three" }).accepted);
  EXPECT_TRUE(state.apply(3, ReplaceRouting{ .version = 5, .document = "other" }).accepted);
  EXPECT_EQ(state.routing_document(), "five");
  StateMachine other;
  ASSERT_TRUE(other.restore(state.snapshot()).has_value());
  EXPECT_EQ(other.routing_version(), 5U);
  EXPECT_EQ(other.routing_document(), "five");
}

// Guards against a server that can't rejoin after its lease expired because it was unreachable, and
// against a server that left and is joined again by a delayed heartbeat.
TEST(StateMachine, ExpiredServerMayJoinAgain)
{
  StateMachine state;
  const JoinServer join{
    { .service = "s", .id = "x", .address = "127.0.0.1:1", .incarnation = 7 }
  };
  state.apply(1, join);
  state.apply(2, LeaveServer{ .service = "s", .id = "x", .incarnation = 7, .expired = true });
  EXPECT_TRUE(state.all_servers().empty());
  EXPECT_TRUE(state.apply(3, join).accepted);
  state.apply(4, LeaveServer{ .service = "s", .id = "x", .incarnation = 7 });
  EXPECT_FALSE(state.apply(5, join).accepted);
  EXPECT_TRUE(state.all_servers().empty());
}

// Guards against a warm-up that the directory refuses, hides from entry hosts or loses in a
// snapshot, and against a delayed join that undoes it.
TEST(StateMachine, JoinedServerTurnsColdAgain)
{
  StateMachine state;
  JoinServer join{ { .service = "s", .id = "x", .address = "127.0.0.1:1", .incarnation = 7 } };
  state.apply(1, join);
  JoinServer renewed = join;
  renewed.server.warmup = std::chrono::milliseconds(3000);
  renewed.server.warmup_renewals = 1;
  const Result<Command> sent = decode_command(encode(renewed));
  ASSERT_TRUE(sent.has_value());
  EXPECT_TRUE(state.apply(2, sent.value()).accepted);
  EXPECT_EQ(state.services_changed_since(1), std::set<ServiceName>{ "s" });
  EXPECT_TRUE(state.apply(3, join).accepted);
  EXPECT_EQ(state.services_changed_since(2), std::set<ServiceName>{});
  StateMachine other;
  ASSERT_TRUE(other.restore(state.snapshot()).has_value());
  EXPECT_EQ(other.servers("s"), std::vector<ServerInfo>{ renewed.server });
}

// Guards against bytes that change for servers that have not turned cold again.
TEST(StateMachine, EntryWithoutARenewedWarmupHasNoNewField)
{
  const JoinServer join{ { .service = "s", .id = "x", .warmup = std::chrono::milliseconds(3000) } };
  const Bytes bytes = encode(join);
  EXPECT_EQ(std::string(bytes.begin(), bytes.end()).find("renewals"), std::string::npos);
}

// Guards against two attempts that run with the same key.
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

// Guards against a snapshot that loses or alters part of the state.
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

// Guards against a delayed join of an ended session that is taken for a restart of the host: the
// new owner of its services would then use slots that the host may still use.
TEST(StateMachine, EndedIncarnationCannotJoinAgain)
{
  StateMachine state;
  const JoinHost join{ { .id = "h", .incarnation = 5, .caller_address = "127.0.0.1:1" } };
  EXPECT_TRUE(state.apply(1, join).accepted);
  EXPECT_TRUE(state.apply(2, join).accepted);
  EXPECT_EQ(state.view(), 1U) << "a repeated join is no new view";
  state.apply(3, LeaveHost{ .id = "h", .incarnation = 5 });
  EXPECT_FALSE(state.apply(4, join).accepted);
  ASSERT_EQ(state.membership().unreleased.size(), 1U);
  EXPECT_TRUE(state.apply(5, JoinHost{ { .id = "h", .incarnation = 6 } }).accepted);
  EXPECT_TRUE(state.membership().unreleased.empty());
}

// Guards against a new owner that waits for a departed host although the host released its services
// after its session had ended.
TEST(StateMachine, ReleaseAfterTheSessionEndedIsRecorded)
{
  StateMachine state;
  state.apply(1, JoinHost{ { .id = "h", .incarnation = 5 } });
  state.apply(2, LeaveHost{ .id = "h", .incarnation = 5 });
  state.apply(3, LeaveHost{ .id = "h", .incarnation = 5, .released = true });
  EXPECT_TRUE(state.membership().unreleased.empty());
  EXPECT_EQ(state.view(), 3U);
}

// Guards against a host that stays a member for as long as it shuts down, without serving its
// services, because its join is applied after its leave.
TEST(StateMachine, JoinThatIsAppliedAfterItsLeaveIsRejected)
{
  StateMachine state;
  state.apply(1, LeaveHost{ .id = "new", .incarnation = 5, .released = true });
  EXPECT_FALSE(state.apply(2, JoinHost{ { .id = "new", .incarnation = 5 } }).accepted);
  state.apply(3, JoinHost{ { .id = "h", .incarnation = 5 } });
  // The session ends, the host wants to join again, and shuts down before it has.
  state.apply(4, LeaveHost{ .id = "h", .incarnation = 5 });
  state.apply(5, LeaveHost{ .id = "h", .incarnation = 6, .released = true });
  EXPECT_TRUE(state.membership().unreleased.empty());
  EXPECT_EQ(state.view(), 5U);
  EXPECT_FALSE(state.apply(6, JoinHost{ { .id = "h", .incarnation = 6 } }).accepted);
  // A restarted process joins again, and its leave may also overtake its join.
  EXPECT_TRUE(state.apply(7, JoinHost{ { .id = "h", .incarnation = 7 } }).accepted);
  state.apply(8, LeaveHost{ .id = "h", .incarnation = 8, .released = true });
  EXPECT_FALSE(state.apply(9, JoinHost{ { .id = "h", .incarnation = 8 } }).accepted);
  EXPECT_TRUE(state.membership().members.empty());
}

// Guards against a departed host that is assumed to know a member that joined after the last view
// that the host acknowledged.
TEST(StateMachine, DepartedHostKnowsMembersOfItsAcknowledgedView)
{
  StateMachine state;
  state.apply(1, JoinHost{ { .id = "a", .incarnation = 1, .caller_address = "127.0.0.1:1" } });
  state.apply(2, JoinHost{ { .id = "h", .incarnation = 1, .caller_address = "127.0.0.1:2" } });
  state.apply(3, JoinHost{ { .id = "b", .incarnation = 1, .caller_address = "127.0.0.1:3" } });
  state.apply(4, LeaveHost{ .id = "h", .incarnation = 1, .acknowledged = 2 });
  ASSERT_EQ(state.membership().unreleased.size(), 1U);
  EXPECT_EQ(state.membership().unreleased[0].known_members, std::vector<HostId>{ "a" });
  StateMachine other;
  ASSERT_TRUE(other.restore(state.snapshot()).has_value());
  EXPECT_EQ(other.membership().unreleased[0].known_members, std::vector<HostId>{ "a" });
}

// Guards against claims that make every host rebuild its routes.
TEST(StateMachine, ClaimsChangeNoRoutes)
{
  StateMachine state;
  state.apply(1, kFirst);
  state.apply(2, ClaimKey{ .service = "a", .key = "k", .attempt = "1", .holder = "h" });
  state.apply(3, RecordOutcome{ .service = "a", .key = "k", .attempt = "1" });
  EXPECT_EQ(state.routes_index(), 1U);
  state.apply(4, JoinServer{ { .service = "a", .id = "x" } });
  EXPECT_EQ(state.routes_index(), 4U);
}

// Guards against a repeated order that looks like a new one to the hosts, a repeat that is
// rejected, and orders that are lost or mixed up by a snapshot.
TEST(StateMachine, EvacuationsLastUntilTheyAreWithdrawn)
{
  StateMachine state;
  EXPECT_EQ(state.apply(3, EvacuateDomain{ .failure_domain = "x" }).revision, 3U);
  EXPECT_EQ(state.apply(4, EvacuateDomain{ .failure_domain = "y" }).revision, 4U);
  const ApplyResult repeated = state.apply(5, EvacuateDomain{ .failure_domain = "x" });
  EXPECT_TRUE(repeated.accepted);
  EXPECT_EQ(repeated.revision, 3U);
  StateMachine other;
  ASSERT_TRUE(other.restore(state.snapshot()).has_value());
  EXPECT_EQ(other.evacuations(), (Evacuations{ { "x", 3 }, { "y", 4 } }));
  const EvacuateDomain withdrawal{ .failure_domain = "x", .active = false };
  EXPECT_TRUE(other.apply(6, withdrawal).accepted);
  EXPECT_EQ(other.evacuations(), (Evacuations{ { "y", 4 } }));
  EXPECT_TRUE(other.apply(7, withdrawal).accepted);
  EXPECT_EQ(other.apply(8, EvacuateDomain{ .failure_domain = "x" }).revision, 8U);
}

// Guards against snapshots that hosts of the version before the evacuations can't read, and against
// a restore that rejects their snapshots or keeps an order that is not in them.
TEST(StateMachine, SnapshotWithoutEvacuationsIsThatOfEarlierVersions)
{
  StateMachine state;
  state.apply(1, kFirst);
  const Bytes before = state.snapshot();
  EXPECT_FALSE(nlohmann::json::from_cbor(before).contains("evacuations"));
  state.apply(2, EvacuateDomain{ .failure_domain = "x" });
  EXPECT_TRUE(nlohmann::json::from_cbor(state.snapshot()).contains("evacuations"));
  ASSERT_TRUE(state.restore(before).has_value());
  EXPECT_TRUE(state.evacuations().empty());
}

} // namespace
} // namespace lovagehold
