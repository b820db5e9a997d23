#include "lovagehold/crash_suspects.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace lovagehold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(48) };
constexpr RequestFingerprint kDeadly = 7;
constexpr milliseconds kRun{ 100 };

// One crash each 200 ms, by a run that was sent 100 ms before.
TimePoint
crash_in_turn(CrashSuspects& suspects, RequestFingerprint request, unsigned count, TimePoint now)
{
  for (unsigned i = 0; i < count; ++i) {
    now += milliseconds(200);
    const auto server = static_cast<std::uint64_t>(now.time_since_epoch().count());
    suspects.add_crash(request, "desk", server, now - kRun, now);
  }
  return now;
}

// Guards against a request that goes on to crash server after server.
TEST(CrashSuspects, RequestIsQuarantinedAfterThreeServersInTurn)
{
  CrashSuspects suspects;
  TimePoint now = crash_in_turn(suspects, kDeadly, 1, kStart);
  EXPECT_FALSE(suspects.is_suspected(kDeadly, now));
  now = crash_in_turn(suspects, kDeadly, 1, now);
  EXPECT_TRUE(suspects.is_suspected(kDeadly, now));
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), std::nullopt);
  now = crash_in_turn(suspects, kDeadly, 1, now);
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), now + seconds(60));
  EXPECT_EQ(suspects.quarantined_count(now), 1U);
  EXPECT_EQ(suspects.quarantined_until(kDeadly + 1, now), std::nullopt);
}

// Guards against a popular request that is quarantined because it ran at all servers of a service
// when they failed together.
TEST(CrashSuspects, CrashesAtTheSameTimeCountOnce)
{
  CrashSuspects suspects;
  for (unsigned i = 0; i < 10; ++i) {
    const TimePoint crashed = kStart + milliseconds(i);
    suspects.add_crash(kDeadly, "desk", i, kStart - milliseconds(20 * i), crashed);
  }
  EXPECT_EQ(suspects.crashes(kDeadly, kStart + milliseconds(20)), 1U);
}

// Guards against two reports of one crash that count twice.
TEST(CrashSuspects, ServerCountsOnce)
{
  CrashSuspects suspects;
  for (unsigned i = 0; i < 5; ++i) {
    const TimePoint now = kStart + milliseconds(200 * i);
    suspects.add_crash(kDeadly, "desk", server_key("i-1", 1), now - kRun, now);
  }
  EXPECT_EQ(suspects.crashes(kDeadly, kStart + seconds(1)), 1U);
  EXPECT_NE(server_key("i-1", 1), server_key("i-1", 2));
}

// Guards against an ordinary request that stays suspected although a server has run it since.
TEST(CrashSuspects, SuccessClearsARequest)
{
  CrashSuspects suspects;
  EXPECT_FALSE(suspects.clear(kDeadly, kStart));
  TimePoint now = crash_in_turn(suspects, kDeadly, 3, kStart);
  EXPECT_TRUE(suspects.clear(kDeadly, now + milliseconds(1)));
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now + milliseconds(1)), std::nullopt);
  now = crash_in_turn(suspects, kDeadly, 2, now + seconds(1));
  EXPECT_EQ(suspects.crashes(kDeadly, now), 2U);
}

// Guards against a verdict that never ends, and against a request that crashes three more servers
// each time its quarantine ends.
TEST(CrashSuspects, QuarantineEndsAndDoublesWithTheNextCrash)
{
  CrashSuspects suspects;
  TimePoint now = crash_in_turn(suspects, kDeadly, 3, kStart);
  now += seconds(60);
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), std::nullopt);
  suspects.expire(now);
  now = crash_in_turn(suspects, kDeadly, 1, now);
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), now + seconds(120));
  for (int i = 0; i < 6; ++i) {
    now = crash_in_turn(suspects, kDeadly, 1, *suspects.quarantined_until(kDeadly, now));
  }
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), now + seconds(600));
  now += seconds(660);
  suspects.expire(now);
  EXPECT_EQ(suspects.crashes(kDeadly, now), 0U);
}

// Guards against all requests of a service that are quarantined because its servers crash for a
// reason of their own.
TEST(CrashSuspects, ManySuspectsOfAServiceAreNotQuarantined)
{
  CrashSuspects suspects({ .max_suspects = 16 });
  TimePoint now = kStart;
  for (RequestFingerprint request = 0; request < 16; ++request) {
    now = std::max(now, crash_in_turn(suspects, request, 3, kStart));
  }
  EXPECT_EQ(suspects.quarantined_count(now), 16U);
  crash_in_turn(suspects, 16, 3, kStart);
  EXPECT_EQ(suspects.quarantined_count(now), 0U);
}

