#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagehold {

/// How a document is made from an earlier one, its base.
struct DocumentPatch
{
  /// Bytes copied from the base, followed by new ones.
  struct Part
  {
    std::uint64_t offset = 0;
    std::uint64_t size = 0;
    std::string inserted;

    bool operator==(const Part&) const = default;
  };

  std::uint64_t base_size = 0;
  std::vector<Part> parts;

  /// \return the number of bytes that are not copied from the base
  std::size_t inserted_bytes() const;
  /// \return the size of the document that the patch makes
  std::uint64_t result_size() const;

  bool operator==(const DocumentPatch&) const = default;
};

/// Finds what two documents have in common, in pieces that end with a closing brace or a line end.
/// Linear in the size of the documents.
DocumentPatch make_patch(std::string_view base, std::string_view document);

/// Combines two patches, the second of which is based on the result of the first, to one that is
/// based on the base of the first. The second must fit the first, see PatchedDocument::fits().
DocumentPatch compose(const DocumentPatch& first, const DocumentPatch& second);

/// A document that is kept as an earlier one and one patch, so that the time for a small change
/// doesn't depend on the size of the document.
class PatchedDocument
{
public:
  PatchedDocument() = default;
  explicit PatchedDocument(std::string document)
    : m_base(std::move(document))
  {
  }

  /// \return whether the patch can be applied: its base has the document's size, and it copies no
  /// bytes from beyond its end
  bool fits(const DocumentPatch& patch) const;

  /// Changes the document. The patch must fit.
  void apply(const DocumentPatch& patch);

  /// \return the document
  std::string text() const;

private:
  std::uint64_t size() const { return m_patched ? m_patch.result_size() : m_base.size(); }

  std::string m_base;
  DocumentPatch m_patch;
  bool m_patched = false;
};

} // namespace lovagehold
