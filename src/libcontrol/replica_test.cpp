#include "lovagehold/replica.h"

#include "libstate/testing/fake_disk.h"
#include "lovagehold/control_client.h"
#include "lovagehold/group_tolerance.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <set>

namespace lovagehold::testing {
namespace {

constexpr std::chrono::milliseconds kStep{ 20 };
constexpr unsigned kMaxSteps = 1000;
constexpr std::uint64_t kRandomSeed = 5;

class ReplicaTest : public ::testing::Test
{
protected:
  static constexpr unsigned kReplicas = 3;
  /// The hosts after these are started only by tests that add or replace hosts.
  static constexpr unsigned kHosts = 5;
  static constexpr std::size_t kMaxMembers = 8;

  ReplicaTest()
  {
    for (unsigned i = 0; i < kReplicas; ++i) {
      start(i);
    }
    start_client();
  }

  ~ReplicaTest() override { m_posted.clear(); }

  static std::string address(unsigned number) { return "host-" + std::to_string(number); }

  void start(unsigned number)
  {
    ReplicaOptions options{ .host = address(number), .address = address(number) };
    for (unsigned i = 0; i < kReplicas; ++i) {
      options.members.emplace_back(address(i), address(i));
    }
    options.snapshot_bytes = 600;
    options.message_bytes = 100;
    options.consensus.trailing_entries = 2;
    options.consensus.target_voters = m_target_voters;
    options.consensus.max_members = kMaxMembers;
    options.consensus.lost_after = m_lost_after;
    options.may_bootstrap = number < kReplicas;
    options.storage_thread = false;
    options.seed = m_random();
    ReplicaPorts ports;
    ports.send = [this, number](const std::string& to, const ClusterMessage& message) {
      send(address(number), to, message);
    };
    ports.post = [this](std::function<void()> function) {
      m_posted.push_back(std::move(function));
    };
    ports.report = [this](std::string_view event, const std::vector<LogField>&) {
      m_reports.insert(std::string(event));
    };
    ports.now = [this] { return m_now; };
    m_replicas[number] = std::make_unique<Replica>(
      std::move(options), std::move(ports), std::make_unique<SharedDisk>(m_disks[number]));
    ASSERT_TRUE(m_replicas[number]->open().has_value());
  }

  // \param first number of the control host that the client asks first
  void start_client(unsigned first = 0)
  {
    ControlClientOptions options{ .proposal_timeout = std::chrono::seconds(10),
                                  .client = m_random() };
    for (unsigned i = 0; i < kReplicas; ++i) {
      options.control_addresses.push_back(address((first + i) % kReplicas));
    }
    m_client = std::make_unique<ControlClient>(
      options,
      [this](const std::string& to, const ClusterMessage& message) { send("client", to, message); },
      [](const StateMachine&) {});
  }

  void stop(unsigned number)
  {
    m_replicas[number].reset();
    m_disks[number].crash(m_random);
  }

  void send(const std::string& from, const std::string& to, const ClusterMessage& message)
  {
    if (m_drop && m_drop(to, message)) {
      return;
    }
    m_posted.push_back([this, from, to, bytes = encode(message)] {
      const ClusterMessage received = decode_message(bytes).value();
      if (to == "client") {
        m_client->receive(from, received, m_now);
      }
      for (unsigned i = 0; i < kHosts; ++i) {
        if (to == address(i) && m_replicas[i]) {
          m_replicas[i]->receive(from, received);
        }
      }
    });
  }

  template<class Condition>
  bool run_until(Condition condition)
  {
    for (unsigned step = 0; step < kMaxSteps && !condition(); ++step) {
      m_now += kStep;
      for (const auto& replica : m_replicas) {
        if (replica) {
          replica->tick();
        }
      }
      m_client->tick(m_now);
      for (std::size_t waiting = m_posted.size(); waiting > 0; --waiting) {
        const auto function = std::move(m_posted.front());
        m_posted.pop_front();
        function();
      }
    }
    return condition();
  }

