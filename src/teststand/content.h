#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace lovagehold {

/// Digest of a request's id and body, computed incrementally. The load driver and the stand-in
/// server each compute it, so that the driver detects a response to a different request.
class ContentDigest
{
public:
  explicit ContentDigest(std::string_view request_id);
  ~ContentDigest();
  ContentDigest(const ContentDigest&) = delete;
  ContentDigest& operator=(const ContentDigest&) = delete;

  void add(std::string_view piece);

  /// \return 16 hexadecimal digits.
  std::string text() const;

private:
  XXH64_state_t* m_state;
};

/// \return \p size bytes, starting at \p offset, of the pseudorandom stream defined by \p seed.
std::string make_content(std::string_view seed, std::uint64_t offset, std::size_t size);

} // namespace lovagehold
