#include "lovagehold/dispatcher.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint{} + 1000s;

template<class T>
std::vector<T>
select(const Actions& actions)
{
  std::vector<T> selected;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action)) {
      selected.push_back(*match);
    }
  }
  return selected;
}

ServerInfo
make_server(int number, unsigned slots = 3)
{
  const std::string id = "server-" + std::to_string(number);
  return { .service = "s", .id = id, .address = id + ":80", .slots = slots };
}

// A dispatcher with a simulated clock; advance() also renews the servers.
class DispatcherTest : public testing::Test
{
protected:
  Dispatcher m_dispatcher{ DispatcherOptions{ .service = "s", .hedging = true } };
  TimePoint m_now = kStart;
  int m_servers = 0;
  RequestId m_next_request = 1;

  void add_servers(int count, unsigned slots = 3)
  {
    for (int i = 0; i < count; ++i) {
      m_dispatcher.set_server(make_server(m_servers++, slots), m_now);
    }
  }

  Actions advance(Duration step)
  {
    m_now += step;
    Actions actions = m_dispatcher.tick(m_now);
    for (int i = 0; i < m_servers; ++i) {
      const Actions more = m_dispatcher.renew_server("server-" + std::to_string(i), m_now);
      actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
  }

  Actions submit(RequestInfo request)
  {
    request.id = m_next_request++;
    if (request.deadline == TimePoint{}) {
      request.deadline = m_now + 1s;
    }
    return m_dispatcher.submit(request, m_now);
  }

  StartAttempt submit_started(const RequestInfo& request = {})
  {
    const auto starts = select<StartAttempt>(submit(request));
    return starts.empty() ? StartAttempt{} : starts.front();
  }

  Actions complete(const StartAttempt& start, AttemptStatus status, Duration time = 1ms)
  {
    return m_dispatcher.complete(start.attempt, { .status = status, .service_time = time }, m_now);
  }

  // Runs requests that take `time`, one after the other and without hedges.
  void serve(int count, Duration time)
  {
    for (int i = 0; i < count; ++i) {
      const StartAttempt start = submit_started({ .idempotent = false });
      advance(time);
      complete(start, AttemptStatus::Succeeded, time);
    }
  }
};

// Guards against serving urgent requests in order of arrival instead of by deadline.
TEST_F(DispatcherTest, UrgentRequestsAreServedByDeadline)
{
  add_servers(1, 1);
  const StartAttempt running = submit_started();
  submit({ .deadline = m_now + 900ms });
  submit({ .deadline = m_now + 300ms });
  const auto next = select<StartAttempt>(complete(running, AttemptStatus::Succeeded));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].request, 3U);
}

// Guards against patient requests occupying the slot that is reserved for urgent ones.
TEST_F(DispatcherTest, PatientRequestsLeaveOneSlotFree)
{
  add_servers(2);
  for (int i = 0; i < 10; ++i) {
    submit({ .request_class = RequestClass::Patient });
  }
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 5U);
  EXPECT_NE(submit_started().attempt, 0U);
}

// Guards against starvation of patient requests by a steady stream of urgent ones.
TEST_F(DispatcherTest, OneInEightDispatchesIsPatient)
{
  add_servers(2, 1);
  StartAttempt first = submit_started();
  const StartAttempt other = submit_started();
  for (int i = 0; i < 40; ++i) {
    submit({});
    submit({ .request_class = RequestClass::Patient });
  }
  int patient = 0;
  for (int i = 0; i < 24; ++i) {
    const auto next = select<StartAttempt>(complete(first, AttemptStatus::Succeeded));
    ASSERT_EQ(next.size(), 1U);
    first = next[0];
    patient += first.request % 2 == 0 ? 1 : 0;
  }
  EXPECT_EQ(patient, 3);
  EXPECT_NE(other.attempt, 0U);
}

// Guards against queueing a request that cannot meet its deadline.
TEST_F(DispatcherTest, RequestThatCannotMeetItsDeadlineIsRejectedAtOnce)
{
  add_servers(1, 1);
  serve(20, 10ms);
  submit_started();
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(select<RejectRequest>(submit({})).empty());
  }
  const auto rejects = select<RejectRequest>(submit({ .deadline = m_now + 15ms }));
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason, RejectReason::Overloaded);
  EXPECT_GT(rejects[0].retry_after, 0ms);
}

// Guards against dispatching to a server that stopped renewing or announced that it leaves.
TEST_F(DispatcherTest, LeavingOrUnrenewedServerGetsNothingNew)
{
  add_servers(2);
  m_dispatcher.remove_server("server-0", m_now);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(submit_started().server, "server-1");
  }
  m_servers = 0;
  advance(2001ms);
  const auto rejects = select<RejectRequest>(submit({}));
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].reason, RejectReason::NoServer);
}

