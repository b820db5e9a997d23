#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagehold {

/// How requests of one kind are treated.
enum class RequestClass
{
  Urgent,        ///< earliest deadline first, ahead of patient requests
  Patient,       ///< waits its turn, is always answered
  NonIdempotent, ///< runs at most once; needs an idempotency key
};

/// One kind of request of a service, recognised by method and path.
struct RequestKind
{
  std::string name;
  RequestClass request_class = RequestClass::Urgent;
  /// Empty matches each method.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  /// Time from arrival to the last byte of the answer's header.
  std::chrono::milliseconds deadline{ 1000 };
  /// Whether a second run does no harm. Always false for NonIdempotent.
  bool idempotent = true;
};

/// What operators declare about a service.
struct ServiceDeclaration
{
  ServiceName name;
  std::vector<RequestKind> kinds;
  /// Share of a server's time that probes may take.
  double probe_budget = 0.002;
  /// Server time that one probe takes.
  std::chrono::microseconds probe_cost{ 6000 };
  /// Share of requests that may fail or be late.
  double error_budget = 0.001;
  /// How long outcomes of non-idempotent requests are kept.
  std::chrono::hours keep_outcomes{ 24 };
};

/// The merged configuration in force.
struct Configuration
{
  /// Log index of the last accepted change; grows with each change.
  std::uint64_t revision = 0;
  std::map<ServiceName, ServiceDeclaration> services;
};

/// \return the first kind whose methods and longest path prefix match; nullptr if none does.
const RequestKind* find_kind(const ServiceDeclaration& service,
                             std::string_view method,
                             std::string_view path);

/// \return the lower-case name that declarations use.
const char* to_string(RequestClass request_class);

} // namespace lovagehold
