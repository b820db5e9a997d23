#include "lovagehold/log_storage.h"
#include "testing/fake_disk.h"

#include <gtest/gtest.h>

namespace lovagehold::testing {
namespace {

constexpr MemberId kIdentity = 7;
constexpr std::uint64_t kRandomSeed = 3;

class LogStorageTest : public ::testing::Test
{
protected:
  Result<RestoredLog> open()
  {
    m_storage = std::make_unique<LogStorage>(
      LogStorageOptions{ .segment_bytes = 400, .make_identity = [] { return kIdentity; } }, m_disk);
    return m_storage->open();
  }

  void write(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
  {
    std::vector<LogRecord> records;
    for (std::uint64_t index = first; index <= last; ++index) {
      records.emplace_back(LogEntry{ .index = index,
                                     .term = term,
                                     .kind = EntryKind::Command,
                                     .payload = std::make_shared<const Bytes>(50) });
    }
    ASSERT_TRUE(m_storage->write(records).has_value());
  }

  void save(std::uint64_t index, std::uint64_t term, bool drop_log)
  {
    auto snapshot = std::make_shared<StateSnapshot>();
    snapshot->last = { .index = index, .term = term };
    snapshot->state = { 1, 2, 3 };
    ASSERT_TRUE(
      m_storage->write({ SaveSnapshot{ .snapshot = snapshot, .drop_log = drop_log } }).has_value());
  }

  FakeDisk m_disk;
  std::unique_ptr<LogStorage> m_storage;
  std::mt19937_64 m_random{ kRandomSeed };
};

// Guards against a vote, an entry or an identity that is lost in a crash.
TEST_F(LogStorageTest, SyncedDataSurvivesACrash)
{
  ASSERT_TRUE(open().has_value());
  write(1, 20);
  ASSERT_TRUE(m_storage->write({ VoteState{ .term = 4, .voted_for = 9 } }).has_value());
  write(15, 16, 4);
  m_disk.crash(m_random);
  const RestoredLog log = open().value();
  EXPECT_EQ(log.self, kIdentity);
  EXPECT_EQ(log.vote.term, 4U);
  EXPECT_EQ(log.vote.voted_for, 9U);
  ASSERT_EQ(log.entries.size(), 16U);
  EXPECT_EQ(log.entries.back().term, 4U);
}

// Guards against a process that does not start after a torn write, or reads an incomplete entry.
TEST_F(LogStorageTest, TornTailIsTruncated)
{
  ASSERT_TRUE(open().has_value());
  write(1, 2);
  const std::string segment = m_disk.list().value().back();
  ASSERT_TRUE(m_disk.append(segment, Bytes(11, 0x6c)).has_value());
  RestoredLog log = open().value();
  EXPECT_EQ(log.truncated_bytes, 11U);
  EXPECT_EQ(log.entries.size(), 2U);
  write(3, 3);
  log = open().value();
  EXPECT_EQ(log.truncated_bytes, 0U);
  EXPECT_EQ(log.entries.size(), 3U);
}

// Guards against the loss of acknowledged entries by mistaking damaged data for a torn write.
TEST_F(LogStorageTest, DamageBeforeTheTailIsRefusedWithFileAndOffset)
{
  ASSERT_TRUE(open().has_value());
  write(1, 1);
  const std::size_t second = m_disk.read("log-000000000001").value().size();
  write(2, 2);
  write(3, 3);
  m_disk.damage("log-000000000001", second + 30);
  const Result<RestoredLog> refused = open();
  ASSERT_TRUE(refused.has_error());
  EXPECT_EQ(refused.error().kind, ErrorKind::Corrupt);
  EXPECT_EQ(refused.error().message,
            "corrupt data in log-000000000001 at offset " + std::to_string(second));
}

// Guards against undetected damage in a segment that is not the newest, and in the snapshot.
TEST_F(LogStorageTest, DamageInOtherFilesIsRefused)
{
  ASSERT_TRUE(open().has_value());
  for (std::uint64_t index = 1; index <= 20; ++index) {
    write(index, index);
  }
  const std::size_t end = m_disk.read("log-000000000001").value().size();
  m_disk.damage("log-000000000001", end - 1);
  EXPECT_EQ(open().error().kind, ErrorKind::Corrupt);
  m_disk.damage("log-000000000001", end - 1);
  ASSERT_TRUE(open().has_value());
  save(10, 1, false);
  m_disk.damage("snapshot", 30);
  EXPECT_EQ(open().error().message, "corrupt data in snapshot at offset 0");
}

// Guards against segments that are never removed, and against the removal of entries that the
// snapshot does not cover.
TEST_F(LogStorageTest, SnapshotReplacesOldSegments)
{
  ASSERT_TRUE(open().has_value());
  for (std::uint64_t index = 1; index <= 40; ++index) {
    write(index, index);
  }
  ASSERT_TRUE(m_disk.read("log-000000000005").has_value());
  save(35, 1, false);
  EXPECT_TRUE(m_disk.read("log-000000000001").has_error());
  EXPECT_TRUE(m_disk.read("log-000000000004").has_error());
  const RestoredLog log = open().value();
  EXPECT_EQ(log.snapshot->last.index, 35U);
  EXPECT_EQ(log.snapshot->state, (Bytes{ 1, 2, 3 }));
  ASSERT_EQ(log.entries.size(), 5U);
  EXPECT_EQ(log.entries.front().index, 36U);
}

// Guards against the loss of both a snapshot and the entries that it covers, by a crash at any of
// the writes of the snapshot.
TEST_F(LogStorageTest, CrashAtAnyWriteOfASnapshotKeepsTheState)
{
  constexpr unsigned kWrites = 16;
  for (unsigned changes = 1; changes <= kWrites; ++changes) {
    for (const bool drop_log : { false, true }) {
      m_disk.wipe();
      ASSERT_TRUE(open().has_value());
      write(1, 12);
      auto snapshot = std::make_shared<StateSnapshot>();
      snapshot->last = { .index = 10, .term = drop_log ? 5U : 1U };
      m_disk.crash_after(changes);
      const bool saved =
        m_storage->write({ SaveSnapshot{ .snapshot = snapshot, .drop_log = drop_log } })
          .has_value();
      m_disk.crash(m_random);
      const Result<RestoredLog> log = open();
      ASSERT_TRUE(log.has_value()) << changes << ": " << log.error().message;
      const bool has_snapshot = log.value().snapshot != nullptr;
      EXPECT_TRUE(has_snapshot || !saved);
      const std::uint64_t expected = !has_snapshot ? 12U : drop_log ? 0U : 2U;
      EXPECT_EQ(log.value().entries.size(), expected) << changes;
    }
  }
}

// Guards against bytes of a failed write that reappear after later writes.
TEST_F(LogStorageTest, OpenRemovesWhatAFailedWriteLeft)
{
  ASSERT_TRUE(open().has_value());
  write(1, 3);
  m_disk.set_capacity(m_disk.used() + 20);
  EXPECT_EQ(m_storage->write({ VoteState{ .term = 2 } }).error().kind, ErrorKind::Storage);
  m_disk.set_capacity(std::nullopt);
  EXPECT_EQ(m_storage->open().value().truncated_bytes, 0U);
  write(4, 4);
  EXPECT_EQ(open().value().entries.size(), 4U);
}

} // namespace
} // namespace lovagehold::testing
