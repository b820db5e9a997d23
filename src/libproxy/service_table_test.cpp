#include "lovagehold/service_table.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

ServerInfo
make_server(std::uint64_t incarnation)
{
  return {
    .service = "desk", .id = "one", .address = "127.0.0.1:1", .slots = 3, .incarnation = incarnation
  };
}

// A table with at most the service "desk", which counts the actions delivered.
struct Table
{
  ServiceTable table{ 2 };
  unsigned started = 0;
  unsigned not_owner = 0;
  unsigned no_server = 0;

  void own(SlotShare share, std::uint64_t incarnation, TimePoint now)
  {
    table.set_service({ .service = "desk" }, { make_server(incarnation) }, share, now);
  }

  void submit(TimePoint now)
  {
    const auto deliver = [this](const Action& action) {
      started += std::holds_alternative<StartAttempt>(action) ? 1 : 0;
      const auto* reject = std::get_if<RejectRequest>(&action);
      not_owner += reject != nullptr && reject->reason == RejectReason::NotOwner ? 1 : 0;
      no_server += reject != nullptr && reject->reason == RejectReason::NoServer ? 1 : 0;
    };
    table.submit("desk", { .deadline = now + seconds(60) }, deliver, now);
  }

  void renew(std::uint64_t incarnation, TimePoint now)
  {
    table.renew_server({ .service = "desk", .id = "one", .incarnation = incarnation }, now);
  }
};

// Guards against dispatching with an expired lease: a process that resumes after a suspension may
// handle requests before its timers have run.
TEST(ServiceTable, LapsedLeaseLimitsTheShareAtDispatch)
{
  Table t;
  t.own(SlotShare::Full, 1, kStart);
  t.table.set_share_limits({ kStart + milliseconds(600), kStart + milliseconds(1000) });
  t.submit(kStart + milliseconds(700));
  t.submit(kStart + milliseconds(700));
  EXPECT_EQ(t.started, 1U) << "isolated: only one slot per server may be used";
  t.submit(kStart + milliseconds(1100));
  EXPECT_EQ(t.started, 1U) << "nothing may be dispatched after the isolation limit";
  EXPECT_EQ(t.table.share("desk", kStart + milliseconds(1100)), SlotShare::None);
  t.table.set_share_limits({ kStart + milliseconds(2000), kStart + milliseconds(3000) });
  EXPECT_EQ(t.not_owner, 2U)
    << "queued requests must be rejected as NotOwner when nothing may be dispatched";
  t.submit(kStart + milliseconds(1150));
  t.submit(kStart + milliseconds(1150));
  EXPECT_EQ(t.started, 3U) << "all slots must be usable again after the lease is renewed";
}

// Guards against renewals of a restarted server that keep its earlier incarnation eligible, and
// against ignoring the announcement of a new incarnation.
TEST(ServiceTable, RenewalCountsForTheKnownIncarnationOnly)
{
  Table t;
  t.own(SlotShare::Full, 1, kStart);
  t.renew(2, kStart + seconds(2));
  t.submit(kStart + seconds(3));
  EXPECT_EQ(t.started, 0U);
  t.own(SlotShare::Full, 2, kStart + seconds(3));
  t.submit(kStart + seconds(3));
  EXPECT_EQ(t.started, 1U);
  t.renew(1, kStart + seconds(5));
  t.submit(kStart + milliseconds(5500));
  EXPECT_EQ(t.started, 1U);
  EXPECT_EQ(t.no_server, 2U) << "the renewal of an earlier incarnation must be ignored";
  t.renew(2, kStart + milliseconds(5500));
  t.submit(kStart + milliseconds(5500));
  EXPECT_EQ(t.no_server, 2U)
    << "the request must wait for the only slot of the server during its cold start";
}

// Guards against servers that stay registered after they have failed, and against an owner that
// removes servers whose renewals went to another host while it did not have the full share.
TEST(ServiceTable, ReportsServersWithoutRenewals)
{
  Table t;
  t.own(SlotShare::Full, 7, kStart);
  t.renew(7, kStart + seconds(10));
  EXPECT_TRUE(t.table.silent_servers(seconds(30), kStart + seconds(40)).empty());
  const auto silent = t.table.silent_servers(seconds(30), kStart + seconds(41));
  ASSERT_EQ(silent.size(), 1U);
  EXPECT_EQ(silent[0].id, "one");
  EXPECT_EQ(silent[0].incarnation, 7U);
  t.table.set_share("desk", SlotShare::None, kStart + seconds(41));
  EXPECT_TRUE(t.table.silent_servers(seconds(30), kStart + seconds(42)).empty());
  t.table.set_share("desk", SlotShare::Full, kStart + seconds(60));
  EXPECT_TRUE(t.table.silent_servers(seconds(30), kStart + seconds(90)).empty());
}

// Guards against requests that wait for ever because the actions of removing a server were dropped
// when the service was handed over.
TEST(ServiceTable, HandOverDeliversAllActions)
{
  Table t;
  t.own(SlotShare::Full, 1, kStart);
  for (int i = 0; i < 8; ++i) {
    t.submit(kStart);
  }
  const unsigned started = t.started;
  EXPECT_LT(started, 8U);
  t.table.hand_over("desk", kStart + milliseconds(10));
  EXPECT_EQ(t.started, started);
  EXPECT_EQ(t.not_owner + t.no_server, 8 - started);
}

// Guards against requests that stay queued at a host that no longer owns their service, and against
// servers that count as silent when the host owns the service again.
TEST(ServiceTable, HandOverRejectsQueuedRequestsAndForgetsServers)
{
  Table t;
  t.own(SlotShare::None, 1, kStart);
  t.submit(kStart);
  t.table.hand_over("desk", kStart + milliseconds(10));
  EXPECT_EQ(t.not_owner, 1U);
  t.own(SlotShare::Full, 1, kStart + seconds(5));
  t.submit(kStart + seconds(6));
  EXPECT_EQ(t.started, 1U);
}

} // namespace
} // namespace lovagehold
