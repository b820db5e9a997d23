#pragma once

#include "lovagehold/declaration_merger.h"
#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

/// Accepted configuration changes and their merged result. Only recent changes keep their content;
/// older ones are folded into a base that holds their merged result. Deterministic.
class ConfigStore
{
public:
  explicit ConfigStore(const StateMachineOptions& options);

  /// Accepts or refuses the change. \param index log index, the revision of an accepted change
  ApplyResult submit(const SubmitChange& change, std::uint64_t index);

  const std::shared_ptr<const Configuration>& configuration() const { return m_configuration; }
  const Origins& origins() const { return m_current.origins(); }
  /// \return changes that still have their content, by number.
  std::vector<ChangeRecord> changes() const;
  std::uint64_t next_free_number() const;
  std::optional<std::uint64_t> folded_through() const
  {
    return m_has_base ? std::optional<std::uint64_t>(m_base_number) : std::nullopt;
  }

  const std::map<std::uint64_t, FoldedChange>& folded() const { return m_folded; }

  nlohmann::json snapshot() const;
  /// Throws if the fields are no snapshot.
  void restore(const nlohmann::json& fields);

private:
  ApplyResult conflict(std::uint64_t number,
                       const std::string& winner_file,
                       std::uint64_t revision) const;
  std::optional<ApplyResult> find_used(const SubmitChange& change) const;
  std::vector<Mistake> merge(const SubmitChange& change);
  void fold();

  std::size_t m_history_count;
  std::size_t m_history_bytes;
  std::size_t m_folded_count;
  std::map<std::uint64_t, ChangeRecord> m_changes;
  std::size_t m_content_bytes = 0;
  // Lets a resent change get its first answer.
  std::map<std::uint64_t, FoldedChange> m_folded;
  // Largest number whose change is folded; smaller ones can't be merged in order any more.
  std::uint64_t m_base_number = 0;
  bool m_has_base = false;
  DeclarationMerger m_base;
  DeclarationMerger m_current;
  std::shared_ptr<const Configuration> m_configuration;
};

} // namespace lovagehold
