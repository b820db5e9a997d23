#pragma once

#include "lovagehold/declaration.h"
#include "lovagehold/error.h"

#include <string>
#include <vector>

namespace lovagehold {

/// A declaration file, read from a folder or received from lovagectl.
struct DeclarationFile
{
  std::string name;
  std::string content;
};

/// A mistake found in a YAML file, with its position and how to correct it.
struct Mistake
{
  std::string file;
  /// 1-based; 0 if the mistake concerns the whole file.
  unsigned line = 0;
  /// Dotted path of the key.
  std::string key;
  std::string message;
  std::string remedy;
};

/// \return "file:line: key: message; remedy".
std::string to_string(const Mistake& mistake);

/// Parses the change number at the start of a file name (12 for "0012-slot-desk.yaml").
/// \return InvalidArgument if the name has no number or does not end in ".yaml"
Result<std::uint64_t> change_number(const std::string& file_name);

/// Result of merging declaration files.
struct MergeOutcome
{
  Configuration configuration;
  /// All mistakes of all files; the configuration is valid only if there are none.
  std::vector<Mistake> mistakes;
};

/// Merges files by change number, then by name. Later files override earlier ones key by key; a
/// service or kind that is null is removed.
MergeOutcome merge_declarations(const std::vector<DeclarationFile>& files);

} // namespace lovagehold
