#include "dispatcher_oracle.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {

std::ostream&
operator<<(std::ostream& out, const Step& step)
{
  return out << '{' << step.kind << ", " << step.a << ", " << step.b << '}';
}

std::ostream&
operator<<(std::ostream& out, Violation violation)
{
  return out << "violation " << static_cast<int>(violation);
}

} // namespace lovagehold

namespace rc {

template<>
struct Arbitrary<lovagehold::Step>
{
  static Gen<lovagehold::Step> arbitrary()
  {
    using lovagehold::Step;
    return gen::build<Step>(gen::set(&Step::kind, gen::inRange(0, 24)),
                            gen::set(&Step::a, gen::inRange(0U, 10000U)),
                            gen::set(&Step::b, gen::inRange(0U, 10000U)));
  }
};

} // namespace rc

namespace lovagehold {
namespace {

using namespace std::chrono_literals;

constexpr double kLengthScale = 6;
constexpr int kFaultRuns = 200;
constexpr int kFaultSteps = 600;

// Guards against each violation in any order of events. A failing run is shrunk to a short one.
RC_GTEST_PROP(DispatcherProperties, HoldInGeneratedRuns, ())
{
  const auto steps =
    *rc::gen::scale(kLengthScale, rc::gen::arbitrary<std::vector<lovagehold::Step>>());
  DispatcherOracle oracle;
  for (const Step& step : steps) {
    oracle.run(step);
  }
  RC_ASSERT(oracle.violations() == std::set<Violation>());
}

struct LongRuns
{
  std::set<Violation> violations;
  std::size_t starts = 0;
  std::size_t probes = 0;
};

LongRuns
run_long(Fault fault)
{
  std::mt19937 random(20261204);
  LongRuns result;
  for (int run = 0; run < kFaultRuns; ++run) {
    DispatcherOracle oracle(fault);
    for (int i = 0; i < kFaultSteps; ++i) {
      Step step;
      step.kind = static_cast<int>(random() % 24);
      step.a = random() % 10000;
      step.b = random() % 10000;
      oracle.run(step);
    }
    result.violations.insert(oracle.violations().begin(), oracle.violations().end());
    result.starts += oracle.starts();
    result.probes += oracle.probes();
  }
  return result;
}

// Guards against violations that occur only in long runs.
TEST(DispatcherProperties, HoldInLongRuns)
{
  const LongRuns result = run_long(Fault::None);
  EXPECT_EQ(result.violations, std::set<Violation>());
  // Without dispatches and probes the runs would prove nothing.
  EXPECT_GT(result.starts, 5000U);
  EXPECT_GT(result.probes, 50U);
}

// Shows that each check of the oracle can fail.
TEST(DispatcherProperties, OracleDetectsEachFault)
{
  const auto detects = [](Fault fault, Violation violation) {
    return run_long(fault).violations.count(violation) > 0;
  };
  EXPECT_TRUE(detects(Fault::OneSlotTooMany, Violation::SlotsExceeded));
  EXPECT_TRUE(detects(Fault::ProbeBudgetTimesTen, Violation::ProbeBudgetExceeded));
  EXPECT_TRUE(detects(Fault::LeaveNotDelivered, Violation::IneligibleServer));
  EXPECT_TRUE(detects(Fault::SpuriousRenewals, Violation::IneligibleServer));
  EXPECT_TRUE(detects(Fault::TreatedAsIdempotent, Violation::SecondRun));
  EXPECT_TRUE(detects(Fault::TimersIgnored, Violation::DeadlineMissed));
  EXPECT_TRUE(detects(Fault::CancelNotDelivered, Violation::WrongAnswer));
  EXPECT_TRUE(detects(Fault::PatientTreatedAsUrgent, Violation::UrgentBehindPatient));
}

// A service whose servers respond after 10 ms, except for some that fail after 0.2 ms.
struct FailFastSetup
{
  unsigned servers = 10;
  unsigned failing = 2;
  /// Milliseconds between arrivals, and number of requests that arrive together.
  unsigned interval = 1;
  unsigned burst = 1;
  bool report_failures = true;
  bool renew = true;
};

struct FailFastResult
{
  std::size_t attempts = 0;
  std::size_t to_failing = 0;
  /// Requests rejected for a reason other than failed attempts. There should be none, because
  /// servers have free slots.
  std::size_t not_served = 0;
};

class FailFastRun
{
public:
  explicit FailFastRun(const FailFastSetup& setup)
    : m_setup(setup)
  {
    for (unsigned i = 0; i < setup.servers; ++i) {
      handle_actions(m_dispatcher.set_server({ .service = "s", .id = std::to_string(i) }, m_now));
    }
  }

