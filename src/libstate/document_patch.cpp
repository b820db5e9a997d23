#include "lovagehold/document_patch.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace lovagehold {

namespace {

// Pieces of a document without closing braces and line ends.
constexpr std::size_t kMaxPieceBytes = 512;
// Shorter pieces are searched for together with those that follow, as short ones occur often.
constexpr std::size_t kMinSearchedBytes = 24;
// A patch with more parts is merged into its base.
constexpr std::size_t kMaxParts = 8192;

std::string_view
next_piece(std::string_view document, std::size_t start)
{
  const std::string_view rest = document.substr(start, kMaxPieceBytes);
  const std::size_t end = rest.find_first_of("}\n");
  return rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
}

// \return the pieces from the start that are long enough to be searched for
std::string_view
searched_pieces(std::string_view document, std::size_t start)
{
  std::size_t size = 0;
  while (size < kMinSearchedBytes && start + size < document.size()) {
    size += next_piece(document, start + size).size();
  }
  return document.substr(start, size);
}

// Extends the last part if the copied bytes follow those of that part.
void
add_copy(std::vector<DocumentPatch::Part>& parts, std::uint64_t offset, std::uint64_t size)
{
  if (!parts.empty() && parts.back().inserted.empty() &&
      parts.back().offset + parts.back().size == offset) {
    parts.back().size += size;
  } else if (size > 0) {
    parts.push_back({ .offset = offset, .size = size });
  }
}

void
add_text(std::vector<DocumentPatch::Part>& parts, std::string_view text)
{
  if (parts.empty()) {
    parts.emplace_back();
  }
  parts.back().inserted += text;
}

} // namespace

std::size_t
DocumentPatch::inserted_bytes() const
{
  std::size_t bytes = 0;
  for (const Part& part : parts) {
    bytes += part.inserted.size();
  }
  return bytes;
}

std::uint64_t
DocumentPatch::result_size() const
{
  std::uint64_t size = inserted_bytes();
  for (const Part& part : parts) {
    size += part.size;
  }
  return size;
}

DocumentPatch
make_patch(std::string_view base, std::string_view document)
{
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (std::size_t offset = 0; offset < base.size();) {
    offsets.try_emplace(searched_pieces(base, offset), offset);
    offset += next_piece(base, offset).size();
  }
  DocumentPatch patch{ .base_size = base.size() };
  std::size_t expected = 0;
  for (std::size_t start = 0; start < document.size();) {
    const std::string_view piece = next_piece(document, start);
    const std::size_t piece_start = std::exchange(start, start + piece.size());
    const bool follows = expected <= base.size() && base.substr(expected, piece.size()) == piece;
    const auto found =
      follows ? offsets.end() : offsets.find(searched_pieces(document, piece_start));
    if (found != offsets.end()) {
      expected = found->second;
    }
    if (follows || found != offsets.end()) {
      add_copy(patch.parts, expected, piece.size());
    } else {
      add_text(patch.parts, piece);
    }
    // A changed piece often has the size of the one that it replaces.
    expected += piece.size();
  }
  return patch;
}

DocumentPatch
compose(const DocumentPatch& first, const DocumentPatch& second)
{
  // Offset of each part of the first patch in its result.
  std::vector<std::uint64_t> offsets;
  offsets.reserve(first.parts.size());
  std::uint64_t total = 0;
  for (const DocumentPatch::Part& part : first.parts) {
    offsets.push_back(total);
    total += part.size + part.inserted.size();
  }
  DocumentPatch composed{ .base_size = first.base_size };
  composed.parts.reserve(first.parts.size() + 2 * second.parts.size());
  const auto copy_range = [&](std::uint64_t begin, std::uint64_t end) {
    auto index = static_cast<std::size_t>(std::upper_bound(offsets.begin(), offsets.end(), begin) -
                                          offsets.begin());
    for (index = index == 0 ? 0 : index - 1; index < offsets.size() && offsets[index] < end;
         ++index) {
      const DocumentPatch::Part& part = first.parts[index];
      const std::uint64_t start = std::max(begin, offsets[index]) - offsets[index];
      const std::uint64_t stop = std::min(end - offsets[index], part.size + part.inserted.size());
      if (start < part.size) {
        add_copy(composed.parts, part.offset + start, std::min(stop, part.size) - start);
      }
      if (stop > part.size) {
        const std::uint64_t text_start = std::max(start, part.size) - part.size;
        add_text(composed.parts,
                 std::string_view(part.inserted).substr(text_start, stop - part.size - text_start));
      }
    }
  };
  for (const DocumentPatch::Part& part : second.parts) {
    copy_range(part.offset, part.offset + part.size);
    if (!part.inserted.empty()) {
      add_text(composed.parts, part.inserted);
    }
  }
  return composed;
}

bool
PatchedDocument::fits(const DocumentPatch& patch) const
{
  return patch.base_size == size() &&
         std::all_of(patch.parts.begin(), patch.parts.end(), [&](const DocumentPatch::Part& part) {
           return part.offset <= patch.base_size && part.size <= patch.base_size - part.offset;
         });
}

void
PatchedDocument::apply(const DocumentPatch& patch)
{
  m_patch = m_patched ? compose(m_patch, patch) : patch;
  m_patched = true;
  if (m_patch.parts.size() > kMaxParts) {
    *this = PatchedDocument(text());
  }
}

std::string
PatchedDocument::text() const
{
  if (!m_patched) {
    return m_base;
  }
  std::string text;
  text.reserve(m_patch.result_size());
  for (const DocumentPatch::Part& part : m_patch.parts) {
    text.append(m_base, part.offset, part.size);
    text += part.inserted;
  }
  return text;
}

} // namespace lovagehold
