#include "lovagehold/metrics.h"

#include <gmock/gmock.h>
#include <thread>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;

// Guards against losing requests when the shards of several threads are merged, and against buckets
// that are not cumulative.
TEST(Metrics, MergesTheShardsOfAllThreads)
{
  Metrics metrics(2);
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&] {
      metrics.record("desk", RequestClass::Urgent, RequestOutcome::Served, milliseconds(5));
      metrics.record("desk", RequestClass::Urgent, RequestOutcome::Refused, milliseconds(20000));
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string page = metrics.render();
  EXPECT_THAT(page, HasSubstr("# TYPE lovagehold_request_seconds histogram\n"));
  EXPECT_THAT(page, HasSubstr("_bucket{service=\"desk\",class=\"urgent\",le=\"0.00398107\"} 0\n"));
  EXPECT_THAT(page, HasSubstr("_bucket{service=\"desk\",class=\"urgent\",le=\"10\"} 3\n"));
  EXPECT_THAT(page, HasSubstr("_bucket{service=\"desk\",class=\"urgent\",le=\"+Inf\"} 6\n"));
  EXPECT_THAT(page, HasSubstr("_count{service=\"desk\",class=\"urgent\"} 6\n"));
  EXPECT_THAT(page, HasSubstr("class=\"urgent\",outcome=\"served\"} 3\n"));
  EXPECT_THAT(page, HasSubstr("class=\"urgent\",outcome=\"refused\"} 3\n"));
}

// Guards against unescaped label values that make the page unreadable for scrapers.
TEST(MetricsText, EscapesLabels)
{
  MetricsText text;
  text.begin("m", "gauge", "Help.");
  text.sample({ { "a", "x\"y\\z\n" } }, 1.5);
  text.sample({}, 2);
  EXPECT_EQ(text.text(), "# HELP m Help.\n# TYPE m gauge\nm{a=\"x\\\"y\\\\z\\n\"} 1.5\nm 2\n");
}

// Guards against an unknown age that is written as a number too large to plot.
TEST(MetricsText, UnknownDurationIsInfinite)
{
  MetricsText text;
  text.begin("m", "gauge", "Help.");
  text.sample({}, seconds_or_infinity(Duration::max()));
  text.sample({}, seconds_or_infinity(std::chrono::milliseconds(1500)));
  EXPECT_EQ(text.text(), "# HELP m Help.\n# TYPE m gauge\nm +Inf\nm 1.5\n");
}

} // namespace
} // namespace lovagehold
