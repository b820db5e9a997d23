#pragma once

#include "lovagehold/config_parser.h"

#include <optional>

namespace lovagehold {

/// Changes that a file makes to a request kind; values that are not set stay as they were.
struct KindPatch
{
  std::string name;
  unsigned line = 0;
  bool remove = false;
  std::optional<RequestClass> request_class;
  std::optional<std::vector<std::string>> methods;
  std::optional<std::string> path_prefix;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<bool> idempotent;
};

/// Changes that a file makes to a service; values that are not set stay as they were.
struct ServicePatch
{
  ServiceName name;
  bool remove = false;
  std::vector<KindPatch> kinds;
  std::optional<double> probe_budget;
  std::optional<std::chrono::microseconds> probe_cost;
  std::optional<double> error_budget;
  std::optional<std::chrono::hours> keep_outcomes;
};

/// Reads one declaration file. \return its changes, without the parts that have mistakes
std::vector<ServicePatch> read_declaration(const DeclarationFile& file,
                                           std::vector<Mistake>& mistakes);

} // namespace lovagehold
