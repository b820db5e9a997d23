#include "testing/group_model.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace lovagehold::testing {
namespace {

constexpr unsigned kMaxEvents = 12;
/// Number of histories within which each deviation must be detected.
constexpr int kFaultHistories = 200;
constexpr std::uint64_t kFaultSeed = 20261204;

GroupModelOptions
seven_hosts(unsigned tolerance)
{
  return { .group = { .control_hosts = 7,
                      .entry_hosts = 3,
                      .seeds = 3,
                      .failure_domains = 3,
                      .max_delay = milliseconds(30),
                      .sync_time = milliseconds(10) },
           .tolerance = tolerance };
}

// Guards against a host that never returns to the group after its disk was lost, because none of
// its seeds leads.
TEST(GroupModel, HostWithoutDiskReturnsWhileNoSeedLeads)
{
  for (const FaultTarget target : { FaultTarget::Seed, FaultTarget::Other }) {
    GroupModel model(seven_hosts(3));
    model.form();
    model.apply({ .kind = FaultKind::Freeze,
                  .target = FaultTarget::Seed,
                  .count = 3,
                  .duration = milliseconds(3000) });
    model.run(milliseconds(11000));
    model.move_leader_off_seeds();
    model.apply({ .kind = FaultKind::LostDisk, .target = target });
    model.finish();
    EXPECT_EQ(model.violation(), "");
  }
}

// Guards against a group whose tolerance shrinks with each lost disk until it has no majority left.
TEST(GroupModel, RoundsOfLostDisksLeaveTheGroupWhole)
{
  GroupModel model(seven_hosts(2));
  model.form();
  model.move_leader_off_seeds();
  for (unsigned round = 0; round < 3; ++round) {
    model.apply({ .kind = FaultKind::LostDisk, .count = 2, .choice = round });
    model.run(milliseconds(8000));
  }
  model.apply(
    { .kind = FaultKind::PowerForAll, .trigger = FaultTrigger::Acknowledgement, .count = 2 });
  model.finish();
  EXPECT_EQ(model.violation(), "");
}

// Guards against a replaced host that never joins, because it knows only seeds and none leads.
TEST(GroupModel, ReplacedHostJoinsWhileNoSeedLeads)
{
  GroupModel model(seven_hosts(1));
  model.form();
  model.move_leader_off_seeds();
  model.apply({ .kind = FaultKind::Replace, .target = FaultTarget::Other });
  model.finish();
  EXPECT_EQ(model.violation(), "");
}

// Guards against hosts that are lost to the group, or form another one, while each seed loses its
// disk or is replaced, one after the other.
TEST(GroupModel, AllSeedsAreLostOneAfterTheOther)
{
  for (const FaultKind kind : { FaultKind::LostDisk, FaultKind::Replace }) {
    GroupModel model(seven_hosts(1));
    model.form();
    model.move_leader_off_seeds();
    for (unsigned seed = 0; seed < 3; ++seed) {
      model.apply({ .kind = kind, .target = FaultTarget::Seed, .choice = seed });
    }
    model.finish();
    EXPECT_EQ(model.violation(), "");
  }
}

rc::Gen<FaultEvent>
make_event(unsigned tolerance)
{
  const auto kind = tolerance == 0
                      ? rc::gen::element(FaultKind::ResetLinks, FaultKind::PowerForAll)
                      : rc::gen::weightedElement<FaultKind>({ { 2, FaultKind::Restart },
                                                              { 2, FaultKind::PowerLoss },
                                                              { 4, FaultKind::LostDisk },
                                                              { 3, FaultKind::Replace },
                                                              { 3, FaultKind::Freeze },
                                                              { 1, FaultKind::CutOff },
                                                              { 1, FaultKind::Deaf },
                                                              { 1, FaultKind::Mute },
                                                              { 1, FaultKind::SlowDisk },
                                                              { 1, FaultKind::ResetLinks },
                                                              { 2, FaultKind::ExchangeSeeds },
                                                              { 3, FaultKind::PowerForAll } });
  return rc::gen::map(
    rc::gen::build<FaultEvent>(
      rc::gen::set(&FaultEvent::kind, kind),
      rc::gen::set(&FaultEvent::target,
                   rc::gen::weightedElement<FaultTarget>({ { 4, FaultTarget::Any },
                                                           { 3, FaultTarget::Leader },
                                                           { 2, FaultTarget::Seed },
                                                           { 1, FaultTarget::Other } })),
      rc::gen::set(&FaultEvent::trigger,
                   rc::gen::weightedElement<FaultTrigger>({ { 4, FaultTrigger::None },
                                                            { 2, FaultTrigger::Acknowledgement },
                                                            { 1, FaultTrigger::Election },
                                                            { 1, FaultTrigger::Vote } })),
      rc::gen::set(&FaultEvent::count, rc::gen::inRange(0U, tolerance + 1)),
      rc::gen::set(&FaultEvent::choice, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&FaultEvent::gap,
                   rc::gen::map(rc::gen::inRange(0, 300),
                                [](int steps) { return SimulatedGroup::kStep * steps; })),
      rc::gen::set(&FaultEvent::duration,
                   rc::gen::map(rc::gen::inRange(1, 400),
                                [](int steps) { return SimulatedGroup::kStep * steps; }))),
    [](FaultEvent event) {
      // One host leads.
      if (event.target == FaultTarget::Leader && event.kind != FaultKind::PowerForAll) {
        event.count = 1;
      }
      if (event.kind != FaultKind::PowerForAll) {
        event.count = std::max(event.count, 1U);
      }
      return event;
    });
}

GroupModelOptions
make_options(const std::vector<unsigned>& sizes)
{
  const auto hosts = *rc::gen::elementOf(sizes);
  const auto tolerance = std::min(*rc::gen::inRange(1U, 3U), (hosts - 1) / 2);
  return { .group = { .control_hosts = hosts,
                      .entry_hosts = *rc::gen::inRange(1U, 4U),
                      .seeds = std::min(hosts, *rc::gen::inRange(1U, 4U)),
                      .failure_domains = *rc::gen::inRange(2U, 5U),
                      .max_delay = SimulatedGroup::kStep * *rc::gen::inRange(1, 5),
                      .sync_time = SimulatedGroup::kStep * *rc::gen::inRange(0, 4),
                      .document_bytes = *rc::gen::element<std::size_t>(0, 4000),
                      .seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 20U) },
           .tolerance = tolerance,
           .change_interval = SimulatedGroup::kStep * *rc::gen::inRange(5, 60) };
}

