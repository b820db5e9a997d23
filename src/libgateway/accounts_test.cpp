#include "caller_identity.h"
#include "gateway_fixture.h"

namespace lovagehold {
namespace {

constexpr char kKey[] = "key-of-north-7f3a";
constexpr char kOtherKey[] = "key-of-south-91cc";
constexpr char kUnknownKey[] = "key-of-nobody-55d0";

std::string
key_field(const std::string& key)
{
  return "Account-Key: " + key + "\r\n";
}

class AccountsTest : public GatewayTest
{
protected:
  void configure_accounts()
  {
    m_accounts = { { .name = "north", .keys = { digest_of(kKey) } },
                   { .name = "south", .keys = { digest_of(kOtherKey) } } };
    configure();
  }

  static std::string request_with(const std::string& fields,
                                  const std::string& path = "/safe/x",
                                  const std::string& body = "")
  {
    std::string bytes = request(body.empty() ? "GET" : "POST", path, body);
    return bytes.insert(bytes.find("\r\n") + 2, fields);
  }

  static int status_with(const std::string& fields, const std::string& path = "/safe/x")
  {
    return status_of(send(request_with(fields, path)));
  }

  // \return the latest event of a request; empty if there is none
  std::map<std::string, std::string> last_event(const std::string& name)
  {
    std::map<std::string, std::string> fields;
    on_gateway([&] {
      for (const Event& event : m_log.recent()) {
        if (event.name == name) {
          fields = { event.fields.begin(), event.fields.end() };
        }
      }
    });
    return fields;
  }

