#pragma once

#include "lovagehold/config_parser.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

/// How a file of the folder stands to what control has accepted.
enum class FileState
{
  Pending,   ///< its number is free
  Accepted,  ///< accepted with this name and content
  Differs,   ///< accepted with this name, but other content
  Taken,     ///< its number belongs to another file
  Forgotten, ///< its number is so old that control can't tell any more
};

/// The accepted changes as the history page tells them.
class AcceptedChanges
{
public:
  /// Throws if the page is no history page.
  explicit AcceptedChanges(const nlohmann::json& history);

  /// \param winner receives the name of the file that has the number, if there is one
  FileState compare(const DeclarationFile& file, std::string& winner) const;

  /// \return names of changes with content that are not among the files.
  std::vector<std::string> missing_in(const std::vector<DeclarationFile>& files) const;

private:
  struct Change
  {
    std::string file_name;
    std::uint64_t hash = 0;
    bool folded = false;
  };
  std::map<std::uint64_t, Change> m_changes;
  std::optional<std::uint64_t> m_folded_through;
};

} // namespace lovagehold
