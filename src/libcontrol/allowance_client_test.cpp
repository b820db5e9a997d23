#include "lovagehold/allowance_board.h"
#include "lovagehold/allowance_client.h"
#include "lovagehold/allowance_relay.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
using Outcome = AllowanceDecision::Outcome;

class AllowanceClientTest : public ::testing::Test
{
protected:
  AllowanceClientTest()
    : m_client(
        [this](const std::string& address, const ClusterMessage& message) {
          m_sent.emplace_back(address, std::get<AllowanceQuery>(message));
        },
        { .report = [this](std::string_view event,
                           const std::vector<LogField>&) { m_events.emplace_back(event); } })
    , m_responsible(limiters_of("a", { "c1", "c2", "c3" }))
  {
    m_client.set_members({ "c1", "c2", "c3" });
    m_client.set_hosts(1000);
  }

  void ask(TimePoint now)
  {
    m_client.request(
      m_account,
      7,
      [this](const AllowanceDecision& decision) { m_decisions.push_back(decision); },
      now);
  }

  AllowanceClient m_client;
  std::vector<std::string> m_responsible;
  std::shared_ptr<const ClientAccount> m_account =
    std::make_shared<const ClientAccount>(ClientAccount{ .name = "a", .rate = 3 });
  std::vector<std::pair<std::string, AllowanceQuery>> m_sent;
  std::vector<AllowanceDecision> m_decisions;
  std::vector<std::string> m_events;
};

// Guards against a request that waits for a control host that is down, and against one that is
// denied as beyond the allowance or admitted freely while none answers.
TEST_F(AllowanceClientTest, SilentControlHostsAreReplacedAndThenDoneWithout)
{
  ask(kStart);
  ASSERT_EQ(m_sent.size(), 1U);
  EXPECT_EQ(m_sent[0].first, m_responsible[0]);
  EXPECT_EQ(m_client.next_tick(), kStart + milliseconds(200));
  m_client.tick(kStart + milliseconds(200));
  ASSERT_EQ(m_sent.size(), 2U);
  EXPECT_EQ(m_sent[1].first, m_responsible[1]);
  EXPECT_TRUE(m_decisions.empty());
  m_client.tick(kStart + milliseconds(400));
  ASSERT_EQ(m_decisions.size(), 1U);
  EXPECT_EQ(m_decisions[0].outcome, Outcome::Unknown);
  EXPECT_GT(m_decisions[0].retry, milliseconds(0));
  EXPECT_EQ(m_events, std::vector<std::string>{ "allowance_local_begins" });
  ask(kStart + milliseconds(500));
  EXPECT_EQ(m_decisions.size(), 2U);
  EXPECT_EQ(m_client.next_tick(), TimePoint::max());
  ask(kStart + milliseconds(1300));
  EXPECT_EQ(m_sent.size(), 3U);
}

// Guards against a backlog that causes a message for each request, and against a grant that admits
// more requests than it names, or a late one that is used for other requests.
TEST_F(AllowanceClientTest, OneQuestionAsksForAllThatWait)
{
  ask(kStart);
  ask(kStart);
  ask(kStart);
  ASSERT_EQ(m_sent.size(), 1U);
  const AllowanceReply::Item one{ .account = "a",
                                  .responsible = true,
                                  .answer = { .granted = 1, .restricted = true } };
  m_client.receive(AllowanceReply{ .id = m_sent[0].second.id, .accounts = { one } },
                   kStart + milliseconds(5));
  EXPECT_EQ(m_decisions.size(), 1U);
  ASSERT_EQ(m_sent.size(), 2U);
  EXPECT_EQ(m_sent[1].second.accounts[0].wanted, 2U);
  EXPECT_EQ(m_sent[1].second.accounts[0].limit.version, 7U);
  m_client.receive(AllowanceReply{ .id = m_sent[0].second.id, .accounts = { one } },
                   kStart + milliseconds(6));
  EXPECT_EQ(m_decisions.size(), 1U);
  AllowanceReply::Item denied = one;
  denied.answer.over = true;
  denied.answer.wait = milliseconds(300);
  m_client.receive(AllowanceReply{ .id = m_sent[1].second.id, .accounts = { denied } },
                   kStart + milliseconds(10));
  ASSERT_EQ(m_decisions.size(), 3U);
  EXPECT_EQ(m_decisions[1].outcome, Outcome::Admitted);
  EXPECT_EQ(m_decisions[2].outcome, Outcome::Denied);
  EXPECT_EQ(m_decisions[2].retry, milliseconds(300));
}

// Guards against messages and work of a control host whose configuration has no limited account.
TEST(AllowanceBoard, IsSilentWithoutLimitedAccounts)
{
  int calls = 0;
  AllowanceBoard board(
    { .address = "c1" },
    { .send = [&](const std::string&, const ClusterMessage&) { ++calls; },
      .view =
        [&] {
          ++calls;
          return AllowanceView{};
        },
      .report = [&](std::string_view, const std::vector<LogField>&) { ++calls; } });
  for (int i = 0; i < 100; ++i) {
    board.add_subscriber("e1", false, kStart + i * milliseconds(50));
    board.tick(kStart + i * milliseconds(50));
  }
  EXPECT_EQ(calls, 0);
}

