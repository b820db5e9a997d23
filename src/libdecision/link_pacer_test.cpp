#include "lovagehold/link_pacer.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

// Guards against a long body that fills the send queue of a slow link at once.
TEST(LinkPacer, SpreadsPiecesOverTime)
{
  LinkPacer pacer({ .link_mbps = 0.8, .share = 0.8 });
  const TimePoint now{ milliseconds(1000) };
  ASSERT_TRUE(pacer.active());
  EXPECT_EQ(pacer.reserve(8000, now), now);
  EXPECT_EQ(pacer.reserve(4000, now), now + milliseconds(100));
  EXPECT_EQ(pacer.reserve(4000, now), now + milliseconds(150));
}

// Guards against bandwidth that accumulates while the link is idle and is then used in a burst.
TEST(LinkPacer, IdleBandwidthDoesNotAccumulate)
{
  LinkPacer pacer({ .link_mbps = 0.8, .share = 0.8 });
  const TimePoint now{ milliseconds(1000) };
  pacer.reserve(8000, now);
  const TimePoint later = now + milliseconds(5000);
  EXPECT_EQ(pacer.reserve(8000, later), later);
  EXPECT_EQ(pacer.reserve(8000, later), later + milliseconds(100));
}

// Guards against delays on links that are fast or of unknown bandwidth.
TEST(LinkPacer, DoesNotDelayOnFastLinks)
{
  for (const double rate : { 0.0, 700.0 }) {
    LinkPacer pacer({ .link_mbps = rate });
    const TimePoint now{ milliseconds(1000) };
    EXPECT_FALSE(pacer.active());
    pacer.reserve(std::size_t{ 1 } << 20, now);
    EXPECT_EQ(pacer.reserve(1, now), now);
  }
}

} // namespace
} // namespace lovagehold
