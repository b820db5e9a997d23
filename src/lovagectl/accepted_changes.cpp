#include "accepted_changes.h"

#include "lovagehold/state_machine.h"

#include <set>

namespace lovagehold {

using nlohmann::json;

AcceptedChanges::AcceptedChanges(const json& history)
{
  for (const json& change : history.at("folded")) {
    m_changes[change.at("number")] = { .file_name = change.at("file"),
                                       .hash = change.at("hash"),
                                       .folded = true };
  }
  for (const json& change : history.at("changes")) {
    m_changes[change.at("number")] = { .file_name = change.at("file"),
                                       .hash = content_hash(change.at("content")) };
  }
  if (history.at("folded_through").is_number()) {
    m_folded_through = history["folded_through"].get<std::uint64_t>();
  }
}

FileState
AcceptedChanges::compare(const DeclarationFile& file, std::string& winner) const
{
  const Result<std::uint64_t> number = change_number(file.name);
  const auto found = m_changes.find(number.value());
  if (found == m_changes.end()) {
    const bool old = m_folded_through && number.value() <= *m_folded_through;
    return old ? FileState::TooOld : FileState::Pending;
  }
  winner = found->second.file_name;
  if (winner != file.name) {
    return FileState::NumberTaken;
  }
  return found->second.hash == content_hash(file.content) ? FileState::Accepted
                                                          : FileState::ContentDiffers;
}

std::vector<std::string>
AcceptedChanges::missing_from(const std::vector<DeclarationFile>& files) const
{
  std::set<std::uint64_t> present;
  for (const DeclarationFile& file : files) {
    present.insert(change_number(file.name).value());
  }
  std::vector<std::string> missing;
  for (const auto& [number, change] : m_changes) {
    if (present.count(number) == 0 && !change.folded) {
      missing.push_back(change.file_name);
    }
  }
  return missing;
}

} // namespace lovagehold
