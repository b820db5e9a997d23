#include "lovagehold/waiting_order.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against another order than before (priority, then arrival) where there are no accounts,
// whatever the order in which requests come and go.
TEST(WaitingOrder, WithoutAccountsPriorityAndArrivalDecide)
{
  std::mt19937_64 random(1);
  WaitingOrder order;
  std::vector<std::tuple<unsigned, TimePoint, WaitingOrder::Id>> expected;
  for (int step = 0; step < 2000; ++step) {
    if (expected.size() < 20 && random() % 2 == 0) {
      const auto priority = static_cast<unsigned>(random() % 3);
      const TimePoint arrived = kStart + milliseconds(step / 3 + static_cast<int>(random() % 50));
      const auto id =
        order.add({ .priority = priority, .route_priority = priority, .arrived = arrived });
      expected.emplace_back(priority, arrived, id);
      std::sort(expected.begin(), expected.end());
    } else if (!expected.empty()) {
      const auto gone = expected.begin() + static_cast<int>(random() % expected.size());
      if (random() % 2 == 0) {
        order.count_served(std::get<2>(*gone));
      }
      order.remove(std::get<2>(*gone));
      expected.erase(gone);
    }
    for (std::size_t i = 0; i < expected.size(); ++i) {
      ASSERT_EQ(order.position(std::get<2>(expected[i]), kStart), i);
    }
  }
}

// Guards against a criterion that is overruled by a later one.
TEST(WaitingOrder, CriteriaApplyInTheirOrder)
{
  WaitingOrder order;
  const TimePoint now = kStart + milliseconds(100);
  const auto arrival = order.add(
    { .priority = 1, .route_priority = 1, .account = "a", .arrived = kStart + milliseconds(3) });
  const auto second_of_account = order.add(
    { .priority = 1, .route_priority = 1, .account = "b", .arrived = kStart + milliseconds(2) });
  const auto first_of_account = order.add(
    { .priority = 1, .route_priority = 1, .account = "b", .arrived = kStart + milliseconds(1) });
  const auto late = order.add({ .priority = 1,
                                .route_priority = 1,
                                .account = "c",
                                .arrived = kStart,
                                .meets_until = kStart + milliseconds(99) });
  const auto patient_route = order.add(
    { .priority = 1, .route_priority = 2, .account = "d", .arrived = kStart - milliseconds(1) });
  const auto urgent_account = order.add(
    { .priority = 0, .route_priority = 9, .account = "e", .arrived = kStart + milliseconds(9) });
  std::size_t position = 0;
  for (const auto id :
       { urgent_account, first_of_account, arrival, second_of_account, late, patient_route }) {
    EXPECT_EQ(order.position(id, now), position++) << id;
  }
}

// Guards against a request that keeps its place although it can no longer meet its objective.
TEST(WaitingOrder, RequestLosesItsPlaceWhenItBecomesLate)
{
  WaitingOrder order;
  const auto early = order.add({ .arrived = kStart, .meets_until = kStart + milliseconds(50) });
  const auto later = order.add({ .arrived = kStart + milliseconds(10) });
  EXPECT_EQ(order.first(kStart + milliseconds(50)), early);
  EXPECT_EQ(order.first(kStart + milliseconds(51)), later);
}

// An overload of one service: requests of several accounts arrive evenly and wait for at most
// kMaxWait; the service takes one at a time.
class OverloadSimulation
{
public:
  static constexpr milliseconds kMaxWait{ 500 };

  struct Account
  {
    std::string name;
    double share = 1;
    double load = 0;
    // Requests that arrived, and those that were served.
    int arrived = 0;
    int served = 0;
    TimePoint next = kStart;
  };

  std::vector<Account> accounts;

  // \param capacity requests that are served per second
  void run(double capacity, std::chrono::seconds time)
  {
    const auto interval = [](double rate) {
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
    };
    TimePoint free = kStart;
    for (TimePoint now = kStart; now < kStart + time; now += milliseconds(1)) {
      for (Account& account : accounts) {
        for (; account.next <= now; account.next += interval(account.load)) {
          ++account.arrived;
          const auto id = m_order.add(
            { .account = account.name, .share = account.share, .arrived = account.next });
          m_waiting.push_back({ id, &account, account.next });
        }
      }
      const auto expired = [&](const Waiting& waiting) { return now - waiting.arrived > kMaxWait; };
      for (const Waiting& waiting : m_waiting) {
        if (expired(waiting)) {
          m_order.remove(waiting.id);
        }
      }
      m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), expired), m_waiting.end());
      for (; free <= now; free += interval(capacity)) {
        serve_first(now);
      }
    }
  }

