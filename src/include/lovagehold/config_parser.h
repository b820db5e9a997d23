#pragma once

#include "lovagehold/declaration.h"
#include "lovagehold/error.h"

#include <string>
#include <vector>

namespace lovagehold {

/// A file of declarations as read or received.
struct DeclarationFile
{
  std::string name;
  std::string content;
};

/// One mistake in a YAML file.
struct Mistake
{
  std::string file;
  /// From 1; 0 if it concerns the whole file.
  unsigned line = 0;
  /// Dotted path of the key.
  std::string key;
  std::string message;
  std::string remedy;
};

/// \return "file:line: key: message; remedy".
std::string to_string(const Mistake& mistake);

/// Number that a change file's name starts with ("0012-slot-desk.yaml" is 12).
/// \return InvalidArgument if the name has none or does not end in ".yaml".
Result<std::uint64_t> change_number(const std::string& file_name);

/// Merges files in the order of their names; later ones override earlier ones key by key, and a
/// service or kind that is null is removed.
struct MergeOutcome
{
  Configuration configuration;
  /// All mistakes found; the configuration is valid only if there are none.
  std::vector<Mistake> mistakes;
};
MergeOutcome merge_declarations(const std::vector<DeclarationFile>& files);

} // namespace lovagehold
