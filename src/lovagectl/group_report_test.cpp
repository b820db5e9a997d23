#include "group_report.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using nlohmann::json;
using Lines = std::vector<std::string>;

HostPage
page(const std::string& id, const json& group)
{
  return { .id = id, .page = { { "host", id }, { "group", group } }, .responded = true };
}

json
follower(const std::string& address, std::int64_t outside_ms = 0)
{
  return { { "address", address },
           { "leads", false },
           { "term", 7 },
           { "outside_ms", outside_ms },
           { "joining", json::array() } };
}

json
leader(const std::string& address, std::uint64_t term)
{
  return { { "address", address },
           { "leads", true },
           { "term", term },
           { "losses_wanted", 1 },
           { "losses_left", 0 },
           { "outside_ms", 0 },
           { "joining", { "e:1" } },
           { "shortfalls", { "1 of 3 voters doesn't answer" } },
           { "critical_domains", { "x" } },
           { "members",
             { { { "address", "a:1" }, { "voter", true }, { "answers", true } },
               { { "address", "b:1" },
                 { "voter", true },
                 { "answers", false },
                 { "missing_entries", 40 } },
               { { "address", "c:1" }, { "voter", true }, { "answers", true } },
               { { "address", "d:1" },
                 { "voter", false },
                 { "answers", true },
                 { "missing_entries", 9 } } } } };
}

// Guards against a group that is short of voters, or a host outside it, that the operator doesn't
// see; and against the view of a leader that another has replaced.
TEST(GroupReport, ShowsLossesMembersAndHostsOutside)
{
  const json group = merge_group_pages({ page("old", leader("old:1", 6)),
                                         page("a", leader("a:1", 7)),
                                         page("f", follower("f:1", 12'300)),
                                         page("c", follower("c:1")) });
  EXPECT_EQ(group.at("leader"), "a:1");
  EXPECT_EQ(describe_group(group),
            (Lines{ "",
                    "group:    0 of 1 losses left: 1 of 3 voters doesn't answer",
                    "leader:   a:1, term 7",
                    "voters:   a:1, b:1 (no answer), c:1",
                    "learners: d:1",
                    "outside:  e:1 (asks to join), f:1 (12 s)",
                    "behind:   b:1 lacks 40 entries",
                    "critical: the loss of failure domain x ends the majority" }));
}

// Guards against a group without a leader that looks as if nothing was wrong.
TEST(GroupReport, SaysThatNoLeaderAnswers)
{
  const json group =
    merge_group_pages({ page("f", follower("f:1", 2'000)), { .id = "a", .responded = false } });
  EXPECT_EQ(describe_group(group),
            (Lines{ "",
                    "group:    no leader answers, so the losses left are not known",
                    "outside:  f:1 (2 s)" }));
}

// Guards against output about a group for hosts that have none.
TEST(GroupReport, IsEmptyWithoutControlHosts)
{
  const HostPage entry{ .id = "h", .page = { { "host", "h" } }, .responded = true };
  EXPECT_EQ(describe_group(merge_group_pages({ entry })), Lines());
}

// Guards against accounts over their allowance that an operator is not shown.
TEST(GroupReport, NamesRestrictedAccountsOfAllControlHosts)
{
  const std::vector<HostPage> hosts{
    { .id = "a", .page = { { "restricted_accounts", { "fern" } } }, .responded = true },
    { .id = "b", .page = { { "restricted_accounts", { "brook", "fern" } } }, .responded = true },
    { .id = "c" },
  };
  EXPECT_EQ(describe_restrictions(restricted_accounts(hosts)),
            (Lines{ "accounts near or over their allowance: brook fern" }));
  EXPECT_EQ(describe_restrictions(restricted_accounts({ { .id = "c" } })), Lines());
}

} // namespace
} // namespace lovagehold