private:
  struct Waiting
  {
    WaitingOrder::Id id;
    Account* account;
    TimePoint arrived;
  };

  void serve_first(TimePoint now)
  {
    if (m_order.is_empty()) {
      return;
    }
    const auto id = m_order.first(now);
    const auto found = std::find_if(
      m_waiting.begin(), m_waiting.end(), [&](const Waiting& each) { return each.id == id; });
    ++found->account->served;
    m_order.count_served(id);
    m_order.remove(id);
    m_waiting.erase(found);
  }

  WaitingOrder m_order;
  std::vector<Waiting> m_waiting;
};

double
served_share(const OverloadSimulation::Account& account)
{
  return static_cast<double>(account.served) / account.arrived;
}

// Load: the largest account sends 7.5 times its usual 96 requests per second, 20 small ones send
// their usual 2; the service has room for the usual load and a quarter more. Guards against an
// account without limits that takes the capacity of the others.
TEST(WaitingOrder, OneAccountWithSevenTimesItsLoadDoesNotCrowdOutOthers)
{
  for (const double share_of_large : { 1.0, 153.6 }) {
    OverloadSimulation overload;
    overload.accounts.push_back({ .name = "large", .share = share_of_large, .load = 720 });
    for (int i = 0; i < 20; ++i) {
      overload.accounts.push_back({ .name = "small" + std::to_string(i),
                                    .share = share_of_large == 1 ? 1 : 3.2,
                                    .load = 2,
                                    .next = kStart + milliseconds(23 * i) });
    }
    overload.run(170, std::chrono::seconds(10));
    for (const auto& account : overload.accounts) {
      if (account.name != "large") {
        EXPECT_GT(served_share(account), 0.95) << account.name << " " << share_of_large;
      }
    }
    // The rest of the capacity is not left unused.
    EXPECT_GT(overload.accounts[0].served, 1200);
  }
}

// Load: a small account sends 7.5 times its usual load while the service is short of capacity.
// Guards against a large account within its rate that is put behind a small one beyond its own.
TEST(WaitingOrder, SmallAccountBeyondItsLoadWaitsBehindALargeOneWithinItsRate)
{
  OverloadSimulation overload;
  overload.accounts = { { .name = "large", .share = 153.6, .load = 96 },
                        { .name = "small", .share = 3.2, .load = 15 } };
  overload.run(100, std::chrono::seconds(10));
  EXPECT_GT(served_share(overload.accounts[0]), 0.97);
  EXPECT_LT(served_share(overload.accounts[1]), 0.6);
}

// Load: all accounts send twice what the service takes. Guards against an account that gets less
// than its share because its refused requests count as served.
TEST(WaitingOrder, EvenOverloadIsSharedInProportionToTheShares)
{
  OverloadSimulation overload;
  overload.accounts = { { .name = "one", .share = 10, .load = 60 },
                        { .name = "three", .share = 30, .load = 180 },
                        { .name = "six", .share = 60, .load = 360 } };
  overload.run(300, std::chrono::seconds(10));
  EXPECT_NEAR(overload.accounts[0].served, 300, 30);
  EXPECT_NEAR(overload.accounts[1].served, 900, 60);
  EXPECT_NEAR(overload.accounts[2].served, 1800, 90);
}

// Load: one account alone, with a backlog; then another one starts. Guards against an account that
// has to make up for what it was served while nobody else waited.
TEST(WaitingOrder, CapacityThatNobodyElseWantedIsNotHeldAgainstAnAccount)
{
  WaitingOrder order;
  for (int i = 0; i < 50; ++i) {
    const auto id = order.add({ .account = "alone", .arrived = kStart + milliseconds(i) });
    order.count_served(id);
    order.remove(id);
  }
  const auto old_account = order.add({ .account = "alone", .arrived = kStart + milliseconds(60) });
  order.add({ .account = "new", .arrived = kStart + milliseconds(61) });
  EXPECT_EQ(order.first(kStart + milliseconds(62)), old_account);
}

} // namespace
} // namespace lovagehold
