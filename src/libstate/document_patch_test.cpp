#include "lovagehold/document_patch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

// \return a document of pieces that resemble each other, some without a closing brace
std::string
random_document()
{
  std::string document;
  const auto pieces = *rc::gen::inRange(0, 30);
  for (int i = 0; i < pieces; ++i) {
    const auto number = std::to_string(*rc::gen::inRange(0, 12));
    document += "{\"name\":\"route-" + number + "\"," + std::string(*rc::gen::inRange(0, 40), 'x') +
                (*rc::gen::inRange(0, 4) == 0 ? "" : "}");
  }
  return document;
}

// Guards against a document that is read back with other bytes than the operator sent.
RC_GTEST_PROP(DocumentPatch, AnySequenceOfPatchesGivesTheLatestDocument, ())
{
  std::string current = random_document();
  PatchedDocument document(current);
  const auto changes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < changes; ++i) {
    const std::string next = random_document();
    const DocumentPatch patch = make_patch(current, next);
    RC_ASSERT(document.fits(patch));
    document.apply(patch);
    RC_ASSERT(document.text() == next);
    current = next;
  }
}

// Guards against reading beyond the end of a document because of a patch for another one.
RC_GTEST_PROP(DocumentPatch, PatchesBeyondTheDocumentDoNotFit, ())
{
  const PatchedDocument document(std::string(100, 'x'));
  const auto offset = *rc::gen::arbitrary<std::uint64_t>();
  const auto size = *rc::gen::arbitrary<std::uint64_t>();
  const DocumentPatch patch{ .base_size = 100, .parts = { { .offset = offset, .size = size } } };
  const bool inside = offset <= 100 && size <= 100 - offset;
  RC_ASSERT(document.fits(patch) == inside);
  RC_ASSERT(!document.fits({ .base_size = 99 }));
}

// Guards against a small change that is sent with most of the document.
TEST(DocumentPatch, SmallChangeOfALargeDocumentIsSmall)
{
  const auto document = [](int version, int changed) {
    std::string text = "{\"version\":" + std::to_string(version) + ",\"rules\":[";
    for (int i = 0; i < 1400; ++i) {
      text += "{\"name\":\"r-" + std::to_string(i) + "\",\"action\":{\"service\":\"" +
              (i == changed ? "other" : "usual") + "\",\"timeout\":\"2500ms\"}},";
    }
    return text + "]}";
  };
  EXPECT_LE(make_patch(document(9, 700), document(10, 900)).inserted_bytes(), 500U);
}

} // namespace
} // namespace lovagehold