// Guards against a second run of a request that may have run.
TEST_F(DispatcherTest, OnlySafeRetriesAreMade)
{
  add_servers(2);
  const RequestInfo once{ .request_class = RequestClass::NonIdempotent, .idempotent = false };
  for (const AttemptStatus status :
       { AttemptStatus::Failed, AttemptStatus::TimedOut, AttemptStatus::Refused }) {
    const Actions actions = complete(submit_started(once), status);
    EXPECT_TRUE(select<StartAttempt>(actions).empty());
    EXPECT_EQ(select<RejectRequest>(actions).size(), 1U);
  }
  EXPECT_EQ(
    select<StartAttempt>(complete(submit_started(once), AttemptStatus::FailedUnstarted)).size(),
    1U);
  const StartAttempt first = submit_started();
  const auto retry = select<StartAttempt>(complete(first, AttemptStatus::Failed));
  ASSERT_EQ(retry.size(), 1U);
  EXPECT_NE(retry[0].server, first.server);
  EXPECT_EQ(retry[0].retries_left, 1U);
}

// Guards against retries that amplify an outage.
TEST_F(DispatcherTest, RetryBudgetIsBounded)
{
  add_servers(20);
  for (int i = 0; i < 40; ++i) {
    complete(submit_started(), AttemptStatus::Failed);
  }
  EXPECT_EQ(m_dispatcher.stats(m_now).retries, 10U);
}

// Guards against sending requests continuously to a server that refuses them.
TEST_F(DispatcherTest, RefusalWithholdsASlotWithBackOff)
{
  add_servers(2, 1);
  const StartAttempt first = submit_started({ .retries_left = 0 });
  complete(first, AttemptStatus::Refused);
  const StartAttempt second = submit_started();
  EXPECT_NE(second.server, first.server);
  submit({ .deadline = m_now + 10s });
  EXPECT_TRUE(select<StartAttempt>(advance(249ms)).empty());
  const auto again = select<StartAttempt>(advance(1ms));
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].server, first.server);
  complete(again[0], AttemptStatus::Refused);
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 1U);
  EXPECT_TRUE(select<StartAttempt>(advance(499ms)).empty());
  EXPECT_EQ(select<StartAttempt>(advance(1ms)).size(), 1U);
}

// Guards against a slow server that keeps getting its full share of the requests.
TEST_F(DispatcherTest, StragglerIsLimitedToOneSlot)
{
  add_servers(4);
  std::vector<std::pair<TimePoint, StartAttempt>> running;
  const auto service_time = [](const StartAttempt& start) {
    return start.server == "server-0" ? 100ms : 10ms;
  };
  int straggler_running = 0;
  for (int step = 0; step < 3000; ++step) {
    straggler_running = 0;
    advance(1ms);
    for (std::size_t i = 0; i < running.size();) {
      if (m_now - running[i].first >= service_time(running[i].second)) {
        complete(running[i].second, AttemptStatus::Succeeded, service_time(running[i].second));
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        straggler_running += running[i].second.server == "server-0" ? 1 : 0;
        ++i;
      }
    }
    while (running.size() < 10) {
      const StartAttempt start = submit_started({ .idempotent = false });
      if (start.attempt == 0) {
        break;
      }
      running.emplace_back(m_now, start);
    }
  }
  EXPECT_LE(straggler_running, 1);
}

// Guards against flooding a server that has just joined, and against limiting it for ever.
TEST_F(DispatcherTest, JoinedServerStartsWithOneSlot)
{
  add_servers(1);
  advance(5s);
  add_servers(1);
  for (int i = 0; i < 6; ++i) {
    submit({});
  }
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 4U);
  EXPECT_EQ(select<StartAttempt>(advance(10s)).size(), 0U);
  for (int i = 0; i < 6; ++i) {
    submit({});
  }
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 6U);
}

// Guards against loss of service when every server fails.
TEST_F(DispatcherTest, AllServersEjectedStillServes)
{
  add_servers(4);
  for (int i = 0; i < 200; ++i) {
    const StartAttempt start = submit_started();
    ASSERT_NE(start.attempt, 0U) << i;
    Actions actions = complete(start, AttemptStatus::Failed);
    for (auto retry = select<StartAttempt>(actions); !retry.empty();
         retry = select<StartAttempt>(actions)) {
      actions = complete(retry[0], AttemptStatus::Failed);
    }
  }
}

// Guards against a late hedge, a hedge on the same server, and a slow attempt that is not cancelled
// after the hedge won.
TEST_F(DispatcherTest, SlowAttemptIsHedgedOnAnotherServer)
{
  add_servers(3);
  serve(40, 10ms);
  const StartAttempt slow = submit_started();
  const auto hedge = select<StartAttempt>(advance(11ms));
  ASSERT_EQ(hedge.size(), 1U);
  EXPECT_TRUE(hedge[0].hedge);
  EXPECT_NE(hedge[0].server, slow.server);
  const auto cancelled = select<CancelAttempt>(complete(hedge[0], AttemptStatus::Succeeded));
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].attempt, slow.attempt);
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 1U);
  complete(slow, AttemptStatus::Cancelled);
  EXPECT_EQ(m_dispatcher.stats(m_now).in_flight, 0U);
}