// Guards against memory that grows with the crashed requests, and against an outage that displaces
// the evidence on a request that crashes servers in turn.
TEST(CrashSuspects, EvidenceIsBounded)
{
  CrashSuspects suspects({ .max_requests = 50 });
  TimePoint now = crash_in_turn(suspects, kDeadly, 2, kStart);
  for (RequestFingerprint request = 100; request < 1000; ++request) {
    suspects.add_crash(request, "desk", 1, now, now + kRun);
  }
  now = crash_in_turn(suspects, kDeadly, 40, now);
  EXPECT_TRUE(suspects.quarantined_until(kDeadly, now));
  EXPECT_LE(suspects.evidence(kDeadly, now).crashes.size(), 16U);
  EXPECT_EQ(suspects.shared_evidence(now).size(), 1U);
}

// Guards against a request that is never quarantined because it was at many servers at once when
// the first ones crashed: their runs fill the evidence, and later crashes were ignored.
TEST(CrashSuspects, CrashesAfterManyOverlappingOnesCount)
{
  CrashSuspects suspects;
  for (unsigned i = 0; i < 40; ++i) {
    suspects.add_crash(kDeadly, "desk", i, kStart - kRun, kStart + milliseconds(i));
  }
  TimePoint now = crash_in_turn(suspects, kDeadly, 2, kStart + milliseconds(300));
  EXPECT_EQ(suspects.crashes(kDeadly, now), 3U);
  EXPECT_TRUE(suspects.quarantined_until(kDeadly, now));
}

// Guards against a quarantine that ends for good because the evidence is full: each later crash has
// to prolong it.
TEST(CrashSuspects, CrashesBeyondTheLimitProlongTheQuarantine)
{
  CrashSuspects suspects;
  const TimePoint now = crash_in_turn(suspects, kDeadly, 40, kStart);
  EXPECT_EQ(suspects.quarantined_until(kDeadly, now), now + seconds(600));
}

// Guards against hosts whose evidence is full and that replace each other's runs for ever, each
// replacement being a change to pass on.
RC_GTEST_PROP(CrashSuspects, FullEvidenceSettles, ())
{
  constexpr unsigned kHosts = 3;
  const CrashSuspectsOptions options{ .max_crashes = 4 };
  std::vector<CrashSuspects> hosts(kHosts, CrashSuspects(options));
  const TimePoint now = kStart + seconds(30);
  const auto crashes = *rc::gen::inRange<unsigned>(1, 40);
  for (unsigned i = 0; i < crashes; ++i) {
    const TimePoint crashed = kStart + milliseconds(*rc::gen::inRange(0, 3000));
    const milliseconds run(*rc::gen::inRange(1, 400));
    hosts[*rc::gen::inRange(0U, kHosts)].add_crash(kDeadly, "desk", i, crashed - run, crashed);
  }
  bool changed = true;
  for (unsigned round = 0; round < 2 * crashes && changed; ++round) {
    changed = false;
    for (const CrashSuspects& from : hosts) {
      for (CrashSuspects& to : hosts) {
        changed = to.merge(from.evidence(kDeadly, now), now) || changed;
      }
    }
  }
  RC_ASSERT(!changed);
  for (const CrashSuspects& host : hosts) {
    RC_ASSERT(host.evidence(kDeadly, now).crashes.size() <= options.max_crashes);
    RC_ASSERT(host.crashes(kDeadly, now) == hosts[0].crashes(kDeadly, now));
  }
}

// Guards against absurd ages in a message of another host.
TEST(CrashSuspects, AbsurdAgesAreLimited)
{
  CrashSuspects suspects;
  const milliseconds far = milliseconds::max();
  EXPECT_TRUE(suspects.merge({ .request = kDeadly,
                               .crashes = { { .server = 1, .sent = far, .crashed = far },
                                            { .server = 2, .sent = -far, .crashed = -far } } },
                             kStart));
  EXPECT_LE(suspects.crashes(kDeadly, kStart), 2U);
}

