#include "content.h"

#include <cstdio>
#include <cstring>

namespace lovagehold {

ContentDigest::ContentDigest(std::string_view request_id)
  : m_state(XXH64_createState())
{
  XXH64_reset(m_state, 0);
  add(request_id);
}

ContentDigest::~ContentDigest()
{
  XXH64_freeState(m_state);
}

void
ContentDigest::add(std::string_view piece)
{
  XXH64_update(m_state, piece.data(), piece.size());
}

std::string
ContentDigest::text() const
{
  char digits[17];
  std::snprintf(
    digits, sizeof digits, "%016llx", static_cast<unsigned long long>(XXH64_digest(m_state)));
  return digits;
}

std::string
make_content(std::string_view seed, std::uint64_t offset, std::size_t size)
{
  constexpr std::size_t kWordBytes = sizeof(std::uint64_t);
  const std::uint64_t base = XXH64(seed.data(), seed.size(), 1);
  const std::uint64_t first = offset / kWordBytes;
  const std::size_t skip = offset % kWordBytes;
  std::string words((skip + size + kWordBytes - 1) / kWordBytes * kWordBytes, '\0');
  for (std::size_t i = 0; i < words.size() / kWordBytes; ++i) {
    const std::uint64_t position = first + i;
    const std::uint64_t word = XXH64(&position, sizeof position, base);
    std::memcpy(words.data() + i * kWordBytes, &word, kWordBytes);
  }
  return words.substr(skip, size);
}

} // namespace lovagehold