// Guards against entry hosts that are not told that an account is restricted, or no longer is, and
// against a control host without contact that grants requests.
TEST(AllowanceBoard, TellsSubscribersOfRestrictions)
{
  std::vector<std::pair<std::string, ClusterMessage>> sent;
  std::vector<std::string> events;
  bool in_contact = true;
  AllowanceBoard board(
    { .address = "c1" },
    { .send = [&](const std::string& to,
                  const ClusterMessage& message) { sent.emplace_back(to, message); },
      .view = [&] { return AllowanceView{ .members = { "c1" }, .in_contact = in_contact }; },
      .report = [&](std::string_view event,
                    const std::vector<LogField>&) { events.emplace_back(event); } });
  board.add_subscriber("e1", false, kStart);
  const AccountRequests requests{ .account = "a", .limit = { .rate = 100, .version = 1 } };
  AccountRequests used = requests;
  used.used = 50;
  board.receive("e2", AllowanceQuery{ .id = 1, .accounts = { used } }, kStart);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_TRUE(std::get<AllowanceReply>(sent[0].second).accounts[0].answer.restricted);
  board.tick(kStart + milliseconds(50));
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[1].first, "e1");
  EXPECT_EQ(std::get<RestrictedAccounts>(sent[1].second).accounts, std::vector<std::string>{ "a" });
  board.add_subscriber("e3", false, kStart + milliseconds(60));
  ASSERT_EQ(sent.size(), 3U);
  EXPECT_EQ(sent[2].first, "e3");
  for (milliseconds time(100); time < milliseconds(5000); time += milliseconds(50)) {
    board.tick(kStart + time);
  }
  EXPECT_TRUE(std::get<RestrictedAccounts>(sent.back().second).accounts.empty());
  EXPECT_EQ(events, (std::vector<std::string>{ "account_restricted", "account_unrestricted" }));
  in_contact = false;
  sent.clear();
  AccountRequests wanted = requests;
  wanted.wanted = 1;
  board.receive(
    "e2", AllowanceQuery{ .id = 2, .accounts = { wanted } }, kStart + milliseconds(5050));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_FALSE(std::get<AllowanceReply>(sent[0].second).accounts[0].responsible);
}

// Guards against requests within the allowance that are refused at a host that control can't be
// reached from while other entry hosts can reach it, and against callers that wait for timeouts.
TEST(AllowanceClientWithPeers, AsksThroughAnotherEntryHostWithoutContact)
{
  std::vector<std::pair<std::string, AllowanceQuery>> sent;
  std::vector<Outcome> outcomes;
  std::vector<std::string> peers{ "e2", "e1" };
  AllowanceClient client(
    [&](const std::string& address, const ClusterMessage& message) {
      sent.emplace_back(address, std::get<AllowanceQuery>(message));
    },
    { .peer = [&] {
      std::string peer = peers.back();
      peers.pop_back();
      return peer;
    } });
  client.set_members({ "c1", "c2", "c3" });
  const auto account =
    std::make_shared<const ClientAccount>(ClientAccount{ .name = "a", .rate = 3 });
  const auto ask = [&](TimePoint now) {
    client.request(
      account,
      7,
      [&](const AllowanceDecision& decision) { outcomes.push_back(decision.outcome); },
      now);
  };
  client.contact(kStart);
  const TimePoint lost = kStart + std::chrono::seconds(1);
  ask(lost);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, "e1");
  client.receive(
    AllowanceReply{
      .id = sent[0].second.id,
      .accounts = { { .account = "a", .responsible = true, .answer = { .granted = 1 } } } },
    lost + milliseconds(3));
  EXPECT_EQ(outcomes, std::vector<Outcome>{ Outcome::Admitted });
  // The next one goes the same way; without an answer the host decides by itself and chooses
  // another entry host next time.
  const TimePoint later = lost + std::chrono::seconds(1);
  ask(later);
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[1].first, "e1");
  client.tick(later + milliseconds(200));
  EXPECT_EQ(outcomes.size(), 2U);
  ask(later + milliseconds(300));
  ASSERT_EQ(sent.size(), 3U);
  EXPECT_EQ(sent[2].first, "e2");
  EXPECT_EQ(client.counters().relayed, 3U);
}

// Guards against answers that reach the wrong host, questions that go round between entry hosts,
// and questions without a bound.
TEST(AllowanceRelay, PassesQuestionsToControlAndAnswersBack)
{
  std::vector<std::pair<std::string, ClusterMessage>> sent;
  AllowanceRelay relay([&](const std::string& address,
                           const ClusterMessage& message) { sent.emplace_back(address, message); },
                       { .max_pending = 2 });
  const AllowanceQuery query{ .id = 9, .accounts = { { .account = "a", .wanted = 1 } } };
  relay.forward("e1", query, kStart);
  EXPECT_TRUE(sent.empty()) << "without members there is nobody to ask";
  const std::vector<std::string> members{ "c1", "c2", "c3" };
  relay.set_members(members);
  relay.forward("e1", query, kStart);
  relay.forward("e2", query, kStart);
  relay.forward("e3", query, kStart);
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].first, limiters_of("a", members)[0]);
  const auto second = std::get<AllowanceQuery>(sent[1].second);
  EXPECT_TRUE(relay.receive(AllowanceReply{ .id = second.id, .hosts = 5 }));
  ASSERT_EQ(sent.size(), 3U);
  EXPECT_EQ(sent[2].first, "e2");
  EXPECT_EQ(std::get<AllowanceReply>(sent[2].second).id, 9U);
  EXPECT_TRUE(relay.receive(AllowanceReply{ .id = second.id })) << "a repeat is dropped";
  EXPECT_EQ(sent.size(), 3U);
  EXPECT_FALSE(relay.receive(AllowanceReply{ .id = 9 })) << "not a question of another host";
  // The control host that did not answer is passed over.
  relay.forward("e1", query, kStart + milliseconds(200));
  ASSERT_EQ(sent.size(), 4U);
  EXPECT_EQ(sent[3].first, limiters_of("a", members)[1]);
  AllowanceQuery both = query;
  both.accounts.push_back({ .account = "b" });
  relay.forward("e1", both, kStart + milliseconds(200));
  EXPECT_EQ(sent.size(), 4U);
}

} // namespace
} // namespace lovagehold
