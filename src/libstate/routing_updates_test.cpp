#include "lovagehold/routing_updates.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace lovagehold {
namespace {

const std::vector<std::string> kPrefixes{ "/", "/a/", "/a/b/", "/ab/", "/b/", "/b/a/b/" };
const std::vector<std::string> kHosts{ "x", "y" };
const std::vector<std::string> kAccounts{ "p", "q", "r" };
const std::vector<std::string> kKeys{ "1", "2", "3", "4" };

// One line for each route: host, prefix, first and second service; one for each account.
std::string
write_document(const RoutingConfig& config)
{
  std::ostringstream output;
  output << config.version << " " << config.limits.body_bytes << "\n";
  for (const VirtualHost& host : config.hosts) {
    for (const Route& route : host.routes) {
      output << host.name << " " << route.path_prefix;
      for (const RouteTarget& target : route.targets) {
        output << " " << target.service;
      }
      output << "}\n";
    }
  }
  for (const ClientAccount& account : config.accounts) {
    output << account.name << " " << account.rate << " " << account.priority.value_or(9);
    for (const KeyDigest& key : account.keys) {
      output << " " << static_cast<int>(key[0]);
    }
    output << "\n";
  }
  return output.str();
}

RoutingConfig
random_config(std::uint64_t version)
{
  RoutingConfig config{ .version = version,
                        .limits = { .body_bytes = *rc::gen::inRange<std::uint64_t>(1, 3) } };
  for (const std::string& host : kHosts) {
    config.hosts.push_back({ .name = host });
    for (const std::string& prefix : kPrefixes) {
      const auto targets = *rc::gen::inRange(0, 3);
      Route route{ .name = host + prefix, .path_prefix = prefix };
      for (int i = 0; i < targets; ++i) {
        route.targets.push_back({ .service = *rc::gen::element<std::string>("s", "t") });
      }
      if (targets > 0) {
        config.hosts.back().routes.push_back(route);
      }
    }
  }
  for (const char* service : { "s", "t" }) {
    if (*rc::gen::arbitrary<bool>()) {
      config.services.push_back(
        { .name = service, .max_connections = *rc::gen::inRange<unsigned>(1, 3) });
    }
  }
  // A key moves to another account, or is unused, at random.
  config.requires_key = *rc::gen::arbitrary<bool>();
  if (config.requires_key) {
    for (const std::string& account : kAccounts) {
      if (*rc::gen::arbitrary<bool>()) {
        config.accounts.push_back(
          { .name = account, .rate = static_cast<double>(*rc::gen::inRange(0, 2)) });
        if (*rc::gen::arbitrary<bool>()) {
          config.accounts.back().priority = *rc::gen::inRange<unsigned>(0, 3);
        }
      }
    }
    for (const std::string& key : kKeys) {
      const auto holder = *rc::gen::inRange<std::size_t>(0, kAccounts.size());
      if (holder < config.accounts.size()) {
        config.accounts[holder].keys.push_back(digest_of(key));
      }
    }
  }
  return config;
}

// \return whether two accounts that may be missing are the same
bool
same_account(const std::shared_ptr<const ClientAccount>& found,
             const std::shared_ptr<const ClientAccount>& expected)
{
  return (found == nullptr) == (expected == nullptr) && (found == nullptr || *found == *expected);
}

// \return whether requests get the same accounts from both tables
bool
equal_accounts(const AccountTable& table, const AccountTable& whole)
{
  bool equal = table.requires_key() == whole.requires_key() && table.size() == whole.size();
  for (const std::string& name : kAccounts) {
    equal = equal && same_account(table.find(name), whole.find(name));
  }
  for (const std::string& key : kKeys) {
    equal = equal && same_account(table.find_by_key(key), whole.find_by_key(key));
  }
  return equal;
}

// \return whether the table gives what a table of the whole configuration gives
bool
equals(const RoutingTable& table, const RoutingConfig& config)
{
  const RoutingTable whole(config, 1);
  bool equal = table.version() == config.version && table.limits() == config.limits &&
               table.size() == whole.size() && equal_accounts(table.accounts(), whole.accounts());
  for (const char* path : { "/", "/a", "/a/", "/a/b/c", "/ab/", "/abc", "/b/a/b/", "/b/a/", "" }) {
    for (const std::string& host : kHosts) {
      const auto found = table.find(host, path);
      const auto expected = whole.find(host, path);
      equal = equal && (found == nullptr) == (expected == nullptr) &&
              (found == nullptr || *found == *expected);
    }
  }
  for (const char* name : { "s", "t" }) {
    const auto found = table.service(name);
    const auto expected = whole.service(name);
    equal = equal && (found == nullptr) == (expected == nullptr) &&
            (found == nullptr || *found == *expected);
  }
  return equal;
}

// Guards against hosts whose routes or accounts differ from the acknowledged configuration,
// whatever they missed: operators change it at several control hosts that are behind each other,
// and entry hosts see only some versions, start from images or restart.
RC_GTEST_PROP(RoutingUpdates, EachHostHasExactlyTheRoutesOfTheWholeDocument, ())
{
  std::map<std::string, RoutingConfig> sent;
  const DecodeRouting decode = [&](const std::string& document) -> Result<RoutingConfig> {
    return sent.at(document);
  };
  StateMachine leader;
  std::vector<StateMachine> followers(2);
  std::vector<RoutingTable> control_tables(3);
  std::vector<RoutingTable> entry_tables(2);
  std::vector<std::pair<std::uint64_t, Command>> log;
  std::vector<std::size_t> positions(followers.size());
  std::uint64_t version = 0;
  std::uint64_t highest_acknowledged = 0;
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto host = *rc::gen::inRange<std::size_t>(0, followers.size());
    StateMachine& follower = followers[host];
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1: {
        // The operator's call arrives at a control host that may be behind the leader.
        const auto at = *rc::gen::inRange<std::size_t>(0, control_tables.size());
        const StateMachine& held = at < followers.size() ? followers[at] : leader;
        RoutingTable& table = control_tables[at];
        version += *rc::gen::inRange<std::uint64_t>(1, 3);
        const RoutingConfig config = random_config(version);
        const std::string document = write_document(config);
        sent[document] = config;
        RC_ASSERT(update_routing_table(table, held, decode, 1).has_value());
        Command command = make_routing_command(table, held, config, document);
        RC_ASSERT(decode_command(encode(command)).has_value());
        command = decode_command(encode(command)).value();
        log.emplace_back(log.size() + 1, command);
        if (!leader.apply(log.size(), command).accepted) {
          const ReplaceRouting whole{ .version = version, .document = document };
          log.emplace_back(log.size() + 1, whole);
          RC_ASSERT(leader.apply(log.size(), whole).accepted);
        }
        highest_acknowledged = version;
        RC_ASSERT(leader.routing_version() == version);
        RC_ASSERT(leader.routing_document() == document);
        break;
      }
      case 2:
        for (auto entries = *rc::gen::inRange<std::size_t>(0, 4);
             entries > 0 && positions[host] < log.size();
             --entries, ++positions[host]) {
          follower.apply(log[positions[host]].first, log[positions[host]].second);
        }
        break;
      case 3:
        RC_ASSERT(follower.restore(leader.snapshot()).has_value());
        positions[host] = log.size();
        break;
      default:
        if (*rc::gen::inRange(0, 8) == 0) {
          entry_tables[host] = {};
        }
        break;
    }
    const std::uint64_t before = entry_tables[host].version();
    if (follower.routing_version() > before) {
      RC_ASSERT(update_routing_table(entry_tables[host], follower, decode, 1).has_value());
      RC_ASSERT(entry_tables[host].version() > before);
      RC_ASSERT(equals(entry_tables[host], sent.at(follower.routing_document())));
    }
  }
  RC_ASSERT(leader.routing_version() == highest_acknowledged);
}

