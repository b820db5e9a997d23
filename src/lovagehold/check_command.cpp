#include "check_command.h"

#include "lovagehold/declaration_folder.h"
#include "lovagehold/settings.h"
#include "platform/platform.h"

#include <iostream>

namespace lovagehold {

namespace {

int
report_unreadable(const Error& error)
{
  std::cerr << "lovagehold: " << error.message << "; " << error.remedy << "\n";
  return ExitWrongUse;
}

int
report_mistakes(const std::vector<Mistake>& mistakes, const std::string& checked)
{
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

void
add_mistakes(std::vector<Mistake>& mistakes,
             const std::string& file,
             const std::vector<Error>& errors)
{
  for (const Error& error : errors) {
    mistakes.push_back({ .file = file, .message = error.message, .remedy = error.remedy });
  }
}

std::string
describe(const RoutingConfig& config)
{
  std::size_t routes = 0;
  for (const VirtualHost& host : config.hosts) {
    routes += host.routes.size();
  }
  return "routing configuration " + std::to_string(config.version) + " with " +
         std::to_string(routes) + " routes and " + std::to_string(config.services.size()) +
         " services";
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
  return report_mistakes(mistakes, checked);
}

int
check_site_files(const std::string& settings, const std::string& routing)
{
  std::vector<Mistake> mistakes;
  std::string checked;
  if (!settings.empty()) {
    const Result<std::string> content = read_text_file(settings);
    if (content.has_error()) {
      return report_unreadable(content.error());
    }
    const Result<SiteSettings> parsed = platform::parse_node_settings(content.value());
    if (parsed.has_error()) {
      add_mistakes(mistakes, settings, { parsed.error() });
    } else {
      add_mistakes(mistakes, settings, check_settings(parsed.value()));
      checked = "settings of " + parsed.value().host;
    }
  }
  if (!routing.empty()) {
    const Result<std::string> content = read_text_file(routing);
    if (content.has_error()) {
      return report_unreadable(content.error());
    }
    const platform::RoutingOutcome outcome = platform::read_routing_document(content.value());
    add_mistakes(mistakes, routing, outcome.mistakes);
    checked += (checked.empty() ? "" : ", ") + describe(outcome.config);
  }
  return report_mistakes(mistakes, checked);
}

} // namespace lovagehold
