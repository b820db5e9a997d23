#include "lovagehold/state_machine.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <ostream>
#include <rapidcheck.h>

namespace lovagehold {
namespace {

constexpr std::uint64_t kSeed = 20261205;
constexpr int kSequences = 500;
constexpr int kSteps = 40;

// An announcement or a leave of a server. Both arrive in any order, late and repeatedly.
struct Step
{
  // 0 to 3: announcement, 4 to 7: leave, 8: end of the lease, 9: restart from a snapshot.
  int action = 0;
  int id = 0;
  int service = 0;
  std::uint64_t incarnation = 0;
  // The leave names the service.
  bool names_service = false;
};

std::ostream&
operator<<(std::ostream& out, const Step& step)
{
  return out << "{action " << step.action << " id " << step.id << " service " << step.service
             << " incarnation " << step.incarnation << (step.names_service ? " named" : "") << "}";
}

ServiceName
service_of(const Step& step)
{
  return "s" + std::to_string(step.service);
}

// What the callers of the calls know.
class Model
{
public:
  void leave(const LeaveServer& leave)
  {
    std::uint64_t& latest = m_left[{ leave.service, leave.id }];
    latest = std::max(latest, leave.incarnation);
  }

  bool has_left(const ServiceName& service, const ServerId& id, std::uint64_t incarnation) const
  {
    const auto covers = [&](const ServiceName& scope) {
      const auto found = m_left.find({ scope, id });
      return found != m_left.end() && incarnation <= found->second;
    };
    return covers(service) || covers("");
  }

private:
  std::map<std::pair<ServiceName, ServerId>, std::uint64_t> m_left;
};

void
run_steps(const std::vector<Step>& steps)
{
  StateMachine state;
  Model model;
  std::uint64_t index = 0;
  for (const Step& step : steps) {
    ++index;
    const ServerId id = "i" + std::to_string(step.id);
    if (step.action <= 3) {
      const ServerInfo server{ .service = service_of(step),
                               .id = id,
                               .address = "127.0.0.1:1",
                               .incarnation = step.incarnation };
      const auto before = state.servers(server.service);
      const bool newer_known =
        std::any_of(before.begin(), before.end(), [&](const ServerInfo& other) {
          return other.id == id && other.incarnation > step.incarnation;
        });
      const bool accepted = state.apply(index, JoinServer{ server }).accepted;
      RC_ASSERT(accepted ==
                (!newer_known && !model.has_left(server.service, id, step.incarnation)));
    } else if (step.action <= 7) {
      const LeaveServer leave{ .service = step.names_service ? service_of(step) : "",
                               .id = id,
                               .incarnation = step.incarnation };
      RC_ASSERT(state.apply(index, leave).accepted);
      model.leave(leave);
    } else if (step.action == 8) {
      state.apply(index,
                  LeaveServer{ .service = service_of(step),
                               .id = id,
                               .incarnation = step.incarnation,
                               .expired = true });
    } else {
      StateMachine next;
      RC_ASSERT(next.restore(state.snapshot()).has_value());
      state = std::move(next);
    }
    for (const ServerInfo& server : state.all_servers()) {
      RC_ASSERT(!model.has_left(server.service, server.id, server.incarnation));
    }
  }
}

// Guards against a server that gets requests after its leave was acknowledged, because its
// announcement arrived after the leave, and against a leave that keeps a later incarnation out.
TEST(DepartureModel, NoIncarnationJoinsAfterItsLeave)
{
  const rc::detail::TestParams params{ .seed = kSeed, .maxSuccess = kSequences };
  const auto step =
    rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::inRange(0, 10)),
                         rc::gen::set(&Step::id, rc::gen::inRange(0, 2)),
                         rc::gen::set(&Step::service, rc::gen::inRange(0, 2)),
                         rc::gen::set(&Step::incarnation, rc::gen::inRange<std::uint64_t>(1, 5)),
                         rc::gen::set(&Step::names_service, rc::gen::arbitrary<bool>()));
  const rc::detail::TestResult result = rc::detail::checkTestable(
    [&] { run_steps(*rc::gen::container<std::vector<Step>>(kSteps, step)); },
    rc::detail::TestMetadata{},
    params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

// Guards against leaves of made-up servers that push the departure of a real one out of the memory.
TEST(DepartureModel, LeavesOfUnknownServersDoNotDisplaceOthers)
{
  StateMachine state({ .departed_limit = 4, .unknown_departed_limit = 4 });
  const JoinServer join{
    { .service = "s", .id = "real", .address = "127.0.0.1:1", .incarnation = 7 }
  };
  state.apply(1, join);
  state.apply(2, LeaveServer{ .id = "real", .incarnation = 7 });
  for (std::uint64_t index = 3; index < 100; ++index) {
    state.apply(index, LeaveServer{ .id = "made-up-" + std::to_string(index), .incarnation = 1 });
  }
  EXPECT_FALSE(state.apply(100, join).accepted);
  EXPECT_TRUE(state.has_left("", "made-up-99", 1));
  EXPECT_FALSE(state.has_left("", "made-up-3", 1));
}

// Guards against a leave that names no incarnation and keeps a later start of the server out.
TEST(DepartureModel, LeaveWithoutIncarnationEndsOnlyTheKnownOne)
{
  StateMachine state;
  const auto join = [&](std::uint64_t index, std::uint64_t incarnation) {
    return state
      .apply(
        index,
        JoinServer{
          { .service = "s", .id = "x", .address = "127.0.0.1:1", .incarnation = incarnation } })
      .accepted;
  };
  const LeaveServer any{ .service = "s",
                         .id = "x",
                         .incarnation = std::numeric_limits<std::uint64_t>::max() };
  state.apply(1, any);
  EXPECT_TRUE(join(2, 5));
  state.apply(3, any);
  EXPECT_FALSE(join(4, 5));
  EXPECT_TRUE(join(5, 6));
}

} // namespace
} // namespace lovagehold
