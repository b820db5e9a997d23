#pragma once

#include "lovagehold/consensus_message.h"
#include "lovagehold/disk.h"

#include <functional>
#include <map>
#include <optional>

namespace lovagehold {

struct LogStorageOptions
{
  /// A segment that has reached this size is closed and a new one started.
  std::size_t segment_bytes = std::size_t{ 4 } << 20;
  /// Gives the identity of a disk that has none.
  std::function<MemberId()> make_identity;
};

/// What a disk holds after a start.
struct RestoredLog
{
  MemberId self = 0;
  VoteState vote;
  /// Null if there is none.
  std::shared_ptr<const StateSnapshot> snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> entries;
  /// Bytes of a torn write that were removed.
  std::size_t truncated_bytes = 0;
};

/// Log, vote and snapshot of one member on a disk. Each write is one checksummed frame, synced
/// before the next one starts; so only the last frame can be torn. Not thread-safe.
class LogStorage
{
public:
  LogStorage(LogStorageOptions options, Disk& disk);

  /// Reads everything and removes a torn tail; also called to recover after a failed write, to
  /// remove what that write left.
  /// \return Corrupt, with file and offset, if synced data is damaged; Storage if the disk fails.
  Result<RestoredLog> open();

  /// Writes the records in order and syncs once. After an error nothing may be written until open()
  /// has succeeded again.
  Result<void> write(const std::vector<LogRecord>& records);

  /// Bytes written and syncs of log segments since the start.
  std::uint64_t bytes_written() const { return m_bytes_written; }
  std::uint64_t syncs() const { return m_syncs; }

private:
  struct Segment
  {
    std::uint64_t last_index = 0;
    std::size_t size = 0;
  };
  struct Replay;

  Result<void> load_identity(RestoredLog& restored);
  Result<void> load_snapshot(RestoredLog& restored);
  Result<void> read_segment(std::uint64_t number, bool last, Replay& replay);
  Result<void> save_file(const std::string& name, const Bytes& content);
  Result<Bytes> load_file(const std::string& name);
  Result<void> start_segment();
  Result<void> append_frame(const std::vector<LogRecord>& records);
  Result<void> remove_segments();

  LogStorageOptions m_options;
  Disk& m_disk;
  std::map<std::uint64_t, Segment> m_segments;
  VoteState m_vote;
  LogPosition m_snapshot;
  /// Length up to which the newest segment is known to be synced, after a failed write.
  std::optional<std::pair<std::uint64_t, std::size_t>> m_failed_at;
  bool m_reset_needed = false;
  std::uint64_t m_bytes_written = 0;
  std::uint64_t m_syncs = 0;
};

} // namespace lovagehold
