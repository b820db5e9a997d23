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

// Result of validating files.
struct CheckReport
{
  std::vector<Mistake> mistakes;
  /// Description of the files read, printed if there are no mistakes.
  std::string description;

  void add_description(const std::string& text)
  {
    description += (description.empty() ? "" : ", ") + text;
  }

  void add_mistakes(const std::string& file, const std::vector<Error>& errors)
  {
    for (const Error& error : errors) {
      mistakes.push_back({ .file = file, .message = error.message, .remedy = error.remedy });
    }
  }

  /// \return an exit code
  int print() const
  {
    for (const Mistake& mistake : mistakes) {
      std::cout << to_string(mistake) << "\n";
    }
    if (!mistakes.empty()) {
      std::cout << mistakes.size() << (mistakes.size() == 1 ? " mistake" : " mistakes") << "\n";
      return ExitRefused;
    }
    std::cout << "no mistakes: " << description << "\n";
    return ExitDone;
  }
};

// Calls the check with the content of the file; does nothing if the path is empty.
template<class Check>
Result<void>
check_file(const std::string& path, const Check& check)
{
  if (!path.empty()) {
    BOOST_OUTCOME_TRY(content, read_text_file(path));
    check(content);
  }
  return boost::outcome_v2::success();
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
  CheckReport report;
  const Result<void> read = check_file(settings, [&](const std::string& content) {
    const SettingsOutcome outcome = parse_settings(settings, content);
    report.mistakes = outcome.mistakes;
    report.add_description("settings of " + outcome.settings.host);
  });
  if (read.has_error()) {
    return report_unreadable(read.error());
  }
  if (!declarations.empty()) {
    const Result<std::vector<DeclarationFile>> files = read_declaration_folder(declarations);
    if (files.has_error()) {
      return report_unreadable(files.error());
    }
    const MergeOutcome outcome = merge_declarations(files.value());
    report.mistakes.insert(report.mistakes.end(), outcome.mistakes.begin(), outcome.mistakes.end());
    report.add_description(std::to_string(files.value().size()) + " declaration files, " +
                           std::to_string(outcome.configuration.services.size()) + " services");
  }
  return report.print();
}

int
check_site_files(const std::string& settings, const std::string& routing)
{
  CheckReport report;
  const Result<void> settings_read = check_file(settings, [&](const std::string& content) {
    const Result<SiteSettings> parsed = platform::parse_node_settings(content);
    if (parsed.has_error()) {
      report.add_mistakes(settings, { parsed.error() });
    } else {
      report.add_mistakes(settings, check_settings(parsed.value()));
      report.add_description("settings of " + parsed.value().host);
    }
  });
  const Result<void> routing_read = check_file(routing, [&](const std::string& content) {
    const platform::RoutingOutcome outcome = platform::read_routing_document(content);
    report.add_mistakes(routing, outcome.mistakes);
    report.add_description(describe(outcome.config));
  });
  for (const Result<void>& read : { settings_read, routing_read }) {
    if (read.has_error()) {
      return report_unreadable(read.error());
    }
  }
  return report.print();
}

} // namespace lovagehold
