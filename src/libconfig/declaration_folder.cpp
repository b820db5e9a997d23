#include "lovagehold/declaration_folder.h"

#include "lovagehold/declaration_merger.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace lovagehold {

Result<std::string>
read_text_file(const std::string& path)
{
  std::ifstream file(path);
  std::ostringstream content;
  if (!file || std::filesystem::is_directory(path) || !(content << file.rdbuf())) {
    // Streaming an empty file sets the fail bit, although the file is readable.
    std::error_code failed;
    if (file.is_open() && std::filesystem::file_size(path, failed) == 0 && !failed) {
      return std::string();
    }
    return Error{ .kind = ErrorKind::NotFound,
                  .message = "can't read '" + path + "'",
                  .remedy = "name a file that exists and that this user may read" };
  }
  return content.str();
}

Result<std::vector<DeclarationFile>>
read_declaration_folder(const std::string& folder)
{
  std::error_code failed;
  std::vector<DeclarationFile> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder, failed)) {
    const auto extension = entry.path().extension();
    if (extension == ".yaml" || extension == ".yml") {
      BOOST_OUTCOME_TRY(content, read_text_file(entry.path().string()));
      files.push_back({ entry.path().filename().string(), std::move(content) });
    }
  }
  if (failed || files.empty()) {
    return Error{ .kind = ErrorKind::NotFound,
                  .message = failed ? "'" + folder + "' is not a readable folder"
                                    : "'" + folder + "' has no .yaml file",
                  .remedy = "name the folder that holds the declaration files" };
  }
  std::sort(files.begin(), files.end(), [](const auto& a, const auto& b) {
    return merges_before(a.name, b.name);
  });
  return files;
}

} // namespace lovagehold
