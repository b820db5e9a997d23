#include "lovagehold/server_registrar.h"

#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr milliseconds kLease{ 1000 };

ServerHeartbeat
make_heartbeat(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence)
{
  return {
    .server = { .service = "s", .id = id, .address = "127.0.0.1:80", .incarnation = incarnation },
    .sequence = sequence
  };
}

std::vector<ServerInfo>
make_known(unsigned count)
{
  std::vector<ServerInfo> known(count);
  for (unsigned i = 0; i < count; ++i) {
    known[i] = make_heartbeat("i-" + std::to_string(i), 100, 1).server;
  }
  return known;
}

// Guards against a delayed heartbeat of a crashed server that takes over its successor's address.
TEST(ServerRegistrar, OlderServerDoesNotTakeTheAddressBack)
{
  ServerRegistrar registrar({ .lease = kLease });
  const ServerHeartbeat old_server = make_heartbeat("i-1", 100, 9);
  const ServerHeartbeat successor = make_heartbeat("i-2", 200, 1);
  EXPECT_EQ(registrar.heartbeat(successor, { old_server.server }, kStart), HeartbeatEffect::Join);
  EXPECT_EQ(ServerRegistrar::replaced_by(successor, { old_server.server }).size(), 1U);
  EXPECT_EQ(registrar.heartbeat(old_server, { successor.server }, kStart), HeartbeatEffect::None);
  EXPECT_TRUE(ServerRegistrar::replaced_by(old_server, { successor.server }).empty());
}

// Guards against two servers with one id, of which the older one never expires: a server that
// starts again under its id for another service replaces the earlier one.
TEST(ServerRegistrar, StartForAnotherServiceReplacesTheServerWithItsId)
{
  const ServerHeartbeat earlier = make_heartbeat("i-1", 100, 9);
  ServerHeartbeat later = make_heartbeat("i-1", 200, 1);
  later.server.service = "another";
  later.server.address = "127.0.0.1:99";
  EXPECT_EQ(ServerRegistrar::replaced_by(later, { earlier.server }).size(), 1U);
  EXPECT_TRUE(ServerRegistrar::replaced_by(earlier, { later.server }).empty());
}

// Guards against effects of a late heartbeat of a previous incarnation and of one that arrives out
// of order.
TEST(ServerRegistrar, LateHeartbeatsChangeNothing)
{
  ServerRegistrar registrar({ .lease = kLease });
  const ServerHeartbeat present = make_heartbeat("i-1", 200, 5);
  EXPECT_EQ(registrar.heartbeat(present, {}, kStart), HeartbeatEffect::Join);
  const std::vector<ServerInfo> known{ present.server };
  EXPECT_EQ(registrar.heartbeat(make_heartbeat("i-1", 200, 4), known, kStart),
            HeartbeatEffect::None);
  ServerHeartbeat draining = make_heartbeat("i-1", 100, 99);
  draining.draining = true;
  EXPECT_EQ(registrar.heartbeat(draining, known, kStart), HeartbeatEffect::None);
}

// Guards against ignoring a draining server because it repeats the same heartbeat.
TEST(ServerRegistrar, RepeatedDrainHeartbeatStillRemovesServer)
{
  ServerRegistrar registrar({ .lease = kLease });
  ServerHeartbeat heartbeat = make_heartbeat("i-1", 100, 1);
  registrar.heartbeat(heartbeat, {}, kStart);
  heartbeat.draining = true;
  heartbeat.sequence = 2;
  const std::vector<ServerInfo> known{ heartbeat.server };
  EXPECT_EQ(registrar.heartbeat(heartbeat, known, kStart), HeartbeatEffect::Leave);
  EXPECT_EQ(registrar.heartbeat(heartbeat, known, kStart), HeartbeatEffect::Leave);
}

// Guards against removing most servers of a service when their heartbeats were lost in the network:
// after a partition, a new leader that had received none of them removed 17 of 29 servers.
TEST(ServerRegistrar, ManySilentServersAtOnceAreKeptLonger)
{
  ServerRegistrar registrar({ .lease = kLease });
  const std::vector<ServerInfo> known = make_known(9);
  EXPECT_TRUE(registrar.expired(known, kStart).empty());
  EXPECT_TRUE(registrar.expired(known, kStart + kLease).empty());
  EXPECT_EQ(registrar.expired(known, kStart + 3 * kLease).size(), known.size());
}

