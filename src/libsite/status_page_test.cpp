#include "status_page.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lovagehold {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json
page_of(const SiteStatus& status)
{
  return json::parse(make_status_page(status).body);
}

// Guards against a host that is shown as up to date although it may lack acknowledged changes for
// longer than they take.
TEST(StatusPage, HostWithAnOldStateIsStale)
{
  const json current = page_of({ .host = "h", .state_age = milliseconds(700) });
  EXPECT_EQ(current.at("stale"), false);
  EXPECT_EQ(current.at("state_age_ms"), 700);
  const json old = page_of({ .host = "h", .state_age = milliseconds(2500) });
  EXPECT_EQ(old.at("stale"), true);
  EXPECT_EQ(old.at("state_age_ms"), 2500);
  const json unknown = page_of({ .host = "h" });
  EXPECT_EQ(unknown.at("stale"), true);
  EXPECT_FALSE(unknown.contains("state_age_ms"));
}

// Guards against a host whose evacuations can't be told from those of the others, and against
// another page while there are none.
TEST(StatusPage, EvacuationsAreListedWithTheirLogIndex)
{
  EXPECT_EQ(page_of({ .host = "h", .evacuations = { { "b", 7 } } }).at("evacuations"),
            (json{ { "b", 7 } }));
  EXPECT_FALSE(page_of({ .host = "h" }).contains("evacuations"));
}

// Guards against a follower that states losses left which only the leader can know, and against a
// missing majority that reads as no loss left.
TEST(StatusPage, OnlyTheLeaderTellsTheLossesLeft)
{
  const Membership members{ { .id = 1, .address = "a:1", .voter = true },
                            { .id = 2, .address = "b:1", .voter = true },
                            { .id = 3, .address = "c:1", .voter = false } };
  ReplicaStatus replica{ .role = ConsensusRole::Follower,
                         .commit = 10,
                         .membership = members,
                         .outside = milliseconds(1500),
                         .joining = { "d:1" } };
  const auto group_of = [&] {
    return page_of(
             { .host = "h", .group = make_group_status("a:1", replica, 1, milliseconds(700)) })
      .at("group");
  };
  const json follower = group_of();
  EXPECT_EQ(follower.at("leads"), false);
  EXPECT_EQ(follower.at("outside_ms"), 1500);
  EXPECT_EQ(follower.at("joining"), json::array({ "d:1" }));
  EXPECT_FALSE(follower.contains("losses_left"));
  EXPECT_FALSE(follower.at("members").at(1).contains("answers"));
  replica.role = ConsensusRole::Leader;
  replica.progress = { { .id = 1, .stored_index = 10, .since_reply = milliseconds(0) },
                       { .id = 2, .stored_index = 10, .since_reply = milliseconds(100) },
                       { .id = 3, .stored_index = 4, .since_reply = milliseconds(900) } };
  const json leader = group_of();
  EXPECT_EQ(leader.at("losses_left"), 0);
  EXPECT_EQ(leader.at("losses_wanted"), 1);
  EXPECT_EQ(leader.at("members").at(2).at("answers"), false);
  EXPECT_EQ(leader.at("members").at(2).at("missing_entries"), 6);
  replica.progress[1].since_reply = milliseconds(900);
  EXPECT_TRUE(group_of().at("losses_left").is_null());
}

// Guards against accounts over their allowance that the page leaves out, and against a field on
// hosts without any.
TEST(StatusPage, NamesRestrictedAccounts)
{
  EXPECT_EQ(
    page_of({ .host = "h", .restricted_accounts = { "brook", "fern" } }).at("restricted_accounts"),
    json::array({ "brook", "fern" }));
  EXPECT_FALSE(page_of({ .host = "h" }).contains("restricted_accounts"));
}

} // namespace
} // namespace lovagehold