  FailFastResult run()
  {
    for (unsigned step = 0; step < 10000; ++step, m_now += 1ms) {
      for (unsigned i = 0; m_setup.renew && step % 1000 == 0 && i < m_setup.servers; ++i) {
        handle_actions(m_dispatcher.renew_server(std::to_string(i), m_now));
      }
      complete_due();
      handle_actions(m_dispatcher.tick(m_now));
      for (unsigned i = 0; step % m_setup.interval == 0 && i < m_setup.burst; ++i) {
        handle_actions(m_dispatcher.submit(
          { .id = m_next++, .idempotent = step % 2 == 0, .deadline = m_now + 100ms }, m_now));
      }
    }
    return m_result;
  }

private:
  FailFastSetup m_setup;
  Dispatcher m_dispatcher{ { .service = "s" } };
  TimePoint m_now = TimePoint{} + 1000s;
  RequestId m_next = 1;
  std::multimap<TimePoint, StartAttempt> m_running;
  FailFastResult m_result;

  bool fails(const ServerId& id) const { return std::stoul(id) < m_setup.failing; }

  void complete_due()
  {
    while (!m_running.empty() && m_running.begin()->first <= m_now) {
      const StartAttempt ended = m_running.begin()->second;
      m_running.erase(m_running.begin());
      const bool failed = fails(ended.server) && m_setup.report_failures;
      const AttemptStatus status = failed ? AttemptStatus::Failed : AttemptStatus::Succeeded;
      handle_actions(
        m_dispatcher.complete(ended.attempt, { .status = status, .service_time = 10ms }, m_now));
    }
  }

  void handle_actions(const Actions& actions)
  {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        const bool failing = fails(start->server);
        ++m_result.attempts;
        m_result.to_failing += failing ? 1 : 0;
        m_running.emplace(m_now + (failing ? Duration(200us) : Duration(10ms)), *start);
      } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
        m_result.not_served += reject->reason != RejectReason::RetriesExhausted ? 1 : 0;
      }
    }
  }
};

// Until its first ejection, a failing server may get some requests beyond its share.
bool
is_within_share(const FailFastSetup& setup, const FailFastResult& result)
{
  const std::size_t allowance = std::size_t{ 10 } * setup.servers * setup.failing;
  return result.to_failing * setup.servers <= result.attempts * setup.failing + allowance;
}

// Guards against servers that fail fast, appear idle and so attract the load, and against loss of
// service when all servers are ejected.
RC_GTEST_PROP(DispatcherProperties, FailFastServersGetNoMoreThanTheirShare, ())
{
  FailFastSetup setup;
  setup.servers = *rc::gen::inRange(2U, 12U);
  setup.failing = *rc::gen::inRange(1U, setup.servers + 1);
  // Half of the slots are in use, so that no healthy server is full with its share.
  setup.interval = 20 / (3 * setup.servers) + 1;
  const FailFastResult result = FailFastRun(setup).run();
  RC_ASSERT(is_within_share(setup, result));
  RC_ASSERT(result.not_served == 0U);
}

TEST(DispatcherProperties, AllServersEjectedStillServe)
{
  for (unsigned servers = 1; servers < 12; ++servers) {
    FailFastSetup setup{ .servers = servers, .failing = servers };
    setup.interval = 20 / (3 * servers) + 1;
    EXPECT_EQ(FailFastRun(setup).run().not_served, 0U) << servers;
  }
}

// Shows that the checks above can fail: if failures are not reported, or servers are not renewed.
TEST(DispatcherProperties, FailFastChecksDetectFaults)
{
  const FailFastSetup unreported{ .burst = 2, .report_failures = false };
  EXPECT_FALSE(is_within_share(unreported, FailFastRun(unreported).run()));
  EXPECT_GT(FailFastRun({ .renew = false }).run().not_served, 0U);
}

} // namespace
} // namespace lovagehold
