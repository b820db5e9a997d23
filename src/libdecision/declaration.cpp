#include "lovagehold/declaration.h"

#include <algorithm>

namespace lovagehold {

const RequestKind*
find_kind(const ServiceDeclaration& service, std::string_view method, std::string_view path)
{
  const RequestKind* best = nullptr;
  for (const RequestKind& kind : service.kinds) {
    const bool method_matches =
      kind.methods.empty() ||
      std::find(kind.methods.begin(), kind.methods.end(), method) != kind.methods.end();
    if (!method_matches || path.substr(0, kind.path_prefix.size()) != kind.path_prefix) {
      continue;
    }
    if (best == nullptr || kind.path_prefix.size() > best->path_prefix.size()) {
      best = &kind;
    }
  }
  return best;
}

const char*
to_string(RequestClass request_class)
{
  switch (request_class) {
    case RequestClass::Urgent:
      return "urgent";
    case RequestClass::Patient:
      return "patient";
    case RequestClass::NonIdempotent:
      return "non-idempotent";
  }
  return "unknown";
}

} // namespace lovagehold