  std::string metrics()
  {
    std::string text;
    on_gateway([&] { text = m_gateway.render_metrics(); });
    return text;
  }
};

// Guards against a request that runs without a valid key, or whose server learns the key or an
// account that the caller made up.
TEST_F(AccountsTest, OnlyTheKeyDecidesTheAccount)
{
  ScriptedServer& server = add_server(kServe);
  configure_accounts();
  EXPECT_EQ(status_with(""), 401);
  EXPECT_EQ(status_with("Account-Name: north\r\n"), 401);
  EXPECT_EQ(status_with(key_field(kUnknownKey)), 401);
  EXPECT_EQ(status_with(key_field("")), 401);
  EXPECT_EQ(status_with(key_field(std::string(kKey) + ", " + kKey)), 401);
  EXPECT_EQ(status_with(key_field(kKey) + key_field(kKey)), 401);
  EXPECT_EQ(status_with(key_field(kKey) + "account-KEY: " + kUnknownKey + "\r\n"), 401);
  EXPECT_EQ(arrivals(), 0U);
  EXPECT_EQ(status_with(key_field(kKey) + "Account-Name: south\r\naccount-name: west\r\n"), 200);
  EXPECT_EQ(status_with("Connection: account-key, account-name\r\n" + key_field(kOtherKey)), 200);
  ASSERT_EQ(arrivals(), 2U);
  EXPECT_EQ(server.requests()[0].header("Account-Name"), "north");
  EXPECT_EQ(server.requests()[1].header("Account-Name"), "south");
  for (const ReceivedRequest& received : server.requests()) {
    EXPECT_EQ(received.head.find("Account-Name"), received.head.rfind("Account-Name"));
    EXPECT_EQ(received.head.find("key-of-"), std::string::npos) << received.head;
    EXPECT_EQ(received.head.find("west"), std::string::npos) << received.head;
  }
}

// Guards against an open route that refuses callers without a key, or runs requests whose key no
// configuration has.
TEST_F(AccountsTest, OpenRouteServesCallersWithoutAKey)
{
  ScriptedServer& server = add_server(kServe);
  m_open_routes = true;
  configure_accounts();
  EXPECT_EQ(status_with("Account-Name: north\r\n"), 200);
  EXPECT_EQ(status_with(key_field(kKey)), 200);
  EXPECT_EQ(status_with(key_field(kUnknownKey)), 401);
  EXPECT_EQ(status_with(key_field("")), 401);
  ASSERT_EQ(arrivals(), 2U);
  EXPECT_EQ(server.requests()[0].head.find("Account-Name"), std::string::npos);
  EXPECT_EQ(server.requests()[1].header("Account-Name"), "north");
}

// Guards against headers that reach a server because the configuration has no accounts.
TEST_F(AccountsTest, HeadersAreRemovedWithoutAccounts)
{
  ScriptedServer& server = add_server(kServe);
  configure();
  EXPECT_EQ(status_with(key_field(kKey) + "Account-Name: north\r\n"), 200);
  ASSERT_EQ(arrivals(), 1U);
  EXPECT_EQ(server.requests()[0].head.find("Account-"), std::string::npos);
  EXPECT_EQ(metrics().find("lovagehold_account"), std::string::npos);
  EXPECT_EQ(last_event("request").count("account"), 0U);
}

// Guards against a field behind a chunked body that counts as the key, or that brings the key or an
// account to the server.
TEST_F(AccountsTest, FieldsBehindTheBodyAreNoKey)
{
  ScriptedServer& server = add_server(kServe);
  configure_accounts();
  const auto send_chunked = [](const std::string& fields) {
    return send("POST /once/x HTTP/1.1\r\nHost: a.example\r\nLovagehold-Request-Id: id-1\r\n" +
                fields +
                "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n" +
                key_field(kKey) + "Account-Name: west\r\n\r\n");
  };
  EXPECT_EQ(status_of(send_chunked("")), 401);
  EXPECT_EQ(status_of(send_chunked(key_field(kOtherKey))), 200);
  ASSERT_EQ(arrivals(), 1U);
  EXPECT_EQ(server.requests()[0].header("Account-Name"), "south");
  EXPECT_EQ(server.requests()[0].head.find("key-of-"), std::string::npos);
  EXPECT_EQ(server.requests()[0].head.find("west"), std::string::npos);
}

// Guards against a 401 for a path that nothing serves, or from a host that knows no accounts yet.
TEST_F(AccountsTest, MissingRouteAndMissingConfigurationComeFirst)
{
  add_server(kServe);
  const std::string before = send(request_with(key_field(kUnknownKey)));
  EXPECT_EQ(status_of(before), 503);
  EXPECT_NE(before.find("Retry-After: "), std::string::npos);
  configure_accounts();
  EXPECT_EQ(status_with(key_field(kUnknownKey), "/none/x"), 404);
  EXPECT_EQ(status_with("", "/none/x"), 404);
  EXPECT_EQ(status_with(key_field(kUnknownKey)), 401);
}

// Guards against keys that are valid after a configuration without them is in force.
TEST_F(AccountsTest, KeysComeAndGoWithTheConfiguration)
{
  ScriptedServer& server = add_server(kServe);
  configure_accounts();
  EXPECT_EQ(status_with(key_field(kKey)), 200);
  const RoutingChange change{ .base_version = m_version,
                              .version = m_version + 1,
                              .accounts = { { .name = "south", .keys = { digest_of(kKey) } } },
                              .removed_accounts = { "north" } };
  on_gateway([&] { EXPECT_TRUE(m_gateway.change_routing(change)); });
  EXPECT_EQ(status_with(key_field(kKey)), 200);
  EXPECT_EQ(status_with(key_field(kOtherKey)), 401);
  ASSERT_EQ(arrivals(), 2U);
  EXPECT_EQ(server.requests()[0].header("Account-Name"), "north");
  EXPECT_EQ(server.requests()[1].header("Account-Name"), "south");
}

// Guards against a key that is shown to callers or operators, whatever the end of its request.
TEST_F(AccountsTest, NoKeyIsShown)
{
  ScriptedServer& server = add_server([](const ReceivedRequest& received) {
    return received.head.find("/once/lost") != std::string::npos ? kLoseResponse(received)
                                                                 : kServe(received);
  });
  configure_accounts();
  const std::string odd_length = "Content-Length: x\r\n";
  std::string shown;
  for (const char* key : { kKey, kUnknownKey }) {
    for (const char* path : { "/safe/x", "/once/lost", "/none/x" }) {
      shown += send(request_with(key_field(key), path));
      shown += send(request_with(key_field(key) + key_field(key), path));
      shown += send(request_with(key_field(key) + odd_length, path));
      shown += send(request_with(key_field(key) + "no colon\r\n", path));
    }
  }
  server.report_full_load(1000);
  shown += send(request_with(key_field(kKey)));
  shown += metrics();
  on_gateway([&] {
    for (const Event& event : m_log.recent()) {
      for (const auto& [name, value] : event.fields) {
        shown.append(event.name).append(" ").append(name).append("=").append(value).append("\n");
      }
    }
  });
  EXPECT_NE(shown.find("request_failed account=north"), std::string::npos);
  EXPECT_NE(shown.find("request_refused status=401"), std::string::npos);
  EXPECT_EQ(shown.find("key-of-"), std::string::npos) << shown;
  for (const ReceivedRequest& received : server.requests()) {
    EXPECT_EQ(received.head.find("key-of-"), std::string::npos);
  }
}

// Guards against refusals that can't be told apart by account, kind and reason.
TEST_F(AccountsTest, RefusalsAreCountedByAccountKindAndReason)
{
  add_server(kServe).report_full_load(1000);
  configure_accounts();
  EXPECT_EQ(status_with(""), 401);
  EXPECT_EQ(status_with(key_field(kUnknownKey), "/once/x"), 401);
  EXPECT_EQ(status_with(key_field(kKey), "/once/x"), 503);
  const std::string text = metrics();
  for (
    const char* line :
    { R"(refused_total{account="",scope="none",kind="idempotent",reason="missing_key"} 1)",
      R"(refused_total{account="",scope="none",kind="non_idempotent",reason="unknown_key"} 1)",
      R"(refused_total{account="north",scope="own",kind="non_idempotent",reason="servers_full"} 1)",
      R"(requests_total{account="north",scope="own",kind="non_idempotent"} 1)" }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
  }
}

// Guards against requests of two accounts that count as one when they crash servers, and against
// one that escapes its quarantine with another key of its account.
TEST_F(AccountsTest, FingerprintDependsOnTheAccountInsteadOfTheCredentials)
{
  add_server(kServe);
  m_accounts = { { .name = "north", .keys = { digest_of(kKey), digest_of("second") } },
                 { .name = "south", .keys = { digest_of(kOtherKey) } } };
  configure();
  const auto fingerprint_with = [this](const std::string& fields) {
    EXPECT_EQ(status_with(fields), 200);
    return last_event("request")["request"];
  };
  const std::string north = fingerprint_with(key_field(kKey) + "Authorization: one\r\n");
  EXPECT_EQ(fingerprint_with(key_field("second") + "Authorization: two\r\n"), north);
  EXPECT_NE(fingerprint_with(key_field(kOtherKey) + "Authorization: one\r\n"), north);
}

// Guards against a gateway without account headers that changes or refuses requests.
TEST(CallerIdentity, WithoutHeaderNamesNothingIsRead)
{
  http::request_header<> header;
  header.set("Account-Key", kKey);
  const GatewayHeaders names;
  const CallerIdentity identity(header, names);
  EXPECT_EQ(header["Account-Key"], kKey);
  const AccountTable none;
  const IdentityDecision decision = identity.decide(none, Route{});
  EXPECT_FALSE(decision.refusal.has_value());
  EXPECT_EQ(decision.account, nullptr);
}

} // namespace
} // namespace lovagehold
