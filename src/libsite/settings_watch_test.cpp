#include "settings_watch.h"

#include <csignal>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Guards against ignoring SIGHUP, reporting unchanged settings, and replacing valid settings when
// the file is read while it is being written.
TEST(SettingsWatch, ChangesAreReportedOnce)
{
  boost::asio::io_context context;
  EventLog log({ .host = "settings-test", .level = "error" });
  Result<SiteSettings> content = SiteSettings{ .seeds = { "a" } };
  unsigned reads = 0;
  std::vector<SiteSettings> changes;
  const SettingsWatch watch(
    context,
    log,
    content.value(),
    [&] {
      ++reads;
      return content;
    },
    [&](const SiteSettings& settings) { changes.push_back(settings); });
  const auto signal = [&](const Result<SiteSettings>& next) {
    content = next;
    const unsigned before = reads;
    std::raise(SIGHUP);
    while (reads == before) {
      context.run_one();
    }
  };
  signal(SiteSettings{ .seeds = { "a" } });
  EXPECT_TRUE(changes.empty());
  signal(Error{ .kind = ErrorKind::InvalidArgument, .message = "cut short", .remedy = "none" });
  EXPECT_TRUE(changes.empty());
  signal(SiteSettings{ .seeds = { "b" } });
  signal(SiteSettings{ .seeds = { "b" } });
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].seeds, std::vector<std::string>{ "b" });
}

} // namespace
} // namespace lovagehold
