#include "explain.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Lines of a played day with three failures: refused for lack of room, run but its answer lost,
// late because of a slow server. A prefix as a log collector adds it stands before one of them.
const char* const kLines[] = {
  "time=2026-09-03T01:15:12.516Z level=info host=entry-3 event=routing_in_force version=5",
  "time=2026-09-03T01:15:13.122Z level=info host=control-1 event=server_joins server=i-e106 "
  "service=desk address=10.3.64.29:8466 incarnation=1788398113120 sequence=1",
  "time=2026-09-03T01:14:40.122Z level=info host=control-1 event=server_joins server=i-3f69 "
  "service=desk address=10.3.64.28:8466 incarnation=1788398113100 sequence=1",
  "10.95 entry-3 time=2026-09-03T01:15:16.950Z level=warning host=entry-3 event=request_failed "
  "id=ac2ac62d route=r-1 service=desk routing=5 status=503 ms=700 timeout_ms=1200 "
  "attempts=i-e106:not_executed:216ms:cost180:age-:load0/0/0/100,"
  "i-3f69:not_executed:440ms:cost246:age136:load2/0/3/100 budget_left=9.6 "
  "reason=\"the servers are full\"",
  "time=2026-09-03T01:15:20.130Z level=warning host=entry-4 event=request_failed id=6077e63e "
  "route=r-2 service=ledger routing=5 status=502 ms=329 timeout_ms=1500 "
  "attempts=i-c07b:broken:327ms:cost100:age0:load0/0/3/100 budget_left=9.5 "
  "reason=\"the server's response was lost or broken\"",
  "time=2026-09-03T01:15:20.950Z level=warning host=entry-3 event=request_failed id=5d01 "
  "route=r-1 service=desk routing=5 status=503 ms=75 timeout_ms=1200 attempts=- budget_left=9.6 "
  "reason=\"the servers are full\" detail=\"best i-e106:age12:load2/0/3/100 waiting 4 limit 75 "
  "ms\"",
  "time=2026-09-03T01:15:21.050Z level=info host=entry-5 event=request id=9ab778c7 route=r-3 "
  "service=notes routing=5 status=200 ms=1552 timeout_ms=5000 "
  "attempts=i-8fd9:responded:1549ms:cost100:age0:load1/0/3/400 budget_left=6.8 reason=\"\"",
};

Explanation
explain(const std::string& id)
{
  std::vector<LogLine> lines;
  for (const char* line : kLines) {
    lines.push_back(parse_log_line(line));
  }
  return explain_request(id, lines);
}

bool
contains(const std::string& text, const std::string& part)
{
  return text.find(part) != std::string::npos;
}

// Guards against a refusal that is explained without the servers that refused, and against context
// of other servers or of long before.
TEST(Explain, RefusalNamesTheServersThatWereFull)
{
  const Explanation explanation = explain("ac2ac62d");
  EXPECT_TRUE(contains(explanation.cause, "for lack of room")) << explanation.cause;
  EXPECT_TRUE(contains(explanation.cause, "i-3f69 (not_executed after 440ms)"));
  EXPECT_TRUE(contains(explanation.cause, "did not run"));
  ASSERT_EQ(explanation.lines.size(), 3U);
  EXPECT_TRUE(contains(explanation.lines[0], "event=routing_in_force"));
  EXPECT_TRUE(contains(explanation.lines[1], "server=i-e106"));
}

// Guards against a refusal without an attempt whose cause is not told.
TEST(Explain, RefusalWithoutAnAttemptNamesWhatDecided)
{
  const Explanation explanation = explain("5d01");
  EXPECT_TRUE(contains(explanation.cause, "for lack of room")) << explanation.cause;
  EXPECT_TRUE(contains(explanation.cause, "waiting 4 limit 75 ms"));
}

// Guards against a lost answer that is told as a request that did not run.
TEST(Explain, LostAnswerIsUnknown)
{
  const Explanation explanation = explain("6077e63e");
  EXPECT_TRUE(contains(explanation.cause, "run or not is unknown")) << explanation.cause;
  EXPECT_TRUE(contains(explanation.cause, "i-c07b"));
}

// Guards against a late request whose server and load are not named.
TEST(Explain, LateRequestNamesTheSlowServerAndItsLoad)
{
  const Explanation explanation = explain("9ab778c7");
  EXPECT_TRUE(contains(explanation.cause, "late because of a slow server: i-8fd9"));
  EXPECT_TRUE(contains(explanation.cause, "400% of the usual time")) << explanation.cause;
}

// Guards against an answer about a request that no line names.
TEST(Explain, UnknownRequestHasNoCause)
{
  EXPECT_TRUE(explain("nothing").cause.empty());
}

// Guards against quoted values that end at their first space.
TEST(Explain, QuotedValuesAreWhole)
{
  const LogLine line = parse_log_line("x time=1 reason=\"a \\\"b\\\" c\" last=2");
  EXPECT_EQ(line.field("reason"), "a \"b\" c");
  EXPECT_EQ(line.field("last"), "2");
}

} // namespace
} // namespace lovagehold
