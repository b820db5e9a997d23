#pragma once

#include "lovagehold/config_parser.h"

namespace lovagehold {

/// \return the content, or NotFound if the file can't be read.
Result<std::string> read_text_file(const std::string& path);

/// Reads the .yaml files of the operators' folder in the order in which they are merged. Other
/// files, such as a README, are left out; a .yml file is read so that its name is reported.
/// \return NotFound if it is no folder, if it has no such file or if one can't be read
Result<std::vector<DeclarationFile>> read_declaration_folder(const std::string& folder);

} // namespace lovagehold
