#pragma once

#include "lovagehold/config_parser.h"

namespace lovagehold {

/// \return the content, or NotFound if the file can't be read
Result<std::string> read_text_file(const std::string& path);

/// Reads the .yaml files of the operators' folder in the order in which they are merged. Other
/// files, such as a README, are skipped; .yml files are included so that the check of file names
/// reports them.
/// \return NotFound if the folder or one of its files can't be read, or if it has no such file
Result<std::vector<DeclarationFile>> read_declaration_folder(const std::string& folder);

} // namespace lovagehold
