#include "waiting_queue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against a request of low priority, or a later one, that takes the capacity for which a
// more urgent or earlier one waits.
TEST(WaitingQueue, IsOrderedByPriorityThenArrival)
{
  asio::io_context io;
  WaitingQueue queue;
  EXPECT_TRUE(queue.is_empty());
  auto low_priority = std::make_unique<WaitingQueue::Waiter>(queue, io, 2, kStart);
  EXPECT_TRUE(low_priority->is_first());
  auto later =
    std::make_unique<WaitingQueue::Waiter>(queue, io, 1, kStart + std::chrono::seconds(1));
  auto urgent = std::make_unique<WaitingQueue::Waiter>(queue, io, 1, kStart);
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
  auto first = std::make_unique<WaitingQueue::Waiter>(queue, io, 1, kStart);
  WaitingQueue::Waiter second(queue, io, 2, kStart);
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

} // namespace
} // namespace lovagehold
