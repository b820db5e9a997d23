#include "check_command.h"

#include "lovagehold/declaration_folder.h"
#include "lovagehold/settings.h"

#include <iostream>

namespace lovagehold {

namespace {

int
report_unreadable(const Error& error)
{
  std::cerr << "lovagehold: " << error.message << "; " << error.remedy << "\n";
  return ExitWrongUse;
}

} // namespace

int
check_files(const std::string& settings, const std::string& declarations)
{
  std::vector<Mistake> mistakes;
  std::string checked;
  if (!settings.empty()) {
    const Result<std::string> content = read_text_file(settings);
    if (content.has_error()) {
      return report_unreadable(content.error());
    }
    const SettingsOutcome outcome = parse_settings(settings, content.value());
    mistakes = outcome.mistakes;
    checked = "settings of " + outcome.settings.host;
  }
  if (!declarations.empty()) {
    const Result<std::vector<DeclarationFile>> files = read_declaration_folder(declarations);
    if (files.has_error()) {
      return report_unreadable(files.error());
    }
    const MergeOutcome outcome = merge_declarations(files.value());
    mistakes.insert(mistakes.end(), outcome.mistakes.begin(), outcome.mistakes.end());
    checked += (checked.empty() ? "" : ", ") + std::to_string(files.value().size()) +
               " declaration files, " + std::to_string(outcome.configuration.services.size()) +
               " services";
  }
  for (const Mistake& mistake : mistakes) {
    std::cout << to_string(mistake) << "\n";
  }
  if (!mistakes.empty()) {
    std::cout << mistakes.size() << (mistakes.size() == 1 ? " mistake" : " mistakes") << "\n";
    return ExitRefused;
  }
  std::cout << "no mistakes: " << checked << "\n";
  return ExitDone;
}

} // namespace lovagehold
