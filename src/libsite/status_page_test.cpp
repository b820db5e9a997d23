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

} // namespace
} // namespace lovagehold
