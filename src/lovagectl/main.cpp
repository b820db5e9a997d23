#include "admin_client.h"
#include "lovagehold/config_parser.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using nlohmann::json;

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitWrongUse = 2;
constexpr int kExitNotReachable = 3;
constexpr std::chrono::milliseconds kTimeout{ 5000 };

int
report(const lovagehold::Error& error)
{
  std::cerr << "lovagectl: " << error.message << "; " << error.remedy << "\n";
  return error.kind == lovagehold::ErrorKind::Unavailable ? kExitNotReachable : kExitRefused;
}

std::vector<std::filesystem::path>
list_changes(const std::string& folder)
{
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

int
apply_file(const std::string& admin, const std::filesystem::path& path)
{
  std::ifstream file(path);
  std::ostringstream content;
  content << file.rdbuf();
  const json body = { { "file", path.filename().string() }, { "content", content.str() } };
  const auto answer =
    lovagehold::ask_admin(admin, "POST", "/config/changes", body.dump(), kTimeout);
  if (answer.has_error()) {
    return report(answer.error());
  }
  const json fields = json::parse(answer.value().body, nullptr, false);
  if (answer.value().status != 200) {
    std::cerr << path.filename().string() << ": " << fields.value("error", "refused") << "; "
              << fields.value("remedy", "") << "\n";
    return answer.value().status == 503 ? kExitNotReachable : kExitRefused;
  }
  std::cout << path.filename().string() << ": accepted, revision " << fields["revision"] << "\n";
  return kExitDone;
}

int
apply_folder(const std::string& admin, const std::string& folder)
{
  if (!std::filesystem::is_directory(folder)) {
    std::cerr << "lovagectl: '" << folder << "' is no folder; give the declaration folder\n";
    return kExitWrongUse;
  }
  for (const auto& path : list_changes(folder)) {
    const int code = apply_file(admin, path);
    if (code != kExitDone) {
      return code;
    }
  }
  return kExitDone;
}

int
print_page(const std::string& admin, const std::string& target)
{
  const auto answer = lovagehold::ask_admin(admin, "GET", target, "", kTimeout);
  if (answer.has_error()) {
    return report(answer.error());
  }
  std::cout << json::parse(answer.value().body, nullptr, false).dump(2) << "\n";
  return kExitDone;
}

int
run(const std::string& admin, const std::vector<std::string>& words)
{
  if (words.size() == 2 && words[0] == "apply") {
    return apply_folder(admin, words[1]);
  }
  if (words.size() == 1 && words[0] == "status") {
    return print_page(admin, "/status");
  }
  if (words.size() == 1 && words[0] == "timeline") {
    return print_page(admin, "/events");
  }
  std::cerr << "lovagectl: unknown command; see lovagectl --help\n";
  return kExitWrongUse;
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine command("lovagectl: operators' command of lovagehold. Commands: apply FOLDER, "
                           "status, timeline",
                           ' ',
                           LOVAGEHOLD_VERSION);
    TCLAP::ValueArg<std::string> admin(
      "a", "admin", "admin address of any host", false, "127.0.0.1:7082", "IP:port", command);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "what to do", true, "command", command);
    command.setExceptionHandling(false);
    command.parse(argc, argv);
    return run(admin.getValue(), words.getValue());
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << "lovagectl: " << exception.error() << " " << exception.argId()
              << "; see lovagectl --help\n";
    return kExitWrongUse;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}
