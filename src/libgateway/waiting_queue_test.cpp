#include "waiting_queue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against patient requests that take the room for which urgent or earlier ones wait.
TEST(WaitingQueue, IsOrderedByPriorityThenArrival)
{
  asio::io_context io;
  WaitingQueue queue;
  EXPECT_TRUE(queue.is_empty());
  auto patient = std::make_unique<WaitingQueue::Place>(queue, io, 2, kStart);
  EXPECT_TRUE(patient->is_first());
  auto late = std::make_unique<WaitingQueue::Place>(queue, io, 1, kStart + std::chrono::seconds(1));
  auto urgent = std::make_unique<WaitingQueue::Place>(queue, io, 1, kStart);
  EXPECT_TRUE(urgent->is_first());
  urgent.reset();
  EXPECT_TRUE(late->is_first());
  late.reset();
  EXPECT_TRUE(patient->is_first());
  patient.reset();
  EXPECT_TRUE(queue.is_empty());
}

// Guards against a request that goes on waiting although the ones before it are gone, or although
// a request has ended.
TEST(WaitingQueue, FirstPlaceIsWoken)
{
  asio::io_context io;
  WaitingQueue queue;
  auto first = std::make_unique<WaitingQueue::Place>(queue, io, 1, kStart);
  WaitingQueue::Place second(queue, io, 2, kStart);
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
