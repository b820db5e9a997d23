#pragma once

#include "admin_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// The subcommands of lovagectl. Each prints its result and returns an exit code.
namespace lovagehold {

constexpr int kExitSuccess = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsageError = 2;
constexpr int kExitUnreachable = 3;
constexpr std::chrono::milliseconds kRequestTimeout{ 5000 };
/// Short, because a command that asks all hosts also waits for the unreachable ones.
constexpr std::chrono::milliseconds kPerHostTimeout{ 1500 };

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

/// Prints the error. \return the exit code for it
int report(const Error& error);

/// Fetches a page as JSON. \return the error of the host or the connection
Result<nlohmann::json> fetch_page(const std::string& admin, const std::string& target);

/// \return the error described by a response with a status other than 200
Error to_error(const AdminHttpResponse& response);

/// A host and the page that it returned, if it responded.
struct HostPage
{
  std::string id;
  std::string failure_domain;
  nlohmann::json page;
  bool responded = false;
};

/// Fetches a page from every host that the host at the admin address knows.
Result<std::vector<HostPage>> fetch_from_hosts(const std::string& admin, const std::string& target);

/// Prints rows with aligned columns.
void print_table(const std::vector<std::vector<std::string>>& rows);

} // namespace lovagehold
