#include "accepted_changes.h"

#include "lovagehold/state_machine.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using nlohmann::json;

const json kHistory = {
  { "folded_through", 5 },
  { "folded",
    { { { "number", 4 }, { "file", "4-a.yaml" }, { "hash", content_hash("old") } },
      { { "number", 5 }, { "file", "5-b.yaml" }, { "hash", content_hash("older") } } } },
  { "changes", { { { "number", 7 }, { "file", "7-c.yaml" }, { "content", "new" } } } }
};

FileState
compare(const char* name, const char* content)
{
  std::string winner;
  return AcceptedChanges(kHistory).compare({ name, content }, winner);
}

// Guards against treating a file that control never received as accepted, and against sending all
// files of a long history again.
TEST(AcceptedChanges, ReportsTheStateOfFiles)
{
  EXPECT_EQ(compare("7-c.yaml", "new"), FileState::Accepted);
  EXPECT_EQ(compare("7-c.yaml", "edited"), FileState::ContentDiffers);
  EXPECT_EQ(compare("7-d.yaml", "new"), FileState::NumberTaken);
  EXPECT_EQ(compare("4-a.yaml", "old"), FileState::Accepted);
  EXPECT_EQ(compare("4-a.yaml", "edited"), FileState::ContentDiffers);
  EXPECT_EQ(compare("5-x.yaml", "older"), FileState::NumberTaken);
  EXPECT_EQ(compare("3-a.yaml", "x"), FileState::TooOld);
  EXPECT_EQ(compare("6-a.yaml", "x"), FileState::Pending);
  EXPECT_EQ(compare("8-a.yaml", "x"), FileState::Pending);
}

// Guards against overlooking accepted changes that are missing from the operator's folder.
TEST(AcceptedChanges, NamesChangesThatTheFolderLacks)
{
  EXPECT_THAT(AcceptedChanges(kHistory).missing_from({ { "8-a.yaml", "x" } }),
              testing::ElementsAre("7-c.yaml"));
}

} // namespace
} // namespace lovagehold
