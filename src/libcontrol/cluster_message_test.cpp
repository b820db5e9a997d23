#include "lovagehold/cluster_message.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

// Guards against a heartbeat that loses a field, and against one that exceeds the control traffic
// budget: at a 150 ms interval, 100 bytes in each direction are 1.3 KB/s of a node's 9 KB/s.
TEST(ClusterMessage, HeartbeatsAreCompactAndKeepAllFields)
{
  const Heartbeat heartbeat{ .host = "entry-0001",
                             .incarnation = 1796373600000,
                             .sequence = 1796373600321,
                             .view = 1234567,
                             .stable_view = 1234566 };
  const Bytes sent = encode(ClusterMessage(heartbeat));
  const HeartbeatReply reply{ .sequence = heartbeat.sequence,
                              .lease = std::chrono::milliseconds(600),
                              .stable_view = 1234567,
                              .leader = "127.10.1.1:7081" };
  const Bytes answered = encode(ClusterMessage(reply));
  std::printf("heartbeat_bytes=%zu reply_bytes=%zu\n", sent.size(), answered.size());
  EXPECT_LE(sent.size(), 100U);
  EXPECT_LE(answered.size(), 100U);
  const auto got = std::get<Heartbeat>(decode_message(sent).value());
  EXPECT_EQ(got.host, heartbeat.host);
  EXPECT_EQ(got.incarnation, heartbeat.incarnation);
  EXPECT_EQ(got.sequence, heartbeat.sequence);
  EXPECT_EQ(got.view, heartbeat.view);
  EXPECT_EQ(got.stable_view, heartbeat.stable_view);
  const auto back = std::get<HeartbeatReply>(decode_message(answered).value());
  EXPECT_EQ(back.sequence, reply.sequence);
  EXPECT_EQ(back.lease, reply.lease);
  EXPECT_EQ(back.stable_view, reply.stable_view);
  EXPECT_EQ(back.leader, reply.leader);
}

// Guards against answers that can't be matched with their requests, and a lag that is lost or made
// up on the way.
TEST(ClusterMessage, SubscriptionsAndAnswersKeepAllFields)
{
  using std::chrono::milliseconds;
  const auto pass = [](const ClusterMessage& message) {
    return decode_message(encode(message)).value();
  };
  EXPECT_EQ(std::get<Subscribe>(pass(Subscribe{ .request = 7 })).request, 7U);
  EXPECT_EQ(std::get<Subscribe>(pass(Subscribe{})).request, 0U);
  const auto answer = std::get<Entries>(pass(Entries{ .answers = 8, .lag = milliseconds(9) }));
  EXPECT_EQ(answer.answers, 8U);
  EXPECT_EQ(answer.lag, milliseconds(9));
  EXPECT_EQ(std::get<Entries>(pass(Entries{})).lag, std::nullopt);
  EXPECT_EQ(std::get<SourceQuery>(pass(SourceQuery{ .request = 3 })).request, 3U);
  const auto status = std::get<SourceStatus>(
    pass(SourceStatus{ .answers = 4, .applied_index = 5, .lag = milliseconds(6) }));
  EXPECT_EQ(status.answers, 4U);
  EXPECT_EQ(status.applied_index, 5U);
  EXPECT_EQ(status.lag, milliseconds(6));
}

// Guards against an answer to a request to join whose leader or members are lost on the way.
TEST(ClusterMessage, GroupContactsKeepAllFields)
{
  const GroupContacts contacts{ .leader = "10.0.0.1:7040",
                                .members = { "10.0.0.1:7040", "10.0.0.2:7040" } };
  const auto got =
    std::get<GroupContacts>(decode_message(encode(ClusterMessage(contacts))).value());
  EXPECT_EQ(got.leader, contacts.leader);
  EXPECT_EQ(got.members, contacts.members);
}

