#pragma once

#include "lovagehold/consensus_message.h"

#include <deque>
#include <map>

namespace lovagehold {

/// In-memory log: the last snapshot, the entries after it, a few entries before it, and the
/// memberships that the entries set.
class EntryLog
{
public:
  EntryLog(std::shared_ptr<const StateSnapshot> snapshot, const std::vector<LogEntry>& entries);

  std::uint64_t first_index() const { return m_preceding.index + 1; }
  std::uint64_t last_index() const { return m_preceding.index + m_entries.size(); }
  LogPosition last() const;
  const LogEntry& at(std::uint64_t index) const { return m_entries[index - first_index()]; }
  /// Whether term_at() may be called: true for the entries in memory and the one before the first.
  bool has_term(std::uint64_t index) const;
  std::uint64_t term_at(std::uint64_t index) const;

  /// Appends the entry after removing all entries from entry.index on.
  void put(const LogEntry& entry);

  /// Sets the snapshot and drops the entries that it covers, except the last \p trailing ones.
  void compact(std::shared_ptr<const StateSnapshot> snapshot, std::uint64_t trailing);
  /// Sets the snapshot and drops all entries.
  void reset(std::shared_ptr<const StateSnapshot> snapshot);

  const std::shared_ptr<const StateSnapshot>& snapshot() const { return m_snapshot; }
  std::uint64_t snapshot_index() const { return m_snapshot ? m_snapshot->last.index : 0; }
  const Membership& membership() const { return m_memberships.rbegin()->second; }
  std::uint64_t membership_index() const { return m_memberships.rbegin()->first; }
  /// \return the membership that the entries up to the index set.
  const Membership& membership_at(std::uint64_t index) const;
  /// Payload bytes of the entries after the snapshot.
  std::size_t bytes() const { return m_bytes; }

private:
  void truncate_from(std::uint64_t index);

  std::shared_ptr<const StateSnapshot> m_snapshot;
  /// Position of the entry before the first one in memory.
  LogPosition m_preceding;
  std::deque<LogEntry> m_entries;
  /// By index of the entry that set it; the first one is that of the snapshot, or empty.
  std::map<std::uint64_t, Membership> m_memberships;
  std::size_t m_bytes = 0;
};

} // namespace lovagehold