// Guards against a crashed server that is never removed, and against a new leader that removes
// servers because it hasn't received their heartbeats yet.
TEST(ServerRegistrar, SilentServerIsRemovedAfterItsLease)
{
  ServerRegistrar registrar({ .lease = kLease });
  const std::vector<ServerInfo> known = make_known(9);
  registrar.expired(known, kStart);
  const TimePoint later = kStart + kLease;
  for (std::size_t i = 1; i < known.size(); ++i) {
    registrar.renew(known[i].id, known[i].incarnation, later);
  }
  const auto expired_servers = registrar.expired(known, later);
  ASSERT_EQ(expired_servers.size(), 1U);
  EXPECT_EQ(expired_servers[0].id, "i-0");
  registrar.discard_leases();
  EXPECT_TRUE(registrar.expired(known, later).empty());
}

class WarmupTest : public ::testing::Test
{
protected:
  // A heartbeat of the incarnation that joined at kStart; applies the command that it leads to.
  HeartbeatEffect beat(milliseconds at, milliseconds left, ServerRegistrar& registrar)
  {
    ServerHeartbeat heartbeat = make_heartbeat("i-1", 100, ++m_sequence);
    heartbeat.server.warmup = left;
    const HeartbeatEffect effect = registrar.heartbeat(heartbeat, m_known, kStart + at);
    if (effect == HeartbeatEffect::Join) {
      m_known = { heartbeat.server };
    } else if (effect == HeartbeatEffect::Warm) {
      m_known = { ServerRegistrar::renewed_entry(heartbeat, m_known) };
    }
    registrar.expired(m_known, kStart + at);
    return effect;
  }

  static ServerRegistrarOptions options()
  {
    return { .lease = kLease,
             .limits_cold_servers = [](const ServiceName& service) { return service == "s"; } };
  }

  std::vector<ServerInfo> m_known;
  std::uint64_t m_sequence = 0;
  ServerRegistrar m_registrar{ options() };
};

// Guards against one command per heartbeat while a server is cold, and against a server that turns
// cold again without a command.
TEST_F(WarmupTest, EachWarmupIsOneCommand)
{
  EXPECT_EQ(beat(milliseconds(0), milliseconds(3000), m_registrar), HeartbeatEffect::Join);
  EXPECT_EQ(beat(milliseconds(1000), milliseconds(2000), m_registrar), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(2300), milliseconds(1000), m_registrar), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(3300), milliseconds(0), m_registrar), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(5000), milliseconds(2900), m_registrar), HeartbeatEffect::Warm);
  EXPECT_EQ(m_known.front().warmup_renewals, 1U);
  EXPECT_EQ(beat(milliseconds(6000), milliseconds(1900), m_registrar), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(9000), milliseconds(2900), m_registrar), HeartbeatEffect::Warm);
  EXPECT_EQ(m_known.front().warmup_renewals, 2U);
}

// Guards against a second command for a warm-up that another control host has proposed.
TEST_F(WarmupTest, WarmupKnownFromTheEntryIsNotProposedAgain)
{
  ServerRegistrar other(options());
  EXPECT_EQ(beat(milliseconds(0), milliseconds(3000), m_registrar), HeartbeatEffect::Join);
  other.expired(m_known, kStart);
  EXPECT_EQ(beat(milliseconds(1000), milliseconds(2000), other), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(8000), milliseconds(2900), m_registrar), HeartbeatEffect::Warm);
  EXPECT_EQ(beat(milliseconds(9000), milliseconds(1900), other), HeartbeatEffect::None);
}

// Guards against a warm-up that stays unknown because its command failed.
TEST_F(WarmupTest, FailedCommandIsProposedAgain)
{
  beat(milliseconds(0), milliseconds(0), m_registrar);
  const std::vector<ServerInfo> before = m_known;
  EXPECT_EQ(beat(milliseconds(5000), milliseconds(3000), m_registrar), HeartbeatEffect::Warm);
  m_known = before;
  m_registrar.forget_warmup("i-1");
  EXPECT_EQ(beat(milliseconds(6000), milliseconds(2000), m_registrar), HeartbeatEffect::Warm);
}

// Guards against commands for services that don't limit the requests to cold servers, and for
// heartbeats that arrive out of order.
TEST_F(WarmupTest, OnlyCurrentHeartbeatsOfLimitedServicesCount)
{
  ServerRegistrar without({ .lease = kLease });
  beat(milliseconds(0), milliseconds(0), without);
  EXPECT_EQ(beat(milliseconds(5000), milliseconds(3000), without), HeartbeatEffect::None);
  EXPECT_EQ(beat(milliseconds(5000), milliseconds(0), m_registrar), HeartbeatEffect::None);
  m_sequence = 0;
  EXPECT_EQ(beat(milliseconds(6000), milliseconds(3000), m_registrar), HeartbeatEffect::None);
}

} // namespace
} // namespace lovagehold
