#include "wait_terms.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

WaitTerms
terms(unsigned priority, TimePoint arrived)
{
  return { .request = { .priority = priority, .route_priority = priority, .arrived = arrived } };
}

// Guards against a request of low priority, or a later one, that takes the capacity for which a
// more urgent or earlier one waits.
TEST(WaitingQueue, IsOrderedByPriorityThenArrival)
{
  asio::io_context io;
  WaitingQueue queue;
  EXPECT_TRUE(queue.is_empty());
  auto low_priority = std::make_unique<WaitingQueue::Waiter>(queue, io, terms(2, kStart));
  EXPECT_TRUE(low_priority->is_first());
  auto later =
    std::make_unique<WaitingQueue::Waiter>(queue, io, terms(1, kStart + std::chrono::seconds(1)));
  auto urgent = std::make_unique<WaitingQueue::Waiter>(queue, io, terms(1, kStart));
  EXPECT_TRUE(urgent->is_first());
  urgent.reset();
  EXPECT_TRUE(later->is_first());
  later.reset();
  EXPECT_TRUE(low_priority->is_first());
  low_priority.reset();
  EXPECT_TRUE(queue.is_empty());
}

// Guards against a request that is not woken after the ones before it have left the queue, or after
// a request of the service has ended.
TEST(WaitingQueue, FirstWaiterIsWoken)
{
  asio::io_context io;
  WaitingQueue queue;
  auto first = std::make_unique<WaitingQueue::Waiter>(queue, io, terms(1, kStart));
  WaitingQueue::Waiter second(queue, io, terms(2, kStart));
  int woken = 0;
  asio::co_spawn(
    io,
    [&]() -> awaitable<void> {
      co_await second.wait_until(TimePoint::max());
      ++woken;
      co_await second.wait_until(TimePoint::max());
      ++woken;
    },
    asio::detached);
  io.poll();
  queue.wake_first();
  io.poll();
  EXPECT_EQ(woken, 0);
  first.reset();
  io.poll();
  EXPECT_EQ(woken, 1);
  queue.wake_first();
  io.poll();
  EXPECT_EQ(woken, 2);
}

// A gateway's state with one route of priority 2, an objective of 800 ms and, if wanted, accounts.
class WaitTermsTest : public ::testing::Test
{
protected:
  WaitTermsTest()
    : m_log({ .host = "wait-terms-test", .level = "error" })
    , m_context(m_io, {}, m_log)
  {
  }

  WaitTerms terms_of(const std::shared_ptr<const ClientAccount>& account, bool has_accounts)
  {
    m_context.routing.emplace(RoutingConfig{ .version = 1, .requires_key = has_accounts }, 1);
    const GatewayRequest request{ .route = std::make_shared<const Route>(
                                    Route{ .target_latency = std::chrono::milliseconds(800),
                                           .priority = 2 }),
                                  .service = "desk",
                                  .account = account,
                                  .arrived = kStart,
                                  .age = std::chrono::milliseconds(300) };
    return wait_terms(m_context, request, kStart + std::chrono::seconds(1), kStart);
  }

  asio::io_context m_io;
  EventLog m_log;
  GatewayContext m_context;
};

// Guards against another rank or wait than before where the configuration has no accounts.
TEST_F(WaitTermsTest, WithoutAccountsAreThoseOfTheRoute)
{
  const WaitTerms terms = terms_of(nullptr, false);
  EXPECT_EQ(terms.request.priority, 2U);
  EXPECT_EQ(terms.request.meets_until, TimePoint::max());
  EXPECT_EQ(terms.usual_end, kStart + std::chrono::milliseconds(100));
  EXPECT_FALSE(terms.follows_queue);
}

// Guards against an account whose priority or share does not count, and against an objective that
// starts anew with each attempt of the caller.
TEST_F(WaitTermsTest, WithAccountsAreThoseOfTheAccount)
{
  const auto account = std::make_shared<const ClientAccount>(
    ClientAccount{ .name = "north", .priority = 0, .rate = 126 });
  const WaitTerms terms = terms_of(account, true);
  EXPECT_EQ(terms.request.priority, 0U);
  EXPECT_EQ(terms.request.route_priority, 2U);
  EXPECT_EQ(terms.request.account, "north");
  EXPECT_EQ(terms.request.share, 126);
  EXPECT_EQ(terms.request.meets_until, kStart + std::chrono::milliseconds(500));
  EXPECT_EQ(terms.in_time_end, kStart + std::chrono::milliseconds(500));
  EXPECT_TRUE(terms.follows_queue);
  EXPECT_EQ(terms_of(nullptr, true).request.priority, 2U);
}

} // namespace
} // namespace lovagehold