// Guards against evidence whose fields are lost or exchanged on the way.
TEST(ClusterMessage, CrashReportsKeepAllFields)
{
  using std::chrono::milliseconds;
  const CrashReports reports{
    { { .request = 0xfedcba9876543210,
        .service = "desk",
        .crashes = { { .server = 1, .sent = milliseconds(300), .crashed = milliseconds(200) },
                     { .server = 2, .sent = milliseconds(90), .crashed = milliseconds(1) } } },
      { .request = 5, .service = "vault", .cleared = milliseconds(70) } }
  };
  const auto got = std::get<CrashReports>(decode_message(encode(ClusterMessage(reports))).value());
  ASSERT_EQ(got.evidence.size(), 2U);
  EXPECT_EQ(got.evidence[0].request, reports.evidence[0].request);
  EXPECT_EQ(got.evidence[0].service, "desk");
  EXPECT_EQ(got.evidence[0].cleared, std::nullopt);
  ASSERT_EQ(got.evidence[0].crashes.size(), 2U);
  EXPECT_EQ(got.evidence[0].crashes[1].server, 2U);
  EXPECT_EQ(got.evidence[0].crashes[1].sent, milliseconds(90));
  EXPECT_EQ(got.evidence[0].crashes[1].crashed, milliseconds(1));
  EXPECT_EQ(got.evidence[1].cleared, milliseconds(70));
}

DomainLoad
make_domain_load(unsigned services)
{
  DomainLoad message;
  for (unsigned i = 0; i < services; ++i) {
    message.loads["khh-a"]["service-" + std::to_string(10 + i)] = {
      .hosts = 1,
      .listed = 12,
      .unusable = 2,
      .usable = 6,
      .busy = 3,
      .demand = 0.375,
      .requests = 1.5,
      .bytes = 40000,
      .attempts = { { "khh-a", { .attempts = 1.25, .failed = 0.5 } } },
      .age = std::chrono::milliseconds(40)
    };
  }
  return message;
}

// Guards against a load report whose fields are lost or exchanged on the way, and against one whose
// size strains an entry host's link: a report of 6 services is sent each second.
TEST(ClusterMessage, DomainLoadsAreCompactAndKeepAllFields)
{
  DomainLoad message = make_domain_load(6);
  message.combined = true;
  const Bytes sent = encode(ClusterMessage(message));
  std::printf("domain_load_bytes=%zu for 6 services\n", sent.size());
  EXPECT_LE(sent.size(), 400U);
  const auto got = std::get<DomainLoad>(decode_message(sent).value());
  EXPECT_TRUE(got.combined);
  EXPECT_EQ(got.loads, message.loads);
}

// Guards against shares that are attributed to another domain, and against a message that strains
// the leader's link: one of 50 services goes to each control host each second.
TEST(ClusterMessage, DomainSharesAreCompactAndKeepAllFields)
{
  DomainShares message{ .term = 7, .age = std::chrono::milliseconds(120) };
  for (unsigned i = 0; i < 50; ++i) {
    message.services.push_back(
      { .service = "service-" + std::to_string(10 + i), .domains = { "a", "b", "c" } });
  }
  for (ServiceShares& shares : message.services) {
    shares.spare = { { "a", { "b", "c" } }, { "b", { "a", "c" } }, { "c", { "a", "b" } } };
  }
  message.services[3].leaving = { { "a", { { "b", 0.25 }, { "c", 0.125 } } },
                                  { "d", { { "b", 1 } } } };
  const Bytes sent = encode(ClusterMessage(message));
  std::printf("domain_shares_bytes=%zu for 50 services\n", sent.size());
  EXPECT_LE(sent.size(), 2000U);
  const auto got = std::get<DomainShares>(decode_message(sent).value());
  EXPECT_EQ(got.term, 7U);
  EXPECT_EQ(got.age, message.age);
  EXPECT_EQ(got.services, message.services);
  // What an entry host is sent: the row of its domain.
  message.services.resize(6);
  for (ServiceShares& shares : message.services) {
    shares.leaving.erase("d");
    std::erase_if(shares.spare, [](const auto& row) { return row.first != "a"; });
  }
  const std::size_t for_entry_host = encode(ClusterMessage(message)).size();
  std::printf("domain_shares_bytes=%zu for 6 services and one domain\n", for_entry_host);
  EXPECT_LE(for_entry_host, 250U);
}

// Guards against a host that stops at a position that names no failure domain.
TEST(ClusterMessage, SharesOfUnnamedDomainsAreRejected)
{
  const std::string hex = "a26174667368617265736176840100808183617380818101";
  Bytes bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  }
  EXPECT_TRUE(decode_message(bytes).has_error());
}

