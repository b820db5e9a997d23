#include "lovagehold/log_storage.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace lovagehold {

namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kTemporarySuffix[] = ".new";
constexpr char kSegmentPrefix[] = "log-";
constexpr std::size_t kSegmentDigits = 12;
// ASCII "lvglog01", read from the highest byte.
constexpr std::uint64_t kMagic = 0x6c76676c6f673031;

struct FrameHeader
{
  std::uint64_t magic = kMagic;
  std::uint64_t length = 0;
  std::uint64_t checksum = 0;
};

std::string
segment_name(std::uint64_t number)
{
  const std::string digits = std::to_string(number);
  return kSegmentPrefix + std::string(kSegmentDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t>
segment_number(const std::string& file)
{
  if (file.rfind(kSegmentPrefix, 0) != 0) {
    return std::nullopt;
  }
  return std::stoull(file.substr(std::strlen(kSegmentPrefix)));
}

// Includes the location of the frame, so that a copy of a frame inside a payload is never mistaken
// for a frame.
std::uint64_t
checksum(const std::uint8_t* data, std::size_t length, std::uint64_t file, std::size_t offset)
{
  const std::uint64_t location[] = { file, offset, length };
  return XXH3_64bits_withSeed(data, length, XXH3_64bits(location, sizeof location));
}

Bytes
make_frame(const Bytes& payload, std::uint64_t file, std::size_t offset)
{
  const FrameHeader header{ .length = payload.size(),
                            .checksum = checksum(payload.data(), payload.size(), file, offset) };
  Bytes frame(sizeof header + payload.size());
  std::memcpy(frame.data(), &header, sizeof header);
  std::copy(payload.begin(), payload.end(), frame.begin() + sizeof header);
  return frame;
}

std::optional<Bytes>
read_frame(const Bytes& content, std::uint64_t file, std::size_t offset)
{
  FrameHeader header;
  if (content.size() - offset < sizeof header) {
    return std::nullopt;
  }
  std::memcpy(&header, content.data() + offset, sizeof header);
  const std::size_t start = offset + sizeof header;
  if (header.magic != kMagic || header.length > content.size() - start ||
      header.checksum != checksum(content.data() + start, header.length, file, offset)) {
    return std::nullopt;
  }
  return Bytes(content.begin() + start, content.begin() + start + header.length);
}

// Whether a valid frame starts anywhere after the offset.
bool
has_later_frame(const Bytes& content, std::uint64_t file, std::size_t offset)
{
  const auto* magic = reinterpret_cast<const std::uint8_t*>(&kMagic);
  auto position = content.begin() + offset + 1;
  while (true) {
    position = std::search(position, content.end(), magic, magic + sizeof kMagic);
    if (position == content.end()) {
      return false;
    }
    if (read_frame(content, file, position - content.begin())) {
      return true;
    }
    ++position;
  }
}

Error
corrupt(const std::string& file, std::size_t offset)
{
  return { .kind = ErrorKind::Corrupt,
           .message = "corrupt data in " + file + " at offset " + std::to_string(offset),
           .remedy = "empty the data folder; the host then rejoins as a new member and fetches the "
                     "state from the others" };
}

} // namespace

// State that results from the records of all segments in order.
struct LogStorage::Replay
{
  RestoredLog restored;
  std::map<std::uint64_t, LogEntry> entries;
  Segment* segment = nullptr;

  void add(const VoteState& vote) { restored.vote = vote; }

  void add(const LogEntry& entry)
  {
    entries.erase(entries.lower_bound(entry.index), entries.end());
    entries[entry.index] = entry;
    segment->last_index = std::max(segment->last_index, entry.index);
  }

  void add(const SaveSnapshot& save)
  {
    if (save.drop_log) {
      entries.clear();
    }
  }
};

LogStorage::LogStorage(LogStorageOptions options, Disk& disk)
  : m_options(std::move(options))
  , m_disk(disk)
{
}

Result<void>
LogStorage::replace_file(const std::string& name, const Bytes& content)
{
  const std::string temporary = name + kTemporarySuffix;
  BOOST_OUTCOME_TRY(files, m_disk.list());
  if (std::find(files.begin(), files.end(), temporary) != files.end()) {
    BOOST_OUTCOME_TRYV(m_disk.remove(temporary));
  }
  BOOST_OUTCOME_TRYV(m_disk.append(temporary, make_frame(content, 0, 0)));
  BOOST_OUTCOME_TRYV(m_disk.sync(temporary));
  BOOST_OUTCOME_TRYV(m_disk.rename(temporary, name));
  return m_disk.sync_folder();
}

Result<Bytes>
LogStorage::load_frame(const std::string& name)
{
  BOOST_OUTCOME_TRY(content, m_disk.read(name));
  std::optional<Bytes> payload = read_frame(content, 0, 0);
  if (!payload) {
    return corrupt(name, 0);
  }
  return *std::move(payload);
}

Result<void>
LogStorage::load_identity(RestoredLog& restored)
{
  BOOST_OUTCOME_TRY(content, load_frame(kIdentityFile));
  if (content.size() != sizeof restored.self) {
    return corrupt(kIdentityFile, 0);
  }
  std::memcpy(&restored.self, content.data(), sizeof restored.self);
  return boost::outcome_v2::success();
}

Result<void>
LogStorage::load_snapshot(RestoredLog& restored)
{
  BOOST_OUTCOME_TRY(content, load_frame(kSnapshotFile));
  try {
    restored.snapshot = std::make_shared<const StateSnapshot>(decode_snapshot(content));
  } catch (const std::exception&) {
    return corrupt(kSnapshotFile, 0);
  }
  m_snapshot = restored.snapshot->last;
  return boost::outcome_v2::success();
}

Result<void>
LogStorage::replay_segment(std::uint64_t number, bool newest, Replay& replay)
{
  const std::string name = segment_name(number);
  if (m_incomplete_append && m_incomplete_append->first == number) {
    BOOST_OUTCOME_TRYV(m_disk.truncate(name, m_incomplete_append->second));
    BOOST_OUTCOME_TRYV(m_disk.sync(name));
  }
  BOOST_OUTCOME_TRY(content, m_disk.read(name));
  Segment& segment = m_segments[number];
  replay.segment = &segment;
  while (segment.size < content.size()) {
    const std::optional<Bytes> payload = read_frame(content, number, segment.size);
    if (!payload) {
      break;
    }
    try {
      for (const LogRecord& record : decode_records(*payload)) {
        std::visit([&](const auto& typed) { replay.add(typed); }, record);
      }
    } catch (const std::exception&) {
      return corrupt(name, segment.size);
    }
    segment.size += sizeof(FrameHeader) + payload->size();
  }
  if (segment.size == content.size()) {
    return boost::outcome_v2::success();
  }
  // Each frame is synced before the next one is written, so an invalid frame that is followed by a
  // valid one was damaged later.
  if (!newest || has_later_frame(content, number, segment.size)) {
    return corrupt(name, segment.size);
  }
  replay.restored.truncated_bytes = content.size() - segment.size;
  BOOST_OUTCOME_TRYV(m_disk.truncate(name, segment.size));
  return m_disk.sync(name);
}

Result<RestoredLog>
LogStorage::open()
{
  m_segments.clear();
  m_snapshot = {};
  Replay replay;
  // A file that an earlier failed write created or renamed must be durable before it is relied on.
  BOOST_OUTCOME_TRYV(m_disk.sync_folder());
  BOOST_OUTCOME_TRY(files, m_disk.list());
  const auto exists = [&](const char* name) {
    return std::find(files.begin(), files.end(), name) != files.end();
  };
  if (!exists(kIdentityFile)) {
    const MemberId identity = m_options.make_identity();
    Bytes content(sizeof identity);
    std::memcpy(content.data(), &identity, sizeof identity);
    BOOST_OUTCOME_TRYV(replace_file(kIdentityFile, content));
  }
  BOOST_OUTCOME_TRYV(load_identity(replay.restored));
  if (exists(kSnapshotFile)) {
    BOOST_OUTCOME_TRYV(load_snapshot(replay.restored));
  }
  std::vector<std::uint64_t> numbers;
  for (const std::string& file : files) {
    if (const auto number = segment_number(file)) {
      numbers.push_back(*number);
    }
  }
  for (const std::uint64_t number : numbers) {
    BOOST_OUTCOME_TRYV(replay_segment(number, number == numbers.back(), replay));
  }
  m_incomplete_append.reset();
  m_vote = replay.restored.vote;

  // A log that does not contain the snapshot's position conflicts with the snapshot: the process
  // ended after it saved a received snapshot and before it recorded that the log is dropped.
  auto& entries = replay.entries;
  const auto at_snapshot = entries.find(m_snapshot.index);
  const bool contains_snapshot =
    m_snapshot.index == 0 || entries.empty() || entries.begin()->first == m_snapshot.index + 1 ||
    (at_snapshot != entries.end() && at_snapshot->second.term == m_snapshot.term);
  if (!contains_snapshot) {
    entries.clear();
  }
  m_drop_log_pending = m_snapshot.index > 0 && entries.empty();
  entries.erase(entries.begin(), entries.upper_bound(m_snapshot.index));
  std::uint64_t expected = m_snapshot.index;
  for (auto& [index, entry] : entries) {
    if (index != ++expected) {
      return corrupt(segment_name(numbers.front()), 0);
    }
    replay.restored.entries.push_back(std::move(entry));
  }
  return std::move(replay.restored);
}

Result<void>
LogStorage::start_segment()
{
  const std::uint64_t number = m_segments.empty() ? 1 : m_segments.rbegin()->first + 1;
  m_segments[number] = {};
  return append_frame({ m_vote });
}

Result<void>
LogStorage::append_frame(const std::vector<LogRecord>& records)
{
  const std::uint64_t number = m_segments.rbegin()->first;
  Segment& segment = m_segments.rbegin()->second;
  const bool created = segment.size == 0;
  const Bytes frame = make_frame(encode(records), number, segment.size);
  m_incomplete_append = { number, segment.size };
  BOOST_OUTCOME_TRYV(m_disk.append(segment_name(number), frame));
  BOOST_OUTCOME_TRYV(m_disk.sync(segment_name(number)));
  if (created) {
    BOOST_OUTCOME_TRYV(m_disk.sync_folder());
  }
  m_incomplete_append.reset();
  segment.size += frame.size();
  for (const LogRecord& record : records) {
    if (const auto* entry = std::get_if<LogEntry>(&record)) {
      segment.last_index = std::max(segment.last_index, entry->index);
    } else if (const auto* vote = std::get_if<VoteState>(&record)) {
      m_vote = *vote;
    }
  }
  return boost::outcome_v2::success();
}

Result<void>
LogStorage::remove_covered_segments()
{
  while (m_segments.size() > 1 && m_segments.begin()->second.last_index <= m_snapshot.index) {
    BOOST_OUTCOME_TRYV(m_disk.remove(segment_name(m_segments.begin()->first)));
    m_segments.erase(m_segments.begin());
  }
  return boost::outcome_v2::success();
}

Result<void>
LogStorage::write(const std::vector<LogRecord>& records)
{
  if (m_segments.empty() || m_segments.rbegin()->second.size >= m_options.segment_bytes) {
    BOOST_OUTCOME_TRYV(start_segment());
  }
  std::vector<LogRecord> frame;
  if (m_drop_log_pending) {
    auto position = std::make_shared<StateSnapshot>();
    position->last = m_snapshot;
    frame.emplace_back(SaveSnapshot{ .snapshot = position, .drop_log = true });
    m_drop_log_pending = false;
  }
  for (const LogRecord& record : records) {
    const auto* save = std::get_if<SaveSnapshot>(&record);
    if (save == nullptr) {
      frame.push_back(record);
      continue;
    }
    // The preceding records are written first: the snapshot replaces them only once it is durable.
    if (!frame.empty()) {
      BOOST_OUTCOME_TRYV(append_frame(frame));
      frame.clear();
    }
    BOOST_OUTCOME_TRYV(replace_file(kSnapshotFile, encode(*save->snapshot)));
    m_snapshot = save->snapshot->last;
    BOOST_OUTCOME_TRYV(start_segment());
    if (save->drop_log) {
      BOOST_OUTCOME_TRYV(append_frame({ record }));
      for (auto& [number, segment] : m_segments) {
        segment.last_index = 0;
      }
    }
    BOOST_OUTCOME_TRYV(remove_covered_segments());
  }
  return frame.empty() ? boost::outcome_v2::success() : append_frame(frame);
}

} // namespace lovagehold