  Replica* leader()
  {
    for (const auto& replica : m_replicas) {
      if (replica && replica->leads()) {
        return replica.get();
      }
    }
    return nullptr;
  }

  unsigned leader_number()
  {
    unsigned number = 0;
    while (!m_replicas[number] || !m_replicas[number]->leads()) {
      ++number;
    }
    return number;
  }

  // Applying the same JoinHost command twice changes the view twice, which makes a duplicate
  // visible.
  bool join(const std::string& host)
  {
    std::optional<bool> accepted;
    m_client->propose(
      JoinHost{ { .id = host, .incarnation = 1 } },
      [&](const Result<ApplyResult>& result) {
        accepted = result.has_value() && result.value().accepted;
      },
      m_now);
    return run_until([&] { return accepted.has_value(); }) && *accepted;
  }

  bool is_voter(unsigned number)
  {
    const Membership members = leader() == nullptr ? Membership() : leader()->status().membership;
    return std::any_of(members.begin(), members.end(), [&](const Member& member) {
      return member.address == address(number) && member.voter;
    });
  }

  // Makes the host lead the group by dropping the vote requests of all others.
  void transfer_leadership(unsigned number)
  {
    const auto own_id = [&] {
      for (const Member& member : m_replicas[number]->status().membership) {
        if (member.address == address(number)) {
          return member.id;
        }
      }
      return MemberId{ 0 };
    }();
    m_drop = [own_id](const std::string&, const ClusterMessage& message) {
      const auto* envelope = std::get_if<ConsensusEnvelope>(&message);
      return envelope != nullptr && envelope->from != own_id &&
             std::holds_alternative<VoteRequest>(envelope->message);
    };
    const unsigned previous = leader_number();
    stop(previous);
    ASSERT_TRUE(run_until([&] { return m_replicas[number]->leads(); }));
    m_drop = nullptr;
    start(previous);
    ASSERT_TRUE(run_until([&] { return m_replicas[previous]->status().in_contact; }));
  }

  std::size_t voter_count()
  {
    std::size_t count = 0;
    for (const Member& member :
         leader() == nullptr ? Membership() : leader()->status().membership) {
      count += member.voter ? 1 : 0;
    }
    return count;
  }

