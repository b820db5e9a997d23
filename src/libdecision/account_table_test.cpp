#include "lovagehold/account_table.h"

#include "lovagehold/routing_table.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

ClientAccount
account(const std::string& name, const std::vector<std::string>& keys, double rate = 0)
{
  ClientAccount account{ .name = name, .rate = rate };
  for (const std::string& key : keys) {
    account.keys.push_back(digest_of(key));
  }
  return account;
}

RoutingConfig
config(std::uint64_t version, const std::vector<ClientAccount>& accounts)
{
  return { .version = version, .requires_key = true, .accounts = accounts };
}

std::string
holder(const RoutingTable& table, const std::string& key)
{
  const auto found = table.accounts().find_by_key(key);
  return found == nullptr ? "" : found->name;
}

// Guards against keys that stay in force after they were taken away, or with their former account
// after they were moved, whatever the order of the accounts.
TEST(AccountTable, KeysFollowTheConfiguration)
{
  RoutingTable table(config(1, { account("a", { "k1", "k2" }), account("b", { "k3" }) }), 1);
  EXPECT_EQ(holder(table, "k1"), "a");
  EXPECT_EQ(holder(table, "k3"), "b");
  EXPECT_EQ(holder(table, "k4"), "");
  EXPECT_EQ(holder(table, ""), "");
  for (const std::uint64_t version : { 2, 4, 6 }) {
    const RoutingConfig moved =
      config(version, { account("a", { "k3" }), account("b", { "k1", "k2" }) });
    ASSERT_TRUE(table.apply(table.difference_to(moved)));
    EXPECT_EQ(holder(table, "k1"), "b");
    EXPECT_EQ(holder(table, "k2"), "b");
    EXPECT_EQ(holder(table, "k3"), "a");
    const RoutingConfig back =
      config(version + 1, { account("b", { "k3" }), account("a", { "k1" }) });
    ASSERT_TRUE(table.apply(table.difference_to(back)));
    EXPECT_EQ(holder(table, "k1"), "a");
    EXPECT_EQ(holder(table, "k2"), "");
    EXPECT_EQ(holder(table, "k3"), "b");
  }
}

// Guards against an account without keys that takes part of another one with it, and against a
// table without accounts that still asks for keys.
TEST(AccountTable, AccountsComeAndGo)
{
  RoutingTable table(config(1, { account("a", { "k1" }), account("b", { "k2" }) }), 1);
  ASSERT_TRUE(table.apply(table.difference_to(config(2, { account("a", {}, 5) }))));
  EXPECT_EQ(holder(table, "k1"), "");
  EXPECT_EQ(holder(table, "k2"), "");
  ASSERT_NE(table.accounts().find("a"), nullptr);
  EXPECT_EQ(table.accounts().find("a")->rate, 5);
  EXPECT_EQ(table.accounts().find("b"), nullptr);
  EXPECT_TRUE(table.accounts().requires_key());
  ASSERT_TRUE(table.apply(table.difference_to(RoutingConfig{ .version = 3 })));
  EXPECT_FALSE(table.accounts().requires_key());
  EXPECT_EQ(table.accounts().size(), 0U);
}

// Guards against changes that carry accounts that stay the same.
TEST(AccountTable, ChangesHoldOnlyWhatDiffers)
{
  const RoutingTable table(config(1, { account("a", { "k1" }), account("b", { "k2" }) }), 1);
  const RoutingChange change =
    table.difference_to(config(2, { account("a", { "k1" }), account("b", { "k2" }, 3) }));
  ASSERT_EQ(change.accounts.size(), 1U);
  EXPECT_EQ(change.accounts[0].name, "b");
  EXPECT_EQ(change.size(), 1U);
  EXPECT_FALSE(change.requires_key.has_value());
}

} // namespace
} // namespace lovagehold