// Guards against a request without a reply: its response broke off after the other attempt had been
// cancelled, but before that attempt's end was reported.
TEST_F(DispatcherTest, BrokenResponseOfAHedgedRequestIsRejected)
{
  add_servers(3);
  serve(40, 10ms);
  const StartAttempt slow = submit_started();
  const auto hedge = select<StartAttempt>(advance(11ms));
  ASSERT_EQ(hedge.size(), 1U);
  EXPECT_EQ(select<CancelAttempt>(m_dispatcher.responding(hedge[0].attempt, m_now)).size(), 1U);
  const auto rejects = select<RejectRequest>(complete(hedge[0], AttemptStatus::Failed));
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].request, slow.request);
  EXPECT_TRUE(complete(slow, AttemptStatus::Cancelled).empty());
}

// Guards against cancelling a long response at the deadline, which applies to its header only.
TEST_F(DispatcherTest, DeadlineEndsWithTheHeaderOfTheResponse)
{
  add_servers(1);
  const StartAttempt waiting = submit_started();
  const StartAttempt transferring = submit_started();
  m_dispatcher.responding(transferring.attempt, m_now);
  const Actions actions = advance(1s);
  const auto cancelled = select<CancelAttempt>(actions);
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].attempt, waiting.attempt);
  const auto rejects = select<RejectRequest>(actions);
  ASSERT_EQ(rejects.size(), 1U);
  EXPECT_EQ(rejects[0].request, waiting.request);
}

// Guards against dispatching more than the share allows, and against losing requests in a handover.
TEST_F(DispatcherTest, ShareLimitsSlotsAndLosingItRejectsWaitingRequests)
{
  add_servers(2);
  m_dispatcher.set_share(SlotShare::Pending, m_now);
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(submit({}).empty());
  }
  EXPECT_EQ(select<StartAttempt>(m_dispatcher.set_share(SlotShare::Isolated, m_now)).size(), 2U);
  EXPECT_EQ(select<StartAttempt>(m_dispatcher.set_share(SlotShare::Reduced, m_now)).size(), 2U);
  const auto rejects = select<RejectRequest>(m_dispatcher.set_share(SlotShare::None, m_now));
  ASSERT_EQ(rejects.size(), 4U);
  EXPECT_EQ(rejects[0].reason, RejectReason::NotOwner);
  EXPECT_EQ(select<RejectRequest>(submit({})).size(), 1U);
}

// Guards against sending requests beyond the slots while the share is not full.
TEST(Dispatcher, RequestsInTransitNeedTheFullShare)
{
  Dispatcher dispatcher({ .service = "s", .requests_in_transit = 1 });
  dispatcher.set_server(make_server(0), kStart);
  dispatcher.set_share(SlotShare::Reduced, kStart);
  for (RequestId id = 1; id < 10; ++id) {
    dispatcher.submit({ .id = id, .deadline = kStart + 1s }, kStart);
  }
  EXPECT_EQ(dispatcher.stats(kStart).in_flight, 2U);
  dispatcher.set_share(SlotShare::Full, kStart);
  EXPECT_EQ(dispatcher.stats(kStart).in_flight, 4U);
}

// Guards against probing more than the budget allows after a takeover, and against a server that is
// never probed again because a probe's result was lost.
TEST_F(DispatcherTest, SilentServerIsProbedWithinTheBudget)
{
  add_servers(1);
  std::vector<TimePoint> probes;
  for (int i = 0; i < 600; ++i) {
    if (!select<SendProbe>(advance(100ms)).empty()) {
      probes.push_back(m_now);
    }
  }
  ASSERT_GE(probes.size(), 3U);
  EXPECT_GE(probes[0] - kStart, 3s);
  for (std::size_t i = 1; i < probes.size(); ++i) {
    EXPECT_GE(probes[i] - probes[i - 1], 3s);
  }
}

// Guards against work for a caller that disconnected.
TEST_F(DispatcherTest, CancelDropsTheRequest)
{
  add_servers(1, 1);
  const StartAttempt running = submit_started();
  submit({});
  EXPECT_TRUE(m_dispatcher.cancel(2, m_now).empty());
  EXPECT_EQ(select<CancelAttempt>(m_dispatcher.cancel(running.request, m_now)).size(), 1U);
  EXPECT_TRUE(complete(running, AttemptStatus::Cancelled).empty());
  EXPECT_EQ(m_dispatcher.stats(m_now).queued_urgent, 0U);
}

} // namespace
} // namespace lovagehold
