#include "entry_log.h"

namespace lovagehold {

namespace {

std::size_t
payload_size(const LogEntry& entry)
{
  return entry.payload ? entry.payload->size() : 0;
}

} // namespace

EntryLog::EntryLog(std::shared_ptr<const StateSnapshot> snapshot,
                   const std::vector<LogEntry>& entries)
{
  reset(std::move(snapshot));
  for (const LogEntry& entry : entries) {
    put(entry);
  }
}

LogPosition
EntryLog::last() const
{
  return { .index = last_index(), .term = term_at(last_index()) };
}

bool
EntryLog::has_term(std::uint64_t index) const
{
  return index >= m_preceding.index && index <= last_index();
}

std::uint64_t
EntryLog::term_at(std::uint64_t index) const
{
  return index == m_preceding.index ? m_preceding.term : at(index).term;
}

void
EntryLog::truncate_from(std::uint64_t index)
{
  while (last_index() >= index) {
    if (m_entries.back().index > snapshot_index()) {
      m_bytes -= payload_size(m_entries.back());
    }
    m_entries.pop_back();
  }
  m_memberships.erase(m_memberships.lower_bound(index), m_memberships.end());
}

void
EntryLog::put(const LogEntry& entry)
{
  truncate_from(entry.index);
  m_entries.push_back(entry);
  m_bytes += payload_size(entry);
  if (entry.kind == EntryKind::MembershipChange) {
    m_memberships[entry.index] = decode_membership(*entry.payload);
  }
}

void
EntryLog::compact(std::shared_ptr<const StateSnapshot> snapshot, std::uint64_t trailing)
{
  const std::uint64_t index = snapshot->last.index;
  for (std::uint64_t i = std::max(first_index(), snapshot_index() + 1); i <= index; ++i) {
    m_bytes -= payload_size(at(i));
  }
  m_snapshot = std::move(snapshot);
  while (first_index() + trailing <= index) {
    m_preceding = { .index = m_entries.front().index, .term = m_entries.front().term };
    m_entries.pop_front();
  }
  // Keeps the membership at the snapshot, which applies if the later ones are truncated.
  m_memberships.erase(m_memberships.begin(), std::prev(m_memberships.upper_bound(index)));
}

void
EntryLog::reset(std::shared_ptr<const StateSnapshot> snapshot)
{
  m_entries.clear();
  m_memberships.clear();
  m_bytes = 0;
  m_preceding = snapshot ? snapshot->last : LogPosition{};
  m_memberships[m_preceding.index] = snapshot ? snapshot->membership : Membership{};
  m_snapshot = std::move(snapshot);
}

const Membership&
EntryLog::membership_at(std::uint64_t index) const
{
  return std::prev(m_memberships.upper_bound(index))->second;
}

} // namespace lovagehold
