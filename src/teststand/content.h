#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <xxhash.h>

namespace lovagehold {

/// Digest over the id and the body of a request, computed as the body arrives. Driver and server
/// compute it independently, so that a response that belongs to another request shows.
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

/// \return \p size bytes that are determined by the seed and the position, from \p offset on.
std::string make_content(std::string_view seed, std::uint64_t offset, std::size_t size);

} // namespace lovagehold