// Guards against a permit whose fields are lost or exchanged on the way.
TEST(ClusterMessage, PermitsKeepAllFields)
{
  const LimitedServer server{
    .id = "i-1", .incarnation = 1796373600000, .limit = 2.25, .age = std::chrono::milliseconds(40)
  };
  const PermitRequest request{ .id = 7,
                               .query = { .service = "desk",
                                          .candidates = { server, server },
                                          .max_wait = std::chrono::milliseconds(75) } };
  const auto got = std::get<PermitRequest>(decode_message(encode(ClusterMessage(request))).value());
  EXPECT_EQ(got.id, request.id);
  EXPECT_EQ(got.query.service, "desk");
  EXPECT_EQ(got.query.max_wait, request.query.max_wait);
  ASSERT_EQ(got.query.candidates.size(), 2U);
  EXPECT_EQ(got.query.candidates[1].id, server.id);
  EXPECT_EQ(got.query.candidates[1].incarnation, server.incarnation);
  EXPECT_EQ(got.query.candidates[1].limit, server.limit);
  EXPECT_EQ(got.query.candidates[1].age, server.age);
  const PermitReply reply{ .id = 7,
                           .answer = { .server = "i-1", .wait = std::chrono::milliseconds(12) } };
  const auto back = std::get<PermitReply>(decode_message(encode(ClusterMessage(reply))).value());
  EXPECT_EQ(back.id, reply.id);
  EXPECT_EQ(back.answer.server, reply.answer.server);
  EXPECT_EQ(back.answer.wait, reply.answer.wait);
}

// Guards against the requests of an account that are counted for another one, or with the limits of
// an old configuration, because fields are lost or exchanged on the way.
TEST(ClusterMessage, AllowancesKeepAllFields)
{
  using std::chrono::milliseconds;
  const std::vector<AccountRequests> accounts{
    { .account = "brook",
      .limit = { .rate = 153.6, .burst = 0.5, .version = 17 },
      .used = 3,
      .repeated = 2,
      .wanted = 4 },
    { .account = "fern", .limit = { .rate = 1e9, .version = 18 }, .used = 1 }
  };
  const AllowanceQuery query{ .id = 9, .accounts = accounts };
  const auto got = std::get<AllowanceQuery>(decode_message(encode(ClusterMessage(query))).value());
  EXPECT_EQ(got.id, 9U);
  EXPECT_EQ(got.accounts, accounts);
  const AllowanceUse use{ accounts };
  EXPECT_EQ(std::get<AllowanceUse>(decode_message(encode(ClusterMessage(use))).value()).accounts,
            accounts);
  const AllowanceAnswer answer{ .granted = 2,
                                .over = true,
                                .wait = milliseconds(7),
                                .retry = milliseconds(30),
                                .restricted = true };
  const AllowanceReply reply{ .id = 9,
                              .hosts = 203,
                              .accounts = {
                                { .account = "brook", .responsible = true, .answer = answer },
                                { .account = "fern" } } };
  const auto back = std::get<AllowanceReply>(decode_message(encode(ClusterMessage(reply))).value());
  EXPECT_EQ(back.id, 9U);
  EXPECT_EQ(back.hosts, 203U);
  ASSERT_EQ(back.accounts.size(), 2U);
  EXPECT_TRUE(back.accounts[0].responsible);
  EXPECT_EQ(back.accounts[0].answer.granted, 2U);
  EXPECT_TRUE(back.accounts[0].answer.over);
  EXPECT_EQ(back.accounts[0].answer.wait, milliseconds(7));
  EXPECT_EQ(back.accounts[0].answer.retry, milliseconds(30));
  EXPECT_TRUE(back.accounts[0].answer.restricted);
  EXPECT_EQ(back.accounts[1].account, "fern");
  EXPECT_FALSE(back.accounts[1].responsible);
  EXPECT_FALSE(back.accounts[1].answer.restricted);
  const RestrictedAccounts restricted{ { "brook", "fern" } };
  EXPECT_EQ(std::get<RestrictedAccounts>(decode_message(encode(ClusterMessage(restricted))).value())
              .accounts,
            restricted.accounts);
}

} // namespace
} // namespace lovagehold