void
check_history(const GroupModelOptions& options, const std::vector<FaultEvent>& history)
{
  GroupModel model(options);
  model.form();
  for (const FaultEvent& event : history) {
    model.apply(event);
  }
  model.finish();
  if (!model.violation().empty()) {
    std::ostringstream text;
    text << model.violation() << "\n" << options;
    for (const FaultEvent& event : history) {
      text << "\n" << event;
    }
    RC_FAIL(text.str());
  }
}

// What differs from a correct group.
struct Deviations
{
  ConsensusFaults faults = {};
  bool contacts_lost = false;
};

// Draws a group and the losses that it has to tolerate.
void
check_losses(const Deviations& deviations)
{
  GroupModelOptions options = make_options({ 1, 3, 5, 6, 7, 9, 11 });
  options.group.consensus.faults = deviations.faults;
  if (deviations.contacts_lost) {
    options.group.is_lost =
      [](const std::string&, const std::string&, const ClusterMessage& message) {
        return std::holds_alternative<GroupContacts>(message);
      };
  }
  const auto length = *rc::gen::inRange(1U, kMaxEvents);
  check_history(
    options, *rc::gen::container<std::vector<FaultEvent>>(length, make_event(options.tolerance)));
}

// Draws a group that loses its power again and again, and voters that restart during the elections
// that follow.
void
check_elections(const Deviations& deviations)
{
  GroupModelOptions options = make_options({ 3, 5 });
  options.group.consensus.faults = deviations.faults;
  // Campaigns overlap if messages and syncs take long.
  options.group.max_delay = SimulatedGroup::kStep * *rc::gen::inRange(1, 11);
  options.group.sync_time = SimulatedGroup::kStep * *rc::gen::inRange(0, 7);
  const auto duration =
    rc::gen::map(rc::gen::inRange(1, 8), [](int steps) { return SimulatedGroup::kStep * steps; });
  std::vector<FaultEvent> history;
  for (auto left = *rc::gen::inRange(1U, 2 * kMaxEvents); left > 0; --left) {
    history.push_back({ .kind = FaultKind::PowerForAll,
                        .count = 0,
                        .choice = *rc::gen::inRange(0U, 100U),
                        .duration = *duration });
    for (auto votes = *rc::gen::inRange(1U, 3U); votes > 0; --votes) {
      history.push_back(
        { .kind = FaultKind::PowerLoss, .trigger = FaultTrigger::Vote, .duration = *duration });
    }
  }
  check_history(options, history);
}

// Guards against a control group that loses acknowledged versions, members or its tolerance,
// whatever happens to as many hosts at once as it has to tolerate.
RC_GTEST_PROP(GroupModel, PromisesHoldUnderToleratedLosses, ())
{
  check_losses({});
}

// Guards against two leaders in a term and lost versions when voters restart during elections.
RC_GTEST_PROP(GroupModel, PromisesHoldWhenVotersRestart, ())
{
  check_elections({});
}

// Verifies that the model detects the deviation within kFaultHistories.
void
expect_detected(const std::function<void()>& check)
{
  rc::detail::TestParams params;
  params.seed = kFaultSeed;
  params.maxSuccess = kFaultHistories;
  params.disableShrinking = true;
  const rc::detail::TestResult result =
    rc::detail::checkTestable(check, rc::detail::TestMetadata(), params);
  rc::detail::FailureResult failure;
  ASSERT_TRUE(result.match(failure)) << "the deviation was not detected";
  std::cout << "detected after " << failure.numSuccess << " histories: " << failure.description
            << "\n";
}

TEST(GroupModelNotices, FollowerThatDropsRequestsToJoin)
{
  expect_detected([] { check_losses({ .contacts_lost = true }); });
}

TEST(GroupModelNotices, RemovedVoterThatStillCounts)
{
  expect_detected([] { check_losses({ .faults = { .count_removed_voters = true } }); });
}

TEST(GroupModelNotices, LearnerPromotedEarly)
{
  expect_detected([] { check_losses({ .faults = { .promote_early = true } }); });
}

TEST(GroupModelNotices, ForgottenVote)
{
  expect_detected([] { check_elections({ .faults = { .forget_vote = true } }); });
}

} // namespace
} // namespace lovagehold::testing