RoutingConfig
large_config(std::uint64_t version, std::size_t routes, std::size_t changed)
{
  RoutingConfig config{ .version = version, .services = { { .name = "s" }, { .name = "t" } } };
  config.hosts.push_back({ .name = "x" });
  for (std::size_t i = 0; i < routes; ++i) {
    const std::string prefix = "/p" + std::to_string(i) + "/";
    config.hosts.back().routes.push_back(
      { .name = prefix, .path_prefix = prefix, .targets = { { i == changed ? "t" : "s" } } });
  }
  return config;
}

// Guards against messages and work for each change that grow with the routes that stay the same.
TEST(RoutingUpdates, SizeOfAChangeDoesNotDependOnTheOtherRoutes)
{
  for (const std::size_t routes : { 100U, 1400U, 20'000U }) {
    StateMachine state;
    const RoutingConfig first = large_config(1, routes, 3);
    const RoutingConfig second = large_config(2, routes, routes / 2);
    state.apply(1, ReplaceRouting{ .version = 1, .document = write_document(first) });
    const RoutingTable table(first, 1);
    const Command command = make_routing_command(table, state, second, write_document(second));
    ASSERT_TRUE(std::holds_alternative<ChangeRouting>(command));
    EXPECT_EQ(std::get<ChangeRouting>(command).change.size(), 2U);
    EXPECT_LE(encode(command).size(), 3000U);
    ASSERT_TRUE(state.apply(2, command).accepted);
    EXPECT_EQ(state.routing_document(), write_document(second));
  }
}

// Guards against a change that is applied to another configuration than the one that it was made
// for, and against the refusal of a version that another one has overtaken.
TEST(RoutingUpdates, ChangeOfAnotherBaseIsAConflict)
{
  const RoutingConfig first = large_config(1, 100, 1);
  StateMachine state;
  state.apply(1, ReplaceRouting{ .version = 1, .document = write_document(first) });
  const RoutingTable table(first, 1);
  const RoutingConfig second = large_config(2, 100, 2);
  const RoutingConfig third = large_config(3, 100, 3);
  const Command to_second = make_routing_command(table, state, second, write_document(second));
  const Command to_third = make_routing_command(table, state, third, write_document(third));
  ASSERT_TRUE(state.apply(2, to_second).accepted);
  const ApplyResult conflict = state.apply(3, to_third);
  ASSERT_FALSE(conflict.accepted);
  EXPECT_EQ(conflict.error->kind, ErrorKind::Conflict);
  EXPECT_EQ(state.routing_document(), write_document(second));
  ASSERT_TRUE(
    state.apply(4, ReplaceRouting{ .version = 3, .document = write_document(third) }).accepted);
  EXPECT_TRUE(state.apply(5, to_second).accepted);
  EXPECT_EQ(state.routing_document(), write_document(third));
  EXPECT_FALSE(state.routing_changes_since(1).has_value());
}

// Guards against rebuilding the servers of all services because those of one changed.
TEST(StateMachine, ChangedServicesAreKnownSinceAnIndex)
{
  StateMachine state;
  const auto join = [](const char* service, const char* id) {
    return JoinServer{
      { .service = service, .id = id, .address = "127.0.0.1:1", .incarnation = 1 }
    };
  };
  state.apply(1, join("s", "a"));
  state.apply(2, join("t", "b"));
  state.apply(3, ReplaceRouting{ .version = 1, .document = "one" });
  EXPECT_EQ(state.servers_index(), 2U);
  EXPECT_EQ(state.services_changed_since(0), (std::set<ServiceName>{ "s", "t" }));
  EXPECT_EQ(state.services_changed_since(1), std::set<ServiceName>{ "t" });
  state.apply(4, LeaveServer{ .id = "a", .incarnation = 1 });
  EXPECT_EQ(state.services_changed_since(2), std::set<ServiceName>{ "s" });
  StateMachine restored;
  ASSERT_TRUE(restored.restore(state.snapshot()).has_value());
  EXPECT_FALSE(restored.services_changed_since(2).has_value());
  EXPECT_EQ(restored.services_changed_since(4), std::set<ServiceName>{});
  restored.apply(5, join("t", "c"));
  EXPECT_EQ(restored.services_changed_since(4), std::set<ServiceName>{ "t" });
}

} // namespace
} // namespace lovagehold
