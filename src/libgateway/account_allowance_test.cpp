#include "gateway_fixture.h"
#include "lovagehold/account_table.h"

namespace lovagehold {
namespace {

class AccountAllowanceTest : public GatewayTest
{
protected:
  void configure_accounts(double rate)
  {
    m_accounts = { { .name = "north", .keys = { digest_of("k") }, .rate = rate } };
    configure();
  }

  static std::string send_with_key()
  {
    std::string bytes = request("GET", "/safe/x");
    return send(bytes.insert(bytes.find("\r\n") + 2, "Account-Key: k\r\n"));
  }
};

// Guards against a request beyond the allowance that runs, a refusal without the time to return,
// and a 429 of a host that can't tell whether the account is over its allowance.
TEST_F(AccountAllowanceTest, AnswerDecidesTheRequest)
{
  add_server(kServe);
  configure_accounts(5);
  EXPECT_EQ(status_of(send_with_key()), 200);
  m_allowance = { .outcome = AllowanceDecision::Outcome::Denied,
                  .retry = std::chrono::milliseconds(230) };
  const std::string denied = send_with_key();
  EXPECT_EQ(status_of(denied), 429);
  EXPECT_NE(denied.find("Retry-After: 0.230\r\n"), std::string::npos);
  m_allowance.outcome = AllowanceDecision::Outcome::Unknown;
  const std::string unknown = send_with_key();
  EXPECT_EQ(status_of(unknown), 503);
  EXPECT_NE(unknown.find("Retry-After: 0.230\r\n"), std::string::npos);
  EXPECT_EQ(arrivals(), 1U);
  EXPECT_EQ(m_allowance_queries, 3U);
}

// Guards against attempts of a request that count as requests of the account.
TEST_F(AccountAllowanceTest, RetriesAreNotCounted)
{
  add_server(kRefuse);
  add_server(kServe);
  configure_accounts(5);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(status_of(send_with_key()), 200);
  }
  EXPECT_EQ(m_allowance_queries, 4U);
}

// Guards against questions about requests that are refused anyway, and about accounts without a
// rate.
TEST_F(AccountAllowanceTest, OthersAreNotAskedFor)
{
  add_server(kServe);
  configure_accounts(5);
  EXPECT_EQ(status_of(send(request("GET", "/safe/x"))), 401);
  EXPECT_EQ(status_of(send(request("GET", "/other/x"))), 404);
  configure_accounts(0);
  EXPECT_EQ(status_of(send_with_key()), 200);
  EXPECT_EQ(m_allowance_queries, 0U);
}

} // namespace
} // namespace lovagehold
