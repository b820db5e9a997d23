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

// Guards against a file that control never saw being taken as accepted, and against sending all
// files of a long history again.
TEST(AcceptedChanges, TellsHowFilesStand)
{
  EXPECT_EQ(compare("7-c.yaml", "new"), FileState::Accepted);
  EXPECT_EQ(compare("7-c.yaml", "edited"), FileState::Differs);
  EXPECT_EQ(compare("7-d.yaml", "new"), FileState::Taken);
  EXPECT_EQ(compare("4-a.yaml", "old"), FileState::Accepted);
  EXPECT_EQ(compare("4-a.yaml", "edited"), FileState::Differs);
  EXPECT_EQ(compare("5-x.yaml", "older"), FileState::Taken);
  EXPECT_EQ(compare("3-a.yaml", "x"), FileState::Forgotten);
  EXPECT_EQ(compare("6-a.yaml", "x"), FileState::Pending);
  EXPECT_EQ(compare("8-a.yaml", "x"), FileState::Pending);
}

// Guards against accepted changes that the operator's folder lacks going unnoticed.
TEST(AcceptedChanges, NamesChangesThatTheFolderLacks)
{
  EXPECT_THAT(AcceptedChanges(kHistory).missing_in({ { "8-a.yaml", "x" } }),
              testing::ElementsAre("7-c.yaml"));
}

} // namespace
} // namespace lovagehold
