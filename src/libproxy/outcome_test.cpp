#include "entry_fixture.h"

namespace lovagehold {
namespace {

constexpr unsigned short kPort = 7413;

std::string
make_post(const std::string& body)
{
  return "POST /x HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: k1\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

Result<ApplyResult>
make_timeout_error()
{
  return Error{ .kind = ErrorKind::Timeout, .message = "no answer", .remedy = "retry" };
}

void
expect_outcome(const std::optional<std::string>& received, int status, const std::string& outcome)
{
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), status);
  EXPECT_NE(received->find("Lovagehold-Outcome: " + outcome + "\r\n"), std::string::npos)
    << *received;
}

// Guards against a response that is not recorded: a repeated request would run again.
TEST(Outcome, ResponseIsRecorded)
{
  EntryFixture entry(kPort);
  const auto received = entry.send(make_post("a"));
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), 200);
  ASSERT_EQ(entry.proposed.size(), 2U);
  const auto& record = std::get<RecordOutcome>(entry.proposed[1]);
  EXPECT_EQ(record.outcome, OutcomeKind::Done);
  EXPECT_EQ(record.stored_response.body, "ok");
  EXPECT_EQ(record.attempt, std::get<ClaimKey>(entry.proposed[0]).attempt);
}

// Guards against sending a request to a server although its claim was not granted.
TEST(Outcome, ClaimThatIsNotGrantedSendsNothing)
{
  EntryFixture entry(kPort);
  const auto set_claim_status = [&entry](ClaimStatus status) {
    entry.on_propose = [status](const Command&) {
      return Result<ApplyResult>(ApplyResult{
        .accepted = true,
        .claim = status,
        .stored_response =
          StoredResponse{ .status = 201, .content_type = "text/plain", .body = "old" } });
    };
  };
  set_claim_status(ClaimStatus::InProgress);
  expect_outcome(entry.send(make_post("a")), 409, "in-progress");
  set_claim_status(ClaimStatus::DigestDiffers);
  expect_outcome(entry.send(make_post("a")), 422, "not-run");
  set_claim_status(ClaimStatus::StoreFull);
  expect_outcome(entry.send(make_post("a")), 503, "not-run");
  set_claim_status(ClaimStatus::Unknown);
  expect_outcome(entry.send(make_post("a")), 504, "unknown");
  set_claim_status(ClaimStatus::Done);
  const auto stored = entry.send(make_post("a"));
  expect_outcome(stored, 201, "done");
  EXPECT_EQ(stored->substr(stored->size() - 3), "old");
  // A claim whose proposal was not confirmed may still be committed.
  entry.on_propose = [](const Command&) { return make_timeout_error(); };
  expect_outcome(entry.send(make_post("a")), 504, "unknown");
  EXPECT_EQ(entry.server().requests(), 0U);
}

// Guards against reporting not-run before the release of the claim is committed.
TEST(Outcome, RefusedConnectionIsNotRunOnlyIfCommitted)
{
  EntryFixture entry(kPort);
  entry.stop_server();
  expect_outcome(entry.send(make_post("a")), 503, "not-run");
  const auto* record = std::get_if<RecordOutcome>(&entry.proposed.back());
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->outcome, OutcomeKind::NotRun);
  entry.on_propose = [](const Command& command) {
    const bool claim = std::holds_alternative<ClaimKey>(command);
    return claim
             ? Result<ApplyResult>(ApplyResult{ .accepted = true, .claim = ClaimStatus::Granted })
             : make_timeout_error();
  };
  expect_outcome(entry.send(make_post("a")), 504, "unknown");
}

// Guards against reporting not-run, or a retry, after a byte may have reached the server.
TEST(Outcome, LostResponseIsUnknown)
{
  EntryFixture entry(kPort);
  for (const char* response : { "", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok" }) {
    const unsigned before = entry.server().requests();
    entry.server().respond_with(response);
    expect_outcome(entry.send(make_post("a")), 504, "unknown");
    EXPECT_EQ(entry.server().requests(), before + 1);
    EXPECT_TRUE(std::holds_alternative<ClaimKey>(entry.proposed[entry.proposed.size() - 2]));
    const auto* record = std::get_if<RecordOutcome>(&entry.proposed.back());
    ASSERT_NE(record, nullptr) << "the key must not stay in progress";
    EXPECT_EQ(record->outcome, OutcomeKind::Unknown);
  }
}

// Guards against treating a server's 503 as not-run: the server may have executed part of the
// request.
TEST(Outcome, ServerErrorIsPassedOnAndRecorded)
{
  EntryFixture entry(kPort);
  entry.server().respond_with("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  const auto received = entry.send(make_post("a"));
  ASSERT_TRUE(received.has_value());
  EXPECT_EQ(status_of(*received), 503);
  EXPECT_EQ(received->find("Lovagehold-Outcome"), std::string::npos);
  const auto* record = std::get_if<RecordOutcome>(&entry.proposed.back());
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->outcome, OutcomeKind::Done);
  EXPECT_EQ(entry.server().requests(), 1U);
}

// Guards against claims by a host that may be isolated from the consensus group, and against bodies
// of unlimited size: such requests must be rejected without a proposal.
TEST(Outcome, RejectedBeforeAProposal)
{
  EntryFixture entry(kPort);
  expect_outcome(entry.send(make_post(std::string((1 << 20) + 1, 'x'))), 413, "not-run");
  expect_outcome(
    entry.send("POST /x HTTP/1.1\r\nHost: desk\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
    400,
    "not-run");
  entry.set_share(SlotShare::Isolated);
  expect_outcome(entry.send(make_post("a")), 503, "not-run");
  EXPECT_TRUE(entry.proposed.empty());
  EXPECT_EQ(entry.server().requests(), 0U);
}

} // namespace
} // namespace lovagehold
