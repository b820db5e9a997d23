#include "document_codec.h"

#include <stdexcept>
#include <zlib.h>

namespace lovagehold {

namespace {

// Size of the document in bytes, little-endian, which precedes the compressed data.
constexpr std::size_t kSizeBytes = 4;
// Far above the size of a request that a control host accepts.
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 64 } << 20;

} // namespace

Bytes
pack_document(std::string_view document)
{
  uLongf size = compressBound(document.size());
  Bytes packed(kSizeBytes + size);
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    packed[i] = static_cast<std::uint8_t>(document.size() >> (8 * i));
  }
  const int result = compress2(packed.data() + kSizeBytes,
                               &size,
                               reinterpret_cast<const Bytef*>(document.data()),
                               document.size(),
                               Z_BEST_SPEED);
  if (result != Z_OK) {
    throw std::invalid_argument("the document can't be compressed");
  }
  packed.resize(kSizeBytes + size);
  return packed;
}

std::string
unpack_document(const Bytes& packed)
{
  std::size_t expected = 0;
  if (packed.size() < kSizeBytes) {
    throw std::invalid_argument("a packed document is too short");
  }
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    expected |= static_cast<std::size_t>(packed[i]) << (8 * i);
  }
  if (expected > kMaxDocumentBytes) {
    throw std::invalid_argument("a packed document is too large");
  }
  std::string document(expected, '\0');
  uLongf size = expected;
  const int result = uncompress(reinterpret_cast<Bytef*>(document.data()),
                                &size,
                                packed.data() + kSizeBytes,
                                packed.size() - kSizeBytes);
  if (result != Z_OK || size != expected) {
    throw std::invalid_argument("a packed document is damaged");
  }
  return document;
}

} // namespace lovagehold
