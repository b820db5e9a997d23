#include "node.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitWrongUse = 2;

std::optional<std::string>
read_file(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

int
run(const std::string& settings_path)
{
  const auto content = read_file(settings_path);
  if (!content) {
    std::cerr << "lovagehold: can't read " << settings_path << "; give a readable settings file\n";
    return kExitWrongUse;
  }
  lovagehold::SettingsOutcome parsed = lovagehold::parse_settings(settings_path, *content);
  for (const lovagehold::Mistake& mistake : parsed.mistakes) {
    std::cerr << to_string(mistake) << "\n";
  }
  if (!parsed.mistakes.empty()) {
    return kExitRefused;
  }
  lovagehold::Node node(std::move(parsed.settings));
  const lovagehold::Result<void> ended = node.run();
  if (ended.has_error()) {
    std::cerr << "lovagehold: " << ended.error().message << "; " << ended.error().remedy << "\n";
    return kExitRefused;
  }
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine command("lovagehold: load balancer process", ' ', LOVAGEHOLD_VERSION);
    TCLAP::ValueArg<std::string> settings(
      "s", "settings", "settings of this process (YAML)", true, "", "file", command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return run(settings.getValue());
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << "lovagehold: " << exception.error() << " " << exception.argId()
              << "; see lovagehold --help\n";
    return kExitWrongUse;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}
