#pragma once

#include "admin_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// The subcommands of lovagectl. Each prints its result and returns an exit code.
namespace lovagehold {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitWrongUse = 2;
constexpr int kExitNotReachable = 3;
constexpr std::chrono::milliseconds kAnswerTimeout{ 5000 };
/// Hosts that don't answer must not delay the ones that do.
constexpr std::chrono::milliseconds kHostTimeout{ 1500 };

/// The command line.
struct Invocation
{
  std::string admin;
  std::vector<std::string> operands;
  bool wait = false;
  std::chrono::seconds wait_limit{ 30 };
  bool as_json = false;
  std::string format = "text";
};

int apply_command(const Invocation& invocation);
int diff_command(const Invocation& invocation);
int history_command(const Invocation& invocation);
int show_command(const Invocation& invocation);
int status_command(const Invocation& invocation);
int timeline_command(const Invocation& invocation);
int key_command(const Invocation& invocation);
int explain_command(const Invocation& invocation);

/// Prints the error. \return its exit code.
int report(const Error& error);

/// Fetches a page as JSON. \return the error that the host or the connection gave.
Result<nlohmann::json> fetch_page(const std::string& admin, const std::string& target);

/// \return the error that an answer other than 200 states.
Error to_error(const AdminAnswer& answer);

/// A host and what it answered; nothing if it did not.
struct HostAnswer
{
  std::string id;
  std::string failure_domain;
  nlohmann::json page;
  bool answered = false;
};

/// Asks every host that the host at the admin address knows for a page.
Result<std::vector<HostAnswer>> ask_hosts(const std::string& admin, const std::string& target);

/// Prints rows with columns as wide as their longest value.
void print_table(const std::vector<std::vector<std::string>>& rows);

} // namespace lovagehold
