#pragma once

#include "lovagehold/consensus_message.h"

#include <deque>
#include <map>

namespace lovagehold {

/// Entries in memory with the memberships that they set.
class EntryLog
{
public:
  EntryLog(std::shared_ptr<const StateSnapshot> snapshot, const std::vector<LogEntry>& entries);

  std::uint64_t first_index() const { return m_before.index + 1; }
  std::uint64_t last_index() const { return m_before.index + m_entries.size(); }
  LogPosition last() const;
  const LogEntry& at(std::uint64_t index) const { return m_entries[index - first_index()]; }
  /// \return whether term_at can answer: the entry, the one before the first, or the snapshot's.
  bool has_term(std::uint64_t index) const;
  std::uint64_t term_at(std::uint64_t index) const;

  /// Entries from entry.index on are replaced.
  void put(const LogEntry& entry);

  /// Keeps \p trailing entries below the snapshot.
  void compact(std::shared_ptr<const StateSnapshot> snapshot, std::uint64_t trailing);
  /// Drops all entries.
  void reset(std::shared_ptr<const StateSnapshot> snapshot);

  const std::shared_ptr<const StateSnapshot>& snapshot() const { return m_snapshot; }
  std::uint64_t snapshot_index() const { return m_snapshot ? m_snapshot->last.index : 0; }
  const Membership& membership() const { return m_memberships.rbegin()->second; }
  std::uint64_t membership_index() const { return m_memberships.rbegin()->first; }
  const Membership& membership_at(std::uint64_t index) const;
  /// Payload bytes after the snapshot.
  std::size_t bytes() const { return m_bytes; }

private:
  void truncate_from(std::uint64_t index);

  std::shared_ptr<const StateSnapshot> m_snapshot;
  /// Position of the entry before the first.
  LogPosition m_before;
  std::deque<LogEntry> m_entries;
  /// By index of the entry that set it; the first is the snapshot's or empty.
  std::map<std::uint64_t, Membership> m_memberships;
  std::size_t m_bytes = 0;
};

} // namespace lovagehold
