#include "lovagehold/site.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

SiteSettings
valid_settings()
{
  return { .host = "core-1",
           .failure_domain = "a",
           .control_address = "10.0.0.1:8080",
           .cluster_address = "10.0.0.1:7000",
           .seeds = { "10.0.0.1:7000", "10.0.0.2:7000" },
           .data_folder = "/data" };
}

// Guards against rejecting settings with which the process works.
TEST(SiteSettingsCheck, AcceptsValidSettings)
{
  EXPECT_TRUE(check_settings(valid_settings()).empty());
}

// Guards against a quarantine that never begins or never ends.
TEST(SiteSettingsCheck, QuarantineHasARange)
{
  SiteSettings settings = valid_settings();
  for (const int seconds : { 0, 601 }) {
    settings.quarantine = std::chrono::seconds(seconds);
    ASSERT_EQ(check_settings(settings).size(), 1U) << seconds;
    EXPECT_NE(check_settings(settings)[0].message.find("quarantine"), std::string::npos);
  }
  settings.quarantine = std::chrono::seconds(600);
  EXPECT_TRUE(check_settings(settings).empty());
}

// Guards against mistakes that only show once requests arrive, and against reporting just the first
// mistake.
TEST(SiteSettingsCheck, FindsEveryMistake)
{
  SiteSettings settings = valid_settings();
  settings.data_folder.clear();
  settings.control_address = "core-1:8080";
  settings.seeds = { "10.0.0.1" };
  const std::vector<Error> mistakes = check_settings(settings);
  ASSERT_EQ(mistakes.size(), 3U);
  EXPECT_NE(mistakes[0].message.find("no data folder"), std::string::npos);
  EXPECT_NE(mistakes[1].message.find("core-1:8080"), std::string::npos);
  EXPECT_NE(mistakes[2].message.find("10.0.0.1"), std::string::npos);
  settings = valid_settings();
  settings.control_address.clear();
  settings.seeds.clear();
  EXPECT_EQ(check_settings(settings).size(), 2U);
}

// Guards against a process that starts with settings it can't work with and crashes when its status
// page is read.
TEST(SiteSettingsCheck, ProcessWithoutARoleDoesNotStart)
{
  SiteSettings settings = valid_settings();
  settings.control_address.clear();
  const auto unchanged = [&]() -> Result<SiteSettings> { return settings; };
  const Result<void> ended = run_site(settings, {}, unchanged);
  ASSERT_TRUE(ended.has_error());
  EXPECT_NE(ended.error().message.find("neither"), std::string::npos);
}

} // namespace
} // namespace lovagehold
