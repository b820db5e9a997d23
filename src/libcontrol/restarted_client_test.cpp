#include "testing/simulated_group.h"

#include "lovagehold/allowance_client.h"
#include "lovagehold/allowance_relay.h"
#include "lovagehold/permit_client.h"

#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

namespace lovagehold::testing {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// What a process at one address sends. Two of them stand for two runs of the same process: the
// answer to a message of the first one reaches the second one.
struct Sent
{
  std::vector<ClusterMessage> messages;

  auto hook()
  {
    return
      [this](const std::string&, const ClusterMessage& message) { messages.push_back(message); };
  }

  template<class Message>
  Message last() const
  {
    return std::get<Message>(messages.back());
  }
};

// Guards against a change that is acknowledged and never made, because the result of a proposal of
// the process before the restart has the same number.
TEST(RestartedClient, ResultForTheProcessBeforeItIsIgnored)
{
  Sent before;
  Sent after;
  const ControlClientOptions options{ .control_addresses = { "control" }, .follow = false };
  ControlClient first(options, before.hook(), [](const StateMachine&) {});
  ControlClient second(options, after.hook(), [](const StateMachine&) {});
  unsigned results = 0;
  const auto count = [&](const Result<ApplyResult>&) { ++results; };
  first.propose(ReplaceRouting{ .version = 1 }, count, kStart);
  second.propose(ReplaceRouting{ .version = 2 }, count, kStart);
  second.receive(
    "control", ProposeReply{ .id = before.last<Propose>().id, .decided = true }, kStart);
  EXPECT_EQ(results, 0U);
  second.receive(
    "control", ProposeReply{ .id = after.last<Propose>().id, .decided = true }, kStart);
  EXPECT_EQ(results, 1U);
}

// Guards against an old state that counts as confirmed, because the confirmation was requested by
// the process before the restart.
TEST(RestartedClient, ConfirmationForTheProcessBeforeItIsIgnored)
{
  Sent before;
  Sent after;
  const ControlClientOptions options{ .control_addresses = { "control" } };
  ControlClient first(options, before.hook(), [](const StateMachine&) {});
  ControlClient second(options, after.hook(), [](const StateMachine&) {});
  first.tick(kStart);
  second.tick(kStart);
  Entries entries{ .confirmed = true,
                   .answers = before.last<Subscribe>().request,
                   .lag = milliseconds(0) };
  second.receive("control", entries, kStart);
  EXPECT_FALSE(second.ready());
  entries.answers = after.last<Subscribe>().request;
  second.receive("control", entries, kStart);
  EXPECT_TRUE(second.ready());
}

// Guards against a permit that two requests use.
TEST(RestartedClient, PermitForTheProcessBeforeItIsIgnored)
{
  Sent before;
  Sent after;
  PermitClient first(before.hook());
  PermitClient second(after.hook());
  unsigned answers = 0;
  for (PermitClient* client : { &first, &second }) {
    client->set_members({ "control" });
    client->request(
      { .service = "desk" }, [&](const PermitAnswer&) { ++answers; }, kStart);
  }
  second.receive({ .id = before.last<PermitRequest>().id, .answer = { .server = "i" } });
  EXPECT_EQ(answers, 0U);
  second.receive({ .id = after.last<PermitRequest>().id, .answer = { .server = "i" } });
  EXPECT_EQ(answers, 1U);
}

// Guards against a grant that is counted for another account or used twice, at the host that asked
// and at one that passes questions on.
TEST(RestartedClient, GrantForTheProcessBeforeItIsIgnored)
{
  Sent before;
  Sent after;
  AllowanceClient first(before.hook(), {});
  AllowanceClient second(after.hook(), {});
  const auto account = std::make_shared<const ClientAccount>(ClientAccount{ .name = "a" });
  unsigned decisions = 0;
  for (AllowanceClient* client : { &first, &second }) {
    client->set_members({ "control" });
    client->request(
      account, 1, [&](const AllowanceDecision&) { ++decisions; }, kStart);
  }
  const auto answer = [&](const Sent& sent) {
    const AllowanceReply::Item item{ .account = "a",
                                     .responsible = true,
                                     .answer = { .granted = 1 } };
    second.receive({ .id = sent.last<AllowanceQuery>().id, .accounts = { item } }, kStart);
  };
  answer(before);
  EXPECT_EQ(decisions, 0U);
  answer(after);
  EXPECT_EQ(decisions, 1U);

  AllowanceRelay first_relay(before.hook());
  AllowanceRelay second_relay(after.hook());
  const AllowanceQuery query{ .id = 9, .accounts = { { .account = "a", .wanted = 1 } } };
  for (AllowanceRelay* relay : { &first_relay, &second_relay }) {
    relay->set_members({ "control" });
    relay->forward("entry", query, kStart);
  }
  const std::size_t sent = after.messages.size();
  EXPECT_TRUE(second_relay.receive({ .id = before.last<AllowanceQuery>().id }));
  EXPECT_EQ(after.messages.size(), sent);
  EXPECT_TRUE(second_relay.receive({ .id = after.last<AllowanceQuery>().id }));
  EXPECT_EQ(after.messages.size(), sent + 1);
}

// \return number of the read that the replica sends to the leader
std::optional<std::uint64_t>
read_number(const ClusterMessage& message)
{
  const auto* envelope = std::get_if<ConsensusEnvelope>(&message);
  const auto* read = envelope == nullptr ? nullptr : std::get_if<ReadRequest>(&envelope->message);
  return read == nullptr ? std::nullopt : std::optional(read->id);
}

// Guards against a read that is confirmed by the answer to one of the process before the restart.
TEST(RestartedClient, ReadsAreNumberedAnew)
{
  std::vector<std::uint64_t> reads;
  SimulatedGroup group({ .is_lost = [&](const auto&, const auto&, const ClusterMessage& message) {
    if (const auto number = read_number(message)) {
      reads.push_back(*number);
    }
    return false;
  } });
  const auto run = [&](milliseconds time) {
    for (const TimePoint end = group.now() + time; group.now() < end;) {
      group.step();
    }
  };
  run(milliseconds(3000));
  ASSERT_TRUE(group.leader());
  const std::size_t follower = (*group.leader() + 1) % group.hosts().size();
  reads.clear();
  group.request_read(follower);
  group.kill(follower);
  group.start(follower);
  run(milliseconds(3000));
  group.request_read(follower);
  ASSERT_GE(reads.size(), 2U);
  EXPECT_NE(reads.front(), reads.back());
}

// Guards against acknowledged changes that are lost, or are not seen by confirmed reads, while
// control hosts restart beside a leader that stands still. The leader sends the results of changes
// to the processes that have replaced those which proposed them.
RC_GTEST_PROP(RestartedClient, AcknowledgedChangesStayWhileTheLeaderStandsStill, ())
{
  SimulatedGroup group({ .control_hosts = 3,
                         .entry_hosts = 2,
                         .max_delay = milliseconds(30),
                         .read_interval = milliseconds(50),
                         .seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U) });
  const auto run = [&](int steps) {
    for (; steps > 0; --steps) {
      group.step();
    }
  };
  run(300);
  RC_PRE(group.leader().has_value());
  const unsigned rounds = *rc::gen::inRange(1U, 4U);
  for (unsigned round = 0; round < rounds; ++round) {
    const std::size_t leader = group.leader().value_or(0);
    group.set_frozen(leader, true);
    const auto change = [&](int most) {
      for (int count = *rc::gen::inRange(1, most); count > 0; --count) {
        group.change_routing();
        run(*rc::gen::inRange(0, 4));
      }
    };
    change(3);
    run(*rc::gen::inRange(1, 6));
    for (std::size_t host = 0; host < group.hosts().size(); ++host) {
      if (host != leader && *rc::gen::arbitrary<bool>()) {
        group.kill(host);
        run(*rc::gen::inRange(0, 5));
        group.start(host);
      }
    }
    change(5);
    run(*rc::gen::inRange(0, 20));
    group.set_frozen(leader, false);
    run(*rc::gen::inRange(50, 200));
  }
  run(500);
  RC_ASSERT(group.violation() == "");
  RC_ASSERT(group.leader().has_value());
  const auto& machine = group.hosts()[*group.leader()].replica->machine();
  RC_ASSERT(machine.routing_version() >= group.last_acknowledged());
}

} // namespace
} // namespace lovagehold::testing
