#pragma once

#include <cstdint>
#include <string_view>

namespace lovagehold {

/// Hash that identifies a request when it is sent again.
using RequestFingerprint = std::uint64_t;

/// What makes up a request for its fingerprint. The id and the deadline are left out, as they
/// change with each attempt of the caller.
struct RequestIdentity
{
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  /// Credentials with which the caller identifies itself; empty if it does not.
  std::string_view caller;
  std::string_view body;
  /// Size of a body that is not known yet because it is streamed; \p body is empty then.
  std::uint64_t streamed_bytes = 0;
};

/// \return the fingerprint of the request, the same on all hosts (XXH64)
RequestFingerprint fingerprint_of(const RequestIdentity& request);

} // namespace lovagehold
