#include "lovagehold/entry_directory.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr milliseconds kLease{ 1000 };

EntryPresence
make_presence(const std::string& domain, int number, bool ready = true)
{
  return { .address = domain + ":" + std::to_string(number),
           .failure_domain = domain,
           .ready = ready };
}

// Guards against directing callers to a host that is leaving or whose lease has expired.
TEST(EntryDirectory, OnlyReadyHostsWithinTheirLeaseAreAdvertised)
{
  EntryDirectory directory({ .lease = kLease });
  EXPECT_TRUE(directory.apply_announcement(make_presence("a", 1), kStart));
  EXPECT_FALSE(directory.apply_announcement(make_presence("a", 1), kStart));
  EXPECT_EQ(directory.resolve("a", kStart).size(), 1U);
  EXPECT_TRUE(directory.apply_announcement(make_presence("a", 1, false), kStart + milliseconds(1)));
  EXPECT_TRUE(directory.resolve("a", kStart + milliseconds(1)).empty());
  directory.apply_announcement(make_presence("a", 2), kStart);
  EXPECT_TRUE(directory.resolve("a", kStart + kLease).empty());
}

// Guards against an older announcement, relayed by another control host, replacing a newer one.
TEST(EntryDirectory, OlderAnnouncementIsIgnored)
{
  EntryDirectory directory({ .lease = kLease });
  directory.apply_announcement(make_presence("a", 1, false), kStart);
  EXPECT_FALSE(directory.apply_announcement(make_presence("a", 1, true), kStart - milliseconds(1)));
  EXPECT_TRUE(directory.resolve("a", kStart).empty());
}

// Guards against callers that get no address, or one of another failure domain although their own
// has enough hosts, and against a large failure domain in which only a few hosts get the traffic.
RC_GTEST_PROP(EntryDirectory, NearHostsComeFirst, ())
{
  const EntryDirectoryOptions options{ .lease = kLease };
  EntryDirectory directory(options);
  const auto local_count = *rc::gen::inRange<std::size_t>(0, 80);
  const auto remote_count = *rc::gen::inRange<std::size_t>(0, 10);
  for (std::size_t i = 0; i < local_count; ++i) {
    directory.apply_announcement(make_presence("a", static_cast<int>(i)), kStart);
  }
  for (std::size_t i = 0; i < remote_count; ++i) {
    directory.apply_announcement(make_presence("b", static_cast<int>(i)), kStart);
  }
  const auto addresses = directory.resolve("a", kStart);
  const std::size_t advertised_count =
    local_count > options.large_domain ? local_count : options.subset;
  RC_ASSERT(addresses.size() ==
            std::min<std::size_t>({ advertised_count, local_count + remote_count, 64 }));
  const auto remote_address_count =
    std::count_if(addresses.begin(), addresses.end(), [](const std::string& address) {
      return address[0] == 'b';
    });
  RC_ASSERT(remote_address_count == 0 || local_count < options.subset);
}

// Guards against a cold start of all hosts in which the callers of a large failure domain are sent
// to the first few hosts that are ready, and stay with them.
TEST(EntryDirectory, ColdStartDoesNotConcentrateCallers)
{
  const EntryDirectoryOptions options{ .lease = kLease };
  EntryDirectory directory(options);
  for (const char* domain : { "a", "b", "c" }) {
    for (int i = 0; i < 90; ++i) {
      directory.apply_announcement(make_presence(domain, i, i < 8), kStart);
    }
  }
  const auto addresses = directory.resolve("a", kStart);
  EXPECT_EQ(addresses.size(), options.large_domain);
  EXPECT_EQ(std::count_if(addresses.begin(),
                          addresses.end(),
                          [](const std::string& address) { return address[0] == 'a'; }),
            8);
  for (int i = 8; i < 60; ++i) {
    directory.apply_announcement(make_presence("a", i), kStart + milliseconds(1));
  }
  EXPECT_EQ(directory.resolve("a", kStart + milliseconds(1)).size(), 60U);
  EXPECT_EQ(directory_ttl(milliseconds(100), milliseconds(5000)), milliseconds(600));
  EXPECT_EQ(directory_ttl(milliseconds(100), milliseconds(300)), milliseconds(300));
  EXPECT_EQ(directory_ttl(milliseconds(2000), milliseconds(5000)), milliseconds(5000));
}

} // namespace
} // namespace lovagehold
