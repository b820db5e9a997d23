#include "suspect_board.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

CrashReports
report(RequestFingerprint request, unsigned crashes)
{
  CrashEvidence evidence{ .request = request, .service = "desk" };
  for (unsigned i = 0; i < crashes; ++i) {
    evidence.crashes.push_back({ .server = i,
                                 .sent = milliseconds(1000 - 200 * i),
                                 .crashed = milliseconds(900 - 200 * i) });
  }
  return { { evidence } };
}

class SuspectBoardTest : public ::testing::Test
{
protected:
  SuspectBoard m_board{ {}, milliseconds(3000) };
};

// Guards against an entry host that is not told of a suspect, and against messages that repeat what
// is known.
TEST_F(SuspectBoardTest, ChangesArePublishedOnce)
{
  m_board.merge(report(7, 2), kStart);
  EXPECT_EQ(m_board.take_changes(kStart).evidence.size(), 1U);
  EXPECT_TRUE(m_board.take_changes(kStart).evidence.empty());
  m_board.merge(report(7, 2), kStart);
  EXPECT_TRUE(m_board.take_changes(kStart).evidence.empty());
  m_board.merge(report(7, 3), kStart);
  EXPECT_EQ(m_board.take_changes(kStart).evidence.size(), 1U);
  EXPECT_EQ(m_board.quarantined_count(kStart), 1U);
}

// Guards against messages to all entry hosts for each request that a crashed server was running.
TEST_F(SuspectBoardTest, SingleCrashesAreNotPublished)
{
  m_board.merge(report(7, 1), kStart);
  EXPECT_TRUE(m_board.take_changes(kStart).evidence.empty());
}

// Guards against an entry host that restarts and sends a quarantined request to servers again.
TEST_F(SuspectBoardTest, RestartedSubscriberGetsTheEvidence)
{
  m_board.merge(report(7, 3), kStart);
  EXPECT_EQ(m_board.add_subscriber("e", false, kStart).evidence.size(), 1U);
  EXPECT_TRUE(m_board.add_subscriber("e", false, kStart).evidence.empty());
  EXPECT_TRUE(m_board.add_subscriber("e", true, kStart).evidence.empty());
  EXPECT_EQ(m_board.add_subscriber("e", false, kStart).evidence.size(), 1U);
  m_board.expire(kStart + milliseconds(3000));
  EXPECT_TRUE(m_board.subscribers().empty());
}

} // namespace
} // namespace lovagehold
