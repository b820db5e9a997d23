#include "lovagehold/cluster_message.h"
#include "lovagehold/hybrid_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

// Guards against an effect that is ordered before its cause when the system clocks differ or jump.
RC_GTEST_PROP(HybridClock, MessagesAndEventsAreOrderedCausally, ())
{
  std::array<HybridClock, 3> clocks;
  std::array<HybridTime, 3> last{};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 50)));
  for (const auto& [pair, millis] : steps) {
    const auto from = static_cast<std::size_t>(pair % 3);
    const auto to = static_cast<std::size_t>(pair / 3);
    const WallTime wall{ std::chrono::milliseconds(millis) };
    const HybridTime sent = clocks[from].stamp(wall);
    RC_ASSERT(last[from] < sent);
    last[from] = sent;
    const HybridTime received = clocks[to].observe(sent, WallTime{} + std::chrono::milliseconds(5));
    RC_ASSERT(sent < received);
    RC_ASSERT(last[to] < received);
    last[to] = received;
  }
}

// Guards against a timestamp that is lost in encoding or decoding a message.
TEST(ClusterMessage, CarriesTheHybridTime)
{
  const HybridTime time{ 1796373600123, 7 };
  const auto stamped = decode_stamped_message(encode(ClusterMessage(Subscribe{ 4 }), time));
  ASSERT_TRUE(stamped.has_value());
  EXPECT_TRUE(stamped.value().time == time);
  EXPECT_EQ(std::get<Subscribe>(stamped.value().message).from_index, 4U);
}

} // namespace
} // namespace lovagehold
