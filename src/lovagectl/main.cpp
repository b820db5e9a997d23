#include "commands.h"

#include <algorithm>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lovagehold;

constexpr const char* kHelp = R"(lovagectl: command-line tool for operators of lovagehold

Usage: lovagectl [--admin IP:port] COMMAND [options]

Configuration:
  apply FOLDER           send the changes that are not accepted yet
      --wait             return when the revision is in force on every reachable host
      --wait-limit N     seconds that --wait waits at most (30)
  diff FOLDER            what apply would change
  history                accepted changes and the next free number
  show [SERVICE]         merged configuration and the file that set each value

Operation:
  status                 hosts, the revision in force, whether they are up to date, and the
                         members of the control group with the losses that it can still bear
  timeline               events of all hosts in causal order
      --format FORMAT    text, json or chrome (text)
  key SERVICE KEY        outcome of a non-idempotent request
  explain ID [FILE...]   follow a request through log files (or standard input) to its cause

General:
  -a, --admin IP:port    admin address of any host (127.0.0.1:7082)
      --json             print JSON (history, show, status, key)
  -h, --help             print this text
      --version          print the version

Exit codes: 0 done, 1 refused, 2 wrong use, 3 not reachable.
)";

// Prints kHelp instead of the text that TCLAP generates.
class HelpOutput : public TCLAP::StdOutput
{
public:
  void usage(TCLAP::CmdLineInterface&) override { std::cout << kHelp; }
  void version(TCLAP::CmdLineInterface& command) override
  {
    std::cout << "lovagectl " << command.getVersion() << "\n";
  }
};

struct CommandEntry
{
  const char* name;
  std::size_t min_operands;
  std::size_t max_operands;
  /// Options that the command takes besides --admin.
  std::vector<std::string> options;
  int (*run)(const Invocation&);
};

const std::vector<CommandEntry> kCommands{
  { "apply", 1, 1, { "wait", "wait-limit" }, apply_command },
  { "diff", 1, 1, {}, diff_command },
  { "history", 0, 0, { "json" }, history_command },
  { "show", 0, 1, { "json" }, show_command },
  { "status", 0, 0, { "json" }, status_command },
  { "timeline", 0, 0, { "format" }, timeline_command },
  { "key", 2, 2, { "json" }, key_command },
  { "explain", 1, 1000, {}, explain_command },
};

int
report_usage_error(const std::string& message)
{
  std::cerr << "lovagectl: " << message << "; see lovagectl --help\n";
  return kExitUsageError;
}

int
dispatch(const std::string& name,
         const Invocation& invocation,
         const std::vector<std::string>& options)
{
  const auto command = std::find_if(
    kCommands.begin(), kCommands.end(), [&](const auto& entry) { return entry.name == name; });
  if (command == kCommands.end()) {
    return report_usage_error("unknown command '" + name + "'");
  }
  const std::size_t count = invocation.operands.size();
  if (count < command->min_operands || count > command->max_operands) {
    return report_usage_error("'" + name + "' takes " + std::to_string(command->min_operands) +
                              (command->max_operands > command->min_operands
                                 ? " to " + std::to_string(command->max_operands)
                                 : "") +
                              " operands, not " + std::to_string(count));
  }
  for (const std::string& option : options) {
    const auto& known = command->options;
    if (std::find(known.begin(), known.end(), option) == known.end()) {
      std::string message = "'" + name + "' takes no --";
      message += option;
      return report_usage_error(message);
    }
  }
  return command->run(invocation);
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    TCLAP::CmdLine command("lovagectl", ' ', LOVAGEHOLD_VERSION);
    HelpOutput output;
    command.setOutput(&output);
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> admin(
      "a", "admin", "admin address", false, "127.0.0.1:7082", "IP:port", command);
    TCLAP::SwitchArg wait("", "wait", "wait until in force", command);
    TCLAP::ValueArg<unsigned> wait_limit("", "wait-limit", "seconds", false, 30, "N", command);
    TCLAP::SwitchArg as_json("", "json", "print JSON", command);
    std::vector<std::string> formats{ "text", "json", "chrome" };
    TCLAP::ValuesConstraint<std::string> allowed(formats);
    TCLAP::ValueArg<std::string> format("", "format", "format", false, "text", &allowed, command);
    TCLAP::UnlabeledMultiArg<std::string> arguments(
      "command", "command", false, "command", command);
    command.parse(argc, argv);
    if (arguments.getValue().empty()) {
      return report_usage_error("no command");
    }
    Invocation invocation{ .admin = admin.getValue(),
                           .operands = { arguments.getValue().begin() + 1,
                                         arguments.getValue().end() },
                           .wait = wait.getValue(),
                           .wait_limit = std::chrono::seconds(wait_limit.getValue()),
                           .as_json = as_json.getValue(),
                           .format = format.getValue() };
    std::vector<std::string> options;
    for (const TCLAP::Arg* arg :
         std::vector<TCLAP::Arg*>{ &wait, &wait_limit, &as_json, &format }) {
      if (arg->isSet()) {
        options.push_back(arg->getName());
      }
    }
    return dispatch(arguments.getValue().front(), invocation, options);
  } catch (const TCLAP::ArgException& exception) {
    // TCLAP prefixes the name with "Argument: ".
    const std::string argument = exception.argId();
    return report_usage_error(exception.error() + " " + argument.substr(argument.find(' ') + 1));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const std::exception& exception) {
    // A host of another version may return pages that lack fields.
    std::cerr << "lovagectl: unexpected response: " << exception.what()
              << "; use lovagectl of the same version as the hosts\n";
    return kExitRefused;
  }
}
