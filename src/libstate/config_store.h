#pragma once

#include "lovagehold/declaration_merger.h"
#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

/// Stores the accepted configuration changes and the configuration merged from them. Only the
/// changes with the largest numbers keep their content; the others are folded into a base, which is
/// their merged configuration. Deterministic.
class ConfigStore
{
public:
  explicit ConfigStore(const StateMachineOptions& options);

  /// Accepts or rejects the change.
  /// \param index log index, which becomes the revision of an accepted change
  ApplyResult submit(const SubmitChange& change, std::uint64_t index);

  const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
  const Origins& origins() const { return m_current.origins(); }
  /// \return the changes that still have their content, ordered by number.
  std::vector<ChangeRecord> changes() const;
  std::uint64_t next_free_number() const;
  std::optional<std::uint64_t> folded_through() const
  {
    return m_has_base ? std::optional<std::uint64_t>(m_base_number) : std::nullopt;
  }

  const std::map<std::uint64_t, FoldedChange>& folded() const { return m_folded; }

  nlohmann::json snapshot() const;
  /// Throws std::exception if the fields are malformed.
  void restore(const nlohmann::json& fields);

private:
  ApplyResult make_conflict(std::uint64_t number,
                            const std::string& winner_file,
                            std::uint64_t revision) const;
  /// \return the result for a change whose number can't be accepted any more, or nullopt.
  std::optional<ApplyResult> result_for_used_number(const SubmitChange& change) const;
  /// Merges the change into m_current, unless it has mistakes.
  std::vector<Mistake> merge(const SubmitChange& change);
  /// Folds the oldest changes until the limits of the history hold.
  void fold();

  std::size_t m_history_count;
  std::size_t m_history_bytes;
  std::size_t m_folded_count;
  std::map<std::uint64_t, ChangeRecord> m_changes;
  /// Total of the contents in m_changes.
  std::size_t m_content_bytes = 0;
  // Remembered so that a resent change gets its first result.
  std::map<std::uint64_t, FoldedChange> m_folded;
  // Largest number of a folded change; smaller ones can no longer be merged in order.
  std::uint64_t m_base_number = 0;
  bool m_has_base = false;
  /// Merges the folded changes.
  DeclarationMerger m_base;
  /// Merges all changes.
  DeclarationMerger m_current;
  std::shared_ptr<const Configuration> m_configuration;
};

} // namespace lovagehold