// Guards against hosts that decide differently because evidence reached them in another order, or
// more than once.
RC_GTEST_PROP(CrashSuspects, OrderOfMessagesDoesNotMatter, ())
{
  std::mt19937_64 random(*rc::gen::arbitrary<unsigned>());
  CrashSuspects source;
  std::vector<CrashEvidence> messages;
  TimePoint now = kStart;
  const int events = *rc::gen::inRange(1, 10);
  for (int i = 0; i < events; ++i) {
    now += milliseconds(600 + random() % 400);
    if (random() % 5 == 0) {
      source.clear(kDeadly, now);
    } else {
      source.add_crash(kDeadly, "desk", random() % 8, now - milliseconds(random() % 300), now);
    }
    messages.push_back(source.evidence(kDeadly, now));
    // What a host sends later tells the same with greater ages.
    for (CrashEvidence& message : messages) {
      message = i % 2 == 0 ? message : source.evidence(kDeadly, now);
    }
  }
  const CrashEvidence last = source.evidence(kDeadly, now);
  CrashSuspects once;
  once.merge(last, now);
  CrashSuspects often;
  std::vector<CrashEvidence> shuffled(3, last);
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  for (CrashEvidence& message : shuffled) {
    std::shuffle(message.crashes.begin(), message.crashes.end(), random);
    CrashEvidence part = message;
    part.crashes.resize(part.crashes.size() / 2);
    often.merge(part, now);
    often.merge(message, now);
  }
  RC_ASSERT(once.crashes(kDeadly, now) == source.crashes(kDeadly, now));
  RC_ASSERT(often.crashes(kDeadly, now) == source.crashes(kDeadly, now));
  RC_ASSERT(often.quarantined_until(kDeadly, now).has_value() ==
            source.quarantined_until(kDeadly, now).has_value());
}

// Servers of a service that run requests for 100 ms each. Hosts share one view of the evidence.
struct CrashSimulation
{
  CrashSuspects suspects;
  std::mt19937_64 random;
  std::uint64_t next_server = 0;
  /// Crashes caused by the deadly request.
  unsigned caused = 0;
  unsigned quarantined_innocents = 0;

  explicit CrashSimulation(unsigned seed)
    : random(seed)
  {
  }

  // Requests run beside each other at one server. If one of them is deadly, or with \p outage, the
  // server crashes; otherwise all succeed.
  void run(const std::vector<RequestFingerprint>& requests, bool outage, TimePoint now)
  {
    std::vector<RequestFingerprint> admitted;
    bool crashes = outage;
    for (const RequestFingerprint request : requests) {
      if (suspects.quarantined_until(request, now)) {
        quarantined_innocents += request == kDeadly ? 0 : 1;
        continue;
      }
      admitted.push_back(request);
      caused += request == kDeadly && !outage ? 1 : 0;
      crashes = crashes || request == kDeadly;
    }
    const std::uint64_t server = next_server++;
    for (const RequestFingerprint request : admitted) {
      const TimePoint sent = now - kRun + milliseconds(random() % 50);
      if (crashes) {
        suspects.add_crash(request, "desk", server, sent, now);
      } else {
        suspects.clear(request, now);
      }
    }
  }
};

// Guards against innocent requests that are quarantined for the deadly one beside them, and against
// a deadly one that goes on.
RC_GTEST_PROP(CrashSuspects, OnlyTheDeadlyRequestIsQuarantined, ())
{
  CrashSimulation simulation(*rc::gen::arbitrary<unsigned>());
  TimePoint now = kStart;
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(150);
    std::vector<RequestFingerprint> requests;
    requests.reserve(3);
    for (int i = 0; i < 2; ++i) {
      // A popular request and many rare ones, each of which is sent again until it succeeds.
      requests.push_back(simulation.random() % 3 == 0 ? 1 : 100 + simulation.random() % 500);
    }
    if (simulation.random() % 5 == 0) {
      requests.push_back(kDeadly);
    }
    simulation.run(requests, false, now);
    simulation.run({ 1 }, false, now + milliseconds(60));
  }
  RC_ASSERT(simulation.caused <= 3U);
  RC_ASSERT(simulation.quarantined_innocents == 0U);
}

// Guards against requests that are quarantined after the failures of a whole service.
RC_GTEST_PROP(CrashSuspects, OutagesOfAServiceQuarantineNothing, ())
{
  CrashSimulation simulation(*rc::gen::arbitrary<unsigned>());
  TimePoint now = kStart;
  const int outages = *rc::gen::inRange(1, 6);
  for (int outage = 0; outage < outages; ++outage) {
    now += seconds(3);
    for (int server = 0; server < 9; ++server) {
      simulation.run({ 1, 100 + simulation.random() % 200, 100 + simulation.random() % 200 },
                     true,
                     now + milliseconds(simulation.random() % 4));
    }
    for (RequestFingerprint request = 100; request < 300; ++request) {
      simulation.run({ 1, request }, false, now + seconds(1));
    }
  }
  RC_ASSERT(simulation.quarantined_innocents == 0U);
  RC_ASSERT(simulation.suspects.quarantined_count(now + seconds(1)) == 0U);
}

} // namespace
} // namespace lovagehold
