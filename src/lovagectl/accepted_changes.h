#pragma once

#include "lovagehold/config_parser.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

/// State of a file in the folder, compared with the changes that control has accepted.
enum class FileState
{
  Pending,        ///< its number is not in use
  Accepted,       ///< accepted with this name and content
  ContentDiffers, ///< accepted under this name, but with other content
  NumberTaken,    ///< its number belongs to another file
  TooOld,         ///< its number is older than the history that control keeps
};

/// The accepted changes as listed by control's history page.
class AcceptedChanges
{
public:
  /// Throws if the JSON is not a history page.
  explicit AcceptedChanges(const nlohmann::json& history);

  /// \param winner receives the name of the accepted file with the same number, if there is one
  FileState compare(const DeclarationFile& file, std::string& winner) const;

  /// \return names of accepted changes that are not among the files, except for folded ones
  std::vector<std::string> missing_from(const std::vector<DeclarationFile>& files) const;

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
