#include "explain.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Log lines of requests that were refused for lack of room, lost their response, or were late
// because of a slow server. One line has the prefix of a log collector.
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

// Guards against explaining a refusal without the servers that were full, and against context lines
// about other servers or from much earlier.
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

// Guards against a missing cause for a request that was refused without an attempt.
TEST(Explain, RefusalWithoutAnAttemptGivesTheReason)
{
  const Explanation explanation = explain("5d01");
  EXPECT_TRUE(contains(explanation.cause, "for lack of room")) << explanation.cause;
  EXPECT_TRUE(contains(explanation.cause, "waiting 4 limit 75 ms"));
}

// Guards against reporting a lost response as a request that did not run.
TEST(Explain, LostResponseIsUnknown)
{
  const Explanation explanation = explain("6077e63e");
  EXPECT_TRUE(contains(explanation.cause, "unknown whether the request ran")) << explanation.cause;
  EXPECT_TRUE(contains(explanation.cause, "i-c07b"));
}

// Guards against explaining a late request without its server and the load of that server.
TEST(Explain, LateRequestNamesTheSlowServerAndItsLoad)
{
  const Explanation explanation = explain("9ab778c7");
  EXPECT_TRUE(contains(explanation.cause, "late because of a slow server: i-8fd9"));
  EXPECT_TRUE(contains(explanation.cause, "400% of the usual time")) << explanation.cause;
}

// Guards against explaining a request that is in no log line.
TEST(Explain, UnknownRequestHasNoCause)
{
  EXPECT_TRUE(explain("nothing").cause.empty());
}

// Guards against cutting quoted values at their first space.
TEST(Explain, ParsesQuotedValues)
{
  const LogLine line = parse_log_line("x time=1 reason=\"a \\\"b\\\" c\" last=2");
  EXPECT_EQ(line.field("reason"), "a \"b\" c");
  EXPECT_EQ(line.field("last"), "2");
}

} // namespace
} // namespace lovagehold
