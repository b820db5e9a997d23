#include "check_command.h"
#include "lovagehold/declaration_folder.h"
#include "node.h"
#include "platform/platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lovagehold;

constexpr const char* kHelp = R"(lovagehold: load balancer process of one host

Usage:
  lovagehold --settings FILE
  lovagehold --site [--metrics-port PORT] [--quarantine SECONDS] [--domain-overflow]
  lovagehold --check [--settings FILE] [--declarations FOLDER]
  lovagehold --check --site [--settings FILE] [--routing FILE]

Run:
  -s, --settings FILE        settings of this process (YAML)
      --site                 run as a host of the users' platform, with the settings file
                             that the platform's environment variable names
      --metrics-port PORT    with --site: serve /metrics on this port of the host's address
      --quarantine SECONDS   with --site: how long a request that has crashed three servers is
                             not sent to another one, 1 to 600 (default 60); doubles with each
                             further crash up to 600. Use the same value on all hosts.
      --domain-overflow      with --site: the control group decides for each service how many
                             requests leave their failure domain. Experimental: callers were
                             served worse with it so far. Use it on all hosts or on none.

Check (starts nothing):
  -c, --check                print every mistake in the files named and exit
  -d, --declarations FOLDER  folder of declaration files to check
      --site                 the files are those of the users' platform
  -r, --routing FILE         with --site: routing configuration to check

Information:
  -h, --help                 print this text
      --version              print the version

Exit codes: 0 done, 1 refused (mistakes, or the process can't start),
2 wrong use, 3 not reachable. Examples of all files are in examples/.
)";

// Prints kHelp instead of the help text that TCLAP generates.
class HelpOutput : public TCLAP::StdOutput
{
public:
  void usage(TCLAP::CmdLineInterface&) override { std::cout << kHelp; }
  void version(TCLAP::CmdLineInterface& command) override
  {
    std::cout << "lovagehold " << command.getVersion() << "\n";
  }
};

int
run(const std::string& settings_path)
{
  const Result<std::string> content = read_text_file(settings_path);
  if (content.has_error()) {
    std::cerr << "lovagehold: " << content.error().message << "; " << content.error().remedy
              << "\n";
    return ExitWrongUse;
  }
  SettingsOutcome parsed = parse_settings(settings_path, content.value());
  for (const Mistake& mistake : parsed.mistakes) {
    std::cerr << to_string(mistake) << "\n";
  }
  if (!parsed.mistakes.empty()) {
    return ExitRefused;
  }
  Node node(std::move(parsed.settings));
  const Result<void> ended = node.run();
  if (ended.has_error()) {
    std::cerr << "lovagehold: " << ended.error().message << "; " << ended.error().remedy << "\n";
    return ExitRefused;
  }
  return ExitDone;
}

// Settings of a host on the platform that are given on the command line.
struct SiteArguments
{
  unsigned metrics_port = 0;
  std::chrono::seconds quarantine{ 60 };
  bool domain_overflow = false;
};

Result<SiteSettings>
read_site_settings(const char* path, const SiteArguments& arguments)
{
  BOOST_OUTCOME_TRY(content, read_text_file(path));
  BOOST_OUTCOME_TRY(settings, platform::parse_node_settings(content));
  settings.quarantine = arguments.quarantine;
  settings.domain_overflow = arguments.domain_overflow;
  if (arguments.metrics_port != 0) {
    const std::string& own = settings.cluster_address;
    settings.metrics_address =
      own.substr(0, own.rfind(':') + 1) + std::to_string(arguments.metrics_port);
  }
  return settings;
}

int
run_on_platform(const SiteArguments& arguments)
{
  const char* path = std::getenv(platform::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "lovagehold: " << platform::kSettingsVariable
              << " is not set; set it to the path of the settings file\n";
    return ExitWrongUse;
  }
  const ReadSettings read = [=] { return read_site_settings(path, arguments); };
  const Result<SiteSettings> settings = read();
  const Result<void> ended = settings.has_error()
                               ? Result<void>(settings.error())
                               : run_site(settings.value(), platform::make_protocol(), read);
  if (ended.has_error()) {
    std::cerr << "lovagehold: " << ended.error().message << "; " << ended.error().remedy << "\n";
    return ExitRefused;
  }
  return ExitDone;
}

int
report_usage_error(const std::string& message)
{
  std::cerr << "lovagehold: " << message << "; see lovagehold --help\n";
  return ExitWrongUse;
}

} // namespace

int
main(int argc, char** argv)
{
  // A log whose reader has ended must not end the process; failed writes to it are ignored.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    TCLAP::CmdLine command("lovagehold", ' ', LOVAGEHOLD_VERSION);
    HelpOutput output;
    command.setOutput(&output);
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings(
      "s", "settings", "settings of this process", false, "", "FILE", command);
    TCLAP::SwitchArg check("c", "check", "check files", command);
    TCLAP::ValueArg<std::string> declarations(
      "d", "declarations", "folder of declarations", false, "", "FOLDER", command);
    TCLAP::ValueArg<unsigned> metrics_port(
      "", "metrics-port", "port of the metrics page", false, 0, "PORT", command);
    TCLAP::ValueArg<unsigned> quarantine(
      "", "quarantine", "quarantine of deadly requests", false, 60, "SECONDS", command);
    TCLAP::SwitchArg domain_overflow(
      "", "domain-overflow", "decide the traffic between failure domains", command);
    TCLAP::SwitchArg site("", "site", "run on the users' platform", command);
    TCLAP::ValueArg<std::string> routing(
      "r", "routing", "routing configuration", false, "", "FILE", command);
    command.parse(argc, argv);
    if (routing.isSet() && !(check.isSet() && site.isSet())) {
      return report_usage_error("--routing is used only with --check --site");
    }
    if (check.isSet() && site.isSet()) {
      if (declarations.isSet() || (!settings.isSet() && !routing.isSet())) {
        return report_usage_error("--check --site needs --settings FILE or --routing FILE");
      }
      return check_site_files(settings.getValue(), routing.getValue());
    }
    if (site.isSet()) {
      return run_on_platform({ .metrics_port = metrics_port.getValue(),
                               .quarantine = std::chrono::seconds(quarantine.getValue()),
                               .domain_overflow = domain_overflow.getValue() });
    }
    if (check.isSet()) {
      if (!settings.isSet() && !declarations.isSet()) {
        return report_usage_error("--check needs --settings FILE or --declarations FOLDER");
      }
      return check_files(settings.getValue(), declarations.getValue());
    }
    if (declarations.isSet() || !settings.isSet()) {
      return report_usage_error(declarations.isSet() ? "--declarations is used only with --check"
                                                     : "--settings FILE is missing");
    }
    return run(settings.getValue());
  } catch (const TCLAP::ArgException& exception) {
    // TCLAP prefixes the name with "Argument: ".
    const std::string argument = exception.argId();
    return report_usage_error(exception.error() + " " + argument.substr(argument.find(' ') + 1));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}
