#include "lovagehold/request_fingerprint.h"

#include <xxhash.h>

namespace lovagehold {

RequestFingerprint
fingerprint_of(const RequestIdentity& request)
{
  // Each hash is the seed of the next, so that the bounds between the parts count.
  std::uint64_t value = request.streamed_bytes;
  for (const std::string_view part :
       { request.method, request.host, request.target, request.caller, request.body }) {
    value = XXH64(part.data(), part.size(), value);
  }
  return value;
}

} // namespace lovagehold
