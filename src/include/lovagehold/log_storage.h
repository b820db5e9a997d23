#pragma once

#include "lovagehold/consensus_message.h"
#include "lovagehold/disk.h"

#include <functional>
#include <map>
#include <optional>

namespace lovagehold {

struct LogStorageOptions
{
  /// A new segment file is started once the current one has reached this size.
  std::size_t segment_bytes = std::size_t{ 4 } << 20;
  /// Creates the identity for a disk that has none.
  std::function<MemberId()> make_identity;
};

/// Persistent state of a member, as read from its disk.
struct RestoredLog
{
  MemberId self = 0;
  VoteState vote;
  /// Null if there is none.
  std::shared_ptr<const StateSnapshot> snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
  /// Bytes of an incomplete last write that were removed.
  std::size_t truncated_bytes = 0;
};

/// Stores the log, vote and snapshot of one member on a disk. Records are appended to log segments
/// in checksummed frames; each frame is synced before the next one is written, so that only the
/// last one can be incomplete. Not thread-safe.
class LogStorage
{
public:
  LogStorage(LogStorageOptions options, Disk& disk);

  /// Reads the persistent state and removes an incomplete last frame. Must be called again after a
  /// failed write, to remove the bytes that the write may have left.
  /// \return Corrupt, with file and offset, if synced data is damaged; Storage if the disk fails.
  Result<RestoredLog> open();

  /// Writes the records in order and syncs them, once if they contain no snapshot. After an error,
  /// open() must succeed before the next write.
  Result<void> write(const std::vector<LogRecord>& records);

private:
  struct Segment
  {
    /// Highest index of its entries.
    std::uint64_t last_index = 0;
    std::size_t size = 0;
  };
  struct Replay;

  Result<void> load_identity(RestoredLog& restored);
  Result<void> load_snapshot(RestoredLog& restored);
  Result<void> replay_segment(std::uint64_t number, bool newest, Replay& replay);
  Result<void> replace_file(const std::string& name, const Bytes& content);
  Result<Bytes> load_frame(const std::string& name);
  Result<void> start_segment();
  Result<void> append_frame(const std::vector<LogRecord>& records);
  Result<void> remove_covered_segments();

  LogStorageOptions m_options;
  Disk& m_disk;
  /// By number; the last one is written to.
  std::map<std::uint64_t, Segment> m_segments;
  VoteState m_vote;
  LogPosition m_snapshot;
  /// Number and synced length of the segment to which an append was started but not completed.
  std::optional<std::pair<std::uint64_t, std::size_t>> m_incomplete_append;
  /// The next write must first record that the entries on the disk are dropped.
  bool m_drop_log_pending = false;
};

} // namespace lovagehold
