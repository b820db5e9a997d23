#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagehold {

/// Scheduling class of a request.
enum class RequestClass
{
  Urgent,        ///< earliest deadline first, ahead of patient requests
  Patient,       ///< first in, first out; waits behind urgent requests but is not starved
  NonIdempotent, ///< runs at most once; needs an idempotency key
};

/// A kind of request of a service, identified by method and path.
struct RequestKind
{
  std::string name;
  RequestClass request_class = RequestClass::Urgent;
  /// Empty matches every method.
  std::vector<std::string> methods;
  std::string path_prefix = "/";
  /// Time from arrival to the last byte of the response header.
  std::chrono::milliseconds deadline{ 1000 };
  /// Whether the request may safely run more than once. Always false for NonIdempotent.
  bool idempotent = true;
};

/// A service as declared by its operators.
struct ServiceDeclaration
{
  ServiceName name;
  std::vector<RequestKind> kinds;
  /// Fraction of a server's time that health probes may take.
  double probe_budget = 0.002;
  /// Server time that one probe is expected to take.
  std::chrono::microseconds probe_cost{ 6000 };
  /// Fraction of requests that may fail or miss their deadline.
  double error_budget = 0.001;
  /// How long outcomes of non-idempotent requests are kept.
  std::chrono::hours keep_outcomes{ 24 };
};

/// The merged declarations that are in force.
struct Configuration
{
  /// Log index of the last accepted change; increases with each change.
  std::uint64_t revision = 0;
  std::map<ServiceName, ServiceDeclaration> services;
};

/// \return the kind that accepts the method and has the longest matching path prefix, the first of
/// equally long ones; nullptr if none matches.
const RequestKind* find_kind(const ServiceDeclaration& service,
                             std::string_view method,
                             std::string_view path);

/// \return the lower-case name that declarations use.
const char* to_string(RequestClass request_class);

} // namespace lovagehold
