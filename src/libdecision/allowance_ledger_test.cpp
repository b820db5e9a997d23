#include "lovagehold/allowance_gate.h"
#include "lovagehold/allowance_ledger.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr AllowanceLimit kLimit{ .rate = 10, .burst = 12, .version = 1 };

class AllowanceLedgerTest : public ::testing::Test
{
protected:
  AllowanceAnswer ask(unsigned requests, TimePoint now, const AllowanceLimit& limit = kLimit)
  {
    return m_ledger.query("a", limit, requests, now, m_random);
  }

  AllowanceLedger m_ledger;
  std::mt19937_64 m_random{ 1 };
};

// Guards against a Retry-After at which nothing is available, and against a burst right after the
// start of a ledger.
TEST_F(AllowanceLedgerTest, DenialNamesTheTimeOfTheNextToken)
{
  EXPECT_EQ(ask(100, kStart).granted, 4U);
  const AllowanceAnswer denied = ask(1, kStart);
  EXPECT_EQ(denied.granted, 0U);
  EXPECT_TRUE(denied.over);
  EXPECT_EQ(denied.wait, milliseconds(100));
  EXPECT_GE(denied.retry, denied.wait);
  EXPECT_EQ(ask(1, kStart + milliseconds(99)).granted, 0U);
  EXPECT_EQ(ask(1, kStart + milliseconds(100)).granted, 1U);
}

// Guards against restrictions that begin too late for the requests under way, or end while the
// account is still near its limit.
TEST_F(AllowanceLedgerTest, RestrictsNearTheLimit)
{
  ask(0, kStart);
  EXPECT_TRUE(m_ledger.is_restricted("a"));
  // The depth is 20; the bucket is above 14 after 1 s.
  for (milliseconds time(50); time < milliseconds(2900); time += milliseconds(50)) {
    m_ledger.update(kStart + time);
    EXPECT_TRUE(m_ledger.is_restricted("a"));
  }
  m_ledger.update(kStart + milliseconds(3100));
  EXPECT_FALSE(m_ledger.is_restricted("a"));
  const TimePoint now = kStart + seconds(10);
  m_ledger.use("a", kLimit, 14, 0, now);
  EXPECT_FALSE(m_ledger.is_restricted("a"));
  m_ledger.use("a", kLimit, 2, 0, now);
  EXPECT_TRUE(m_ledger.is_restricted("a"));
}

// Guards against debt that is forgotten, and against debt from a higher limit that denies an
// account for longer than the window.
TEST_F(AllowanceLedgerTest, DebtIsKeptForTheWindow)
{
  ask(0, kStart);
  m_ledger.use("a", kLimit, 30, 0, kStart);
  EXPECT_EQ(ask(1, kStart + milliseconds(2500)).granted, 0U);
  EXPECT_EQ(ask(1, kStart + milliseconds(2700)).granted, 1U);
  const AllowanceLimit lower{ .rate = 1, .version = 2 };
  m_ledger.use("a", kLimit, 40, 0, kStart + seconds(3));
  EXPECT_EQ(ask(1, kStart + seconds(3), lower).granted, 0U);
  EXPECT_EQ(ask(1, kStart + milliseconds(9100), lower).granted, 1U);
}

// Guards against tokens of a higher limit, or a host with an old configuration, that let an account
// exceed a lowered one.
TEST_F(AllowanceLedgerTest, NewestLimitHolds)
{
  ask(0, kStart);
  const AllowanceLimit lower{ .rate = 1, .version = 2 };
  EXPECT_EQ(ask(0, kStart + seconds(60), lower).granted, 0U);
  EXPECT_EQ(ask(30, kStart + seconds(60), kLimit).granted, 8U);
}

// Guards against a ledger that grants the shares of hosts that can't reach it, and against a denial
// as beyond the allowance that only reflects this.
TEST_F(AllowanceLedgerTest, LeavesAShareToHostsOutOfReach)
{
  ask(0, kStart);
  const TimePoint now = kStart + seconds(10);
  m_ledger.set_share("a", 0.5, now);
  const AllowanceAnswer answer = ask(3, now);
  EXPECT_EQ(answer.granted, 2U);
  EXPECT_FALSE(answer.over);
  EXPECT_EQ(ask(5, now + seconds(1)).granted, 5U);
}

class AllowanceGateTest : public ::testing::Test
{
protected:
  AllowanceGateTest()
  {
    m_gate.set_hosts(203);
    m_gate.contact(kStart - seconds(1));
    m_gate.contact(kStart - milliseconds(500));
    m_gate.contact(kStart);
  }

  ClientAccount m_account{ .name = "a", .rate = 3.2, .burst = 3.2 };
  AllowanceGate m_gate;
  std::mt19937_64 m_random{ 1 };
};

// Guards against hosts that each admit requests that no ledger knows.
TEST_F(AllowanceGateTest, UnconfirmedRequestsAreFew)
{
  EXPECT_EQ(m_gate.decide(m_account, kStart), AllowanceVerdict::Admit);
  EXPECT_EQ(m_gate.decide(m_account, kStart), AllowanceVerdict::Ask);
  m_gate.confirm("a", 1, 0, kStart);
  m_gate.apply("a", {}, kStart);
  EXPECT_EQ(m_gate.decide(m_account, kStart), AllowanceVerdict::Admit);
}

// Guards against a host that admits requests although it has lost contact, or has not been told of
// the restrictions since it is back.
TEST_F(AllowanceGateTest, AsksWithoutRecentWordOfTheRestrictions)
{
  const TimePoint lost = kStart + milliseconds(700);
  EXPECT_EQ(m_gate.decide(m_account, lost), AllowanceVerdict::Ask);
  m_gate.contact(lost);
  EXPECT_EQ(m_gate.decide(m_account, lost), AllowanceVerdict::Ask);
  m_gate.contact(lost + milliseconds(500));
  EXPECT_EQ(m_gate.decide(m_account, lost + milliseconds(700)), AllowanceVerdict::Admit);
}

// Guards against questions for requests that are known to be denied, and against a restriction that
// outlasts the control hosts that set it.
TEST_F(AllowanceGateTest, DeniesUntilTheNamedTime)
{
  m_gate.decide(m_account, kStart);
  m_gate.apply(
    "a",
    { .over = true, .wait = milliseconds(300), .retry = milliseconds(400), .restricted = true },
    kStart);
  const TimePoint now = kStart + milliseconds(200);
  ASSERT_EQ(m_gate.decide(m_account, now), AllowanceVerdict::Deny);
  const AllowanceGate::Denial denial = m_gate.denial("a", now, m_random);
  EXPECT_TRUE(denial.over);
  EXPECT_GE(denial.retry, milliseconds(100));
  EXPECT_LE(denial.retry, milliseconds(400));
  EXPECT_EQ(m_gate.decide(m_account, kStart + milliseconds(300)), AllowanceVerdict::Ask);
  EXPECT_EQ(m_gate.restricted_count(kStart + milliseconds(2900)), 1U);
  EXPECT_EQ(m_gate.restricted_count(kStart + seconds(3)), 0U);
}

} // namespace
} // namespace lovagehold