  std::deque<std::function<void()>> m_posted;
  TimePoint m_now{ std::chrono::hours(1) };
  std::mt19937_64 m_random{ kRandomSeed };
  FakeDisk m_disks[kHosts];
  std::unique_ptr<Replica> m_replicas[kHosts];
  std::size_t m_target_voters = 5;
  std::chrono::milliseconds m_lost_after{ 0 };
  std::unique_ptr<ControlClient> m_client;
  std::set<std::string> m_reports;
  std::function<bool(const std::string& to, const ClusterMessage&)> m_drop;
};

// Guards against a heartbeat round for each of many reads: after a restart of all hosts the leader
// had no time left for anything else.
TEST_F(ReplicaTest, ReadsShareHeartbeatRounds)
{
  ASSERT_TRUE(join("first"));
  unsigned messages = 0;
  m_drop = [&](const std::string&, const ClusterMessage& message) {
    messages += std::holds_alternative<ConsensusEnvelope>(message) ? 1 : 0;
    return false;
  };
  constexpr unsigned kReads = 200;
  unsigned confirmed = 0;
  const TimePoint started = m_now;
  for (unsigned i = 0; i < kReads; ++i) {
    leader()->confirm_leadership(
      [&](std::optional<TimePoint> requested_at) { confirmed += requested_at ? 1 : 0; });
  }
  ASSERT_TRUE(run_until([&] { return confirmed == kReads; }));
  // Two rounds of a request and a reply for each of two followers, and as much for heartbeats.
  EXPECT_LT(messages, 2 * 2 * 4U);
  EXPECT_LT(m_now - started, std::chrono::milliseconds(200));
}

// Guards against a host that nobody sees to be outside the group, and a group that is said to bear
// more losses than it does.
TEST_F(ReplicaTest, StatusTellsWhoIsOutsideAndWhoAnswers)
{
  ASSERT_TRUE(join("first"));
  const auto losses_left = [&] {
    const ReplicaStatus status = leader() == nullptr ? ReplicaStatus() : leader()->status();
    return assess_tolerance(
             member_states(
               status.membership, status.progress, status.commit, std::chrono::milliseconds(600)),
             1)
      .losses_left;
  };
  ASSERT_TRUE(run_until([&] { return losses_left() == 1U; }));
  for (const auto& replica : m_replicas) {
    EXPECT_TRUE(!replica || replica->status().outside == Duration::zero());
  }
  stop(leader_number() == 0 ? 1 : 0);
  ASSERT_TRUE(run_until([&] { return losses_left() == 0U; }));
  m_drop = [&](const std::string& to, const ClusterMessage& message) {
    return to == address(3) || std::holds_alternative<JoinGroup>(message);
  };
  start(3);
  const TimePoint started = m_now;
  ASSERT_TRUE(run_until([&] { return m_now - started > std::chrono::seconds(2); }));
  EXPECT_GE(m_replicas[3]->status().outside, std::chrono::seconds(2));
  EXPECT_TRUE(m_replicas[3]->status().progress.empty());
  EXPECT_TRUE(leader()->status().joining.empty());
  m_drop = nullptr;
  ASSERT_TRUE(run_until([&] { return m_replicas[3]->status().outside == Duration::zero(); }));
  // Of a new host, one that has lost its disk, and a member, the last one is in the group.
  const unsigned follower = leader_number() == 2 ? 3 : 2;
  const MemberId known = leader()->status().membership.front().id;
  m_replicas[follower]->receive("new", JoinGroup{ .member = { .id = 99, .address = "new" } });
  m_replicas[follower]->receive(address(3),
                                JoinGroup{ .member = { .id = 98, .address = address(3) } });
  m_replicas[follower]->receive("c", JoinGroup{ .member = { .id = known, .address = "c" } });
  EXPECT_EQ(m_replicas[follower]->status().joining,
            (std::vector<std::string>{ address(3), "new" }));
  const TimePoint asked = m_now;
  ASSERT_TRUE(run_until([&] { return m_now - asked > std::chrono::seconds(2); }));
  EXPECT_TRUE(m_replicas[follower]->status().joining.empty());
}

// Guards against a read of the configuration that waits for its time limit although the host knows
// at once that nobody can confirm it.
TEST_F(ReplicaTest, UnconfirmedReadFailsAsSoonAsThatIsKnown)
{
  ASSERT_TRUE(join("first"));
  std::vector<std::optional<TimePoint>> results;
  const auto done = [&](std::optional<TimePoint> requested_at) { results.push_back(requested_at); };
  Replica* const former = leader();
  former->confirm_leadership(done);
  ASSERT_TRUE(run_until([&] { return results.size() == 1; }));
  EXPECT_TRUE(results.front().has_value());
  // The leader loses contact, and with it the leadership.
  m_drop = [](const std::string& to, const ClusterMessage&) { return to != "client"; };
  former->confirm_leadership(done);
  ASSERT_TRUE(run_until([&] { return !former->leads(); }));
  ASSERT_EQ(results.size(), 2U);
  EXPECT_FALSE(results.back().has_value());
  // No leader is known.
  former->confirm_leadership(done);
  ASSERT_EQ(results.size(), 3U);
  EXPECT_FALSE(results.back().has_value());
}

// Guards against a follower that waits for the confirmation of a leader that has been replaced.
TEST_F(ReplicaTest, ReadSentToAReplacedLeaderFails)
{
  ASSERT_TRUE(join("first"));
  const unsigned replaced = leader_number();
  const unsigned number = replaced == 0 ? 1 : 0;
  stop(replaced);
  std::optional<std::optional<TimePoint>> result;
  m_replicas[number]->confirm_leadership(
    [&](std::optional<TimePoint> requested_at) { result = requested_at; });
  ASSERT_TRUE(run_until([&] { return leader() != nullptr; }));
  ASSERT_TRUE(run_until([&] { return !m_replicas[number]->status().leader_address.empty(); }));
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(result->has_value());
}

// Guards against a command that is applied twice when its reply is lost and the client resends it.
TEST_F(ReplicaTest, ResentProposalIsAppliedOnce)
{
  ASSERT_TRUE(join("first"));
  unsigned lost = 3;
  m_drop = [&](const std::string&, const ClusterMessage& message) {
    return std::holds_alternative<ProposeReply>(message) && lost > 0 && lost-- > 0;
  };
  const std::uint64_t before = leader()->status().applied;
  ASSERT_TRUE(join("second"));
  EXPECT_EQ(lost, 0U);
  EXPECT_EQ(leader()->machine().view(), before + 1);
}

// Guards against proposals and subscriptions that make no progress after the leader has failed.
TEST_F(ReplicaTest, ClientFindsTheNextLeader)
{
  ASSERT_TRUE(join("first"));
  stop(leader_number());
  ASSERT_TRUE(join("second"));
  EXPECT_TRUE(run_until([&] { return m_client->state().hosts().size() == 2; }));
}

// Guards against a starting subscriber that treats outdated state as current, and one that never
// receives a snapshot of several chunks.
TEST_F(ReplicaTest, StartingSubscriberGetsASnapshotThenConfirmedEntries)
{
  for (unsigned i = 0; i < 40; ++i) {
    ASSERT_TRUE(join("entry-" + std::to_string(i)));
  }
  unsigned chunks = 0;
  m_drop = [&](const std::string&, const ClusterMessage& message) {
    chunks += std::holds_alternative<SnapshotTransfer>(message) ? 1 : 0;
    return false;
  };
  start_client();
  ASSERT_TRUE(run_until([&] { return m_client->ready(); }));
  EXPECT_EQ(m_client->state().hosts().size(), 40U);
  EXPECT_GT(chunks, 2U);
}

// Guards against an entry host that takes itself for current while the control host that it follows
// is behind: a wiped control host hears from the leader while it still receives the state.
TEST_F(ReplicaTest, HostThatIsBehindItsSubscriberDoesNotAnswer)
{
  ASSERT_TRUE(join("first"));
  unsigned answers = 0;
  m_drop = [&](const std::string& to, const ClusterMessage& message) {
    answers += to == "subscriber" && std::holds_alternative<Entries>(message) ? 1 : 0;
    return false;
  };
  const std::uint64_t applied = leader()->status().applied;
  leader()->receive("subscriber", Subscribe{ .from_index = applied + 2 });
  EXPECT_EQ(answers, 0U);
  leader()->receive("subscriber", Subscribe{ .from_index = applied + 1 });
  EXPECT_EQ(answers, 1U);
}

// Guards against starting subscribers that all stay at the control hosts of their settings, and
// against one that is directed to a control host that does not run.
TEST_F(ReplicaTest, StartingSubscriberIsDirectedToARunningSource)
{
  ASSERT_TRUE(join("first"));
  std::vector<ControlAddress> hosts;
  for (unsigned i = 0; i < kReplicas; ++i) {
    hosts.push_back({ .address = address(i) });
  }
  std::set<std::string> sources;
  m_drop = [&](const std::string& to, const ClusterMessage& message) {
    const auto* entries = std::get_if<Entries>(&message);
    if (to == "client" && entries != nullptr && !entries->source.empty()) {
      sources.insert(entries->source);
    }
    return false;
  };
  const std::string expected = select_source("client", "", hosts);
  const auto expected_number = static_cast<unsigned>(expected.back() - '0');
  const unsigned first = (expected_number + 1) % kReplicas;
  start_client(first);
  ASSERT_TRUE(run_until([&] { return m_client->ready(); }));
  EXPECT_EQ(sources, std::set<std::string>{ expected });
  stop(expected_number);
  const TimePoint stopped = m_now;
  ASSERT_TRUE(run_until([&] { return m_now - stopped > std::chrono::seconds(3); }));
  ASSERT_TRUE(run_until([&] { return leader() != nullptr; }));
  sources.clear();
  start_client(first);
  ASSERT_TRUE(run_until([&] { return m_client->ready(); }));
  EXPECT_EQ(sources.count(expected), 0U);
}

// Guards against a slow link that is filled with copies of a snapshot chunk that is still in
// transit, and against a lost chunk that is never sent again.
TEST_F(ReplicaTest, SnapshotIsNotResentWhileItMayBeInTransit)
{
  for (unsigned i = 0; i < 40; ++i) {
    ASSERT_TRUE(join("entry-" + std::to_string(i)));
  }
  const std::chrono::milliseconds resend = ReplicaOptions{}.snapshot_resend;
  std::map<std::string, std::vector<TimePoint>> first_chunks;
  m_drop = [&](const std::string&, const ClusterMessage& message) {
    const auto* chunk = std::get_if<SnapshotTransfer>(&message);
    if (chunk != nullptr && chunk->offset == 0) {
      first_chunks[std::to_string(chunk->index)].push_back(m_now);
    }
    return chunk != nullptr && first_chunks.begin()->second.size() < 2;
  };
  start_client();
  ASSERT_TRUE(run_until([&] { return m_client->ready(); }));
  EXPECT_EQ(m_client->state().hosts().size(), 40U);
  const std::vector<TimePoint>& sent = first_chunks.begin()->second;
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_GE(sent[1] - sent[0], resend);
}

// Guards against a host with a wiped disk that bootstraps a second group, and one that can't
// rejoin.
TEST_F(ReplicaTest, WipedFirstHostRejoinsAsNewMember)
{
  ASSERT_TRUE(join("first"));
  const auto identity_of_first = [&] {
    for (const Member& member :
         leader() == nullptr ? Membership() : leader()->status().membership) {
      if (member.host == address(0) && member.voter) {
        return member.id;
      }
    }
    return MemberId{ 0 };
  };
  const MemberId before = identity_of_first();
  m_replicas[0].reset();
  m_disks[0].wipe();
  start(0);
  ASSERT_TRUE(run_until([&] { return identity_of_first() != 0 && identity_of_first() != before; }));
  EXPECT_EQ(voter_count(), 3U);
  stop(leader_number() == 0 ? 1 : leader_number());
  ASSERT_TRUE(join("second"));
  EXPECT_EQ(leader()->machine().hosts().size(), 2U);
}

// Guards against a group that keeps a permanently lost host as a voter, so that the next loss costs
// the majority. A host at a new address, which knows only the initial hosts, has to replace it.
TEST_F(ReplicaTest, ReplacementAtAnotherAddressBecomesVoterForALostHost)
{
  m_target_voters = 3;
  m_lost_after = std::chrono::milliseconds(2000);
  for (unsigned i = 0; i < kReplicas; ++i) {
    m_replicas[i].reset();
    m_disks[i].wipe();
    start(i);
  }
  ASSERT_TRUE(join("first"));
  const unsigned lost = leader_number() == 0 ? 1 : 0;
  m_replicas[lost].reset();
  start(3);
  ASSERT_TRUE(run_until([&] { return is_voter(3) && !is_voter(lost); }));
  EXPECT_EQ(voter_count(), 3U);
  stop(leader_number() == 3 ? 2 : leader_number());
  ASSERT_TRUE(join("second"));
}

// Guards against hosts that can't join, new or with a lost disk, because they know only the hosts
// in their settings and another host leads: each one lessens the losses that the group survives.
TEST_F(ReplicaTest, HostsJoinWhileAHostOutsideTheirSettingsLeads)
{
  constexpr unsigned kLeader = 3;
  constexpr unsigned kNewHost = 4;
  start(kLeader);
  ASSERT_TRUE(run_until([&] { return is_voter(kLeader); }));
  transfer_leadership(kLeader);
  const auto identity = [&](unsigned number) {
    for (const Member& member : m_replicas[kLeader]->status().membership) {
      if (member.address == address(number) && member.voter) {
        return member.id;
      }
    }
    return MemberId{ 0 };
  };
  for (unsigned number = 0; number < kReplicas; ++number) {
    const MemberId before = identity(number);
    m_replicas[number].reset();
    m_disks[number].wipe();
    start(number);
    EXPECT_TRUE(run_until([&] { return identity(number) != 0 && identity(number) != before; }))
      << address(number);
    ASSERT_TRUE(m_replicas[kLeader]->leads());
  }
  start(kNewHost);
  EXPECT_TRUE(run_until([&] { return is_voter(kNewHost); }));
  EXPECT_TRUE(join("first"));
}

// Guards against a request to join that removes a running member: a second process under the name
// of a member's host, and a request that names the address of another host.
TEST_F(ReplicaTest, RequestToJoinDoesNotReplaceARunningMember)
{
  ASSERT_TRUE(join("first"));
  const unsigned member = (leader_number() + 1) % kReplicas;
  const auto identities = [&] {
    std::set<MemberId> ids;
    for (const Member& known : leader()->status().membership) {
      ids.insert(known.id);
    }
    return ids;
  };
  const std::set<MemberId> before = identities();
  const auto ask = [&](unsigned host, const std::string& named, const std::string& from) {
    leader()->receive(
      from, JoinGroup{ .member = { .id = m_random(), .host = address(host), .address = named } });
    EXPECT_FALSE(run_until([&] { return leader() == nullptr || identities() != before; }));
  };
  ask(member, "elsewhere", "elsewhere");
  ask(leader_number(), "elsewhere", "elsewhere");
  ask(member, address(member), "elsewhere");
  EXPECT_EQ(m_reports.count("join_ignored"), 1U);
  ASSERT_TRUE(join("second"));
}

// Guards against a host that can't join because its disk, which it brought to another address,
// holds the identity of a member that the leader looks for at the former address.
TEST_F(ReplicaTest, HostThatMovesWithItsDiskStaysAVoter)
{
  constexpr unsigned kMoved = 3;
  ASSERT_TRUE(join("first"));
  const unsigned former = (leader_number() + 1) % kReplicas;
  stop(former);
  m_disks[kMoved] = m_disks[former];
  start(kMoved);
  EXPECT_TRUE(run_until([&] { return is_voter(kMoved) && !is_voter(former); }));
  EXPECT_EQ(voter_count(), kReplicas);
  EXPECT_TRUE(run_until([&] { return m_replicas[kMoved]->status().in_contact; }));
  stop(leader_number());
  EXPECT_TRUE(join("second"));
}

// Guards against a flood of requests to join that makes the group grow without a limit.
TEST_F(ReplicaTest, NumberOfMembersIsLimited)
{
  ASSERT_TRUE(join("first"));
  for (unsigned i = 0; i < 3 * kMaxMembers; ++i) {
    const std::string invented = "invented-" + std::to_string(i);
    leader()->receive(
      invented, JoinGroup{ .member = { .id = m_random(), .host = invented, .address = invented } });
    run_until([step = 0]() mutable { return ++step == 10; });
  }
  EXPECT_EQ(leader()->status().membership.size(), kMaxMembers);
  ASSERT_TRUE(join("second"));
}

// Guards against a leader that keeps leading with a full disk, and a host that doesn't recover once
// there is space again.
TEST_F(ReplicaTest, LeaderWithFullDiskStepsDownAndRecovers)
{
  ASSERT_TRUE(join("first"));
  const unsigned full = leader_number();
  m_disks[full].set_capacity(m_disks[full].used());
  ASSERT_TRUE(join("second"));
  EXPECT_FALSE(m_replicas[full]->leads());
  EXPECT_EQ(m_reports.count("storage_failed"), 1U);
  m_disks[full].set_capacity(std::nullopt);
  EXPECT_TRUE(run_until([&] { return m_reports.count("storage_recovered") == 1; }));
  ASSERT_TRUE(join("third"));
  EXPECT_TRUE(run_until([&] { return m_replicas[full]->machine().hosts().size() == 3; }));
}

} // namespace
} // namespace lovagehold::testing
