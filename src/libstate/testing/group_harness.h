#pragma once

#include "fake_disk.h"
#include "lovagehold/consensus.h"
#include "lovagehold/replicated_state.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace lovagehold::testing {

/// Operation of a schedule on the group.
enum class OpKind
{
  Run,     ///< advances time
  Propose, ///< a client proposes a command
  Isolate, ///< cuts a member off from all others
  IsolateLeader,
  IsolateNextLeader, ///< in the tick in which it is elected
  IsolateAtCommit,   ///< the next leader that commits, before its messages of that step arrive
  RestartAtVote,     ///< the next member that grants a vote
  Reconnect,
  CutOneWay, ///< drops all messages from one member to another
  Heal,      ///< ends all isolation and cuts
  Crash,
  CrashAtWrite, ///< crashes at one of the next changes to the disk
  Restart,
  Wipe,  ///< a member loses its disk and restarts
  Pause, ///< a member's process stops running for a while
  StepClock,
  FailDisk,
  FillDisk,
  Compact,
};

struct Op
{
  OpKind kind = OpKind::Run;
  unsigned node = 0;
  /// Its meaning depends on the kind.
  unsigned argument = 0;
};

struct HarnessOptions
{
  unsigned nodes = 3;
  /// Maximum number of entries in flight to one member.
  std::uint64_t window_entries = 4096;
  std::chrono::milliseconds election_timeout{ 400 };
  std::uint64_t seed = 1;
  /// This and the next two: see ConsensusOptions.
  std::size_t target_voters = 5;
  std::chrono::milliseconds lost_after{ 0 };
  std::chrono::milliseconds first_election_timeout{ 0 };
  /// Number of failure domains that the members are in; 0: in none.
  unsigned failure_domains = 0;
  ConsensusFaults faults = {};
  /// Creates the identity of a wiped disk. If not set, each one is new.
  std::function<MemberId(unsigned node)> make_identity;
};

/// Simulates a group of members with fake disks, a fake network and its own time, and checks the
/// invariants of the group after every step.
class GroupHarness
{
public:
  explicit GroupHarness(HarnessOptions options);

  void apply(const Op& op);

  /// Ends all faults; a new command must then be accepted within kProgressTicks and all members
  /// must have the same state after another kConvergeTicks.
  void finish();

  /// \return the first invariant that was violated, or an empty string.
  const std::string& violation() const { return m_violation; }

  static constexpr unsigned kProgressTicks = 120;
  static constexpr unsigned kConvergeTicks = 200;

private:
  /// Identities of wiped disks start here; those of the first members are smaller.
  static constexpr MemberId kFirstNewIdentity = 100;

  struct Node
  {
    unsigned number = 0;
    FakeDisk disk;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<Consensus> consensus;
    ReplicatedState state;
    /// To be written at the tick write_at and reported with the token.
    std::vector<LogRecord> records;
    std::uint64_t token = 0;
    unsigned write_at = 0;
    /// Last index written and synced.
    std::uint64_t durable_index = 0;
    std::chrono::milliseconds clock_offset{ 0 };
    /// Tick at which a pause of the process ends.
    unsigned paused_until = 0;
    bool isolated = false;
    std::uint64_t term_when_isolated = 0;
    bool disk_failed = false;
  };
  struct Message
  {
    unsigned from = 0;
    unsigned to = 0;
    ConsensusEnvelope envelope;
  };
  struct Client
  {
    /// Proposal id of the current command.
    std::uint64_t id = 1;
    bool waiting = false;
    /// Tick at which the command is proposed again.
    unsigned resend_at = 0;
  };
  struct Committed
  {
    std::uint64_t term = 0;
    Bytes payload;
  };

  TimePoint now(const Node& node) const;
  void report_violation(const std::string& invariant);
  void tick();
  void start(Node& node);
  void stop(Node& node);
  void wipe(Node& node);
  bool may_wipe(const Node& node) const;
  bool reachable(unsigned from, unsigned to) const;
  void send(const Node& from, const ConsensusEnvelope& envelope);
  void deliver(const Message& message);
  void write(Node& node);
  /// Carries out the effects of a call to the node's Consensus and checks the invariants.
  void perform(Node& node, const Effects& effects);
  void on_committed(Node& node, const LogEntry& entry);
  /// Checks that a new voter in the membership of the entry holds all committed entries.
  void check_promotion(const Node& leader, const LogEntry& entry);
  void check_leader(const Node& node);
  void drive_client(std::size_t number);
  /// Asks the leader to add the node as a learner if it is no member or has lost contact.
  void join(Node& node);
  void check_end();
  Node* connected_leader();
  void isolate(Node& node);
  void isolate_next_leader();
  /// Carries out IsolateAtCommit and RestartAtVote once their event occurs.
  void trigger(Node& node, const Effects& effects);
  Node* find(MemberId id);

  HarnessOptions m_options;
  std::mt19937_64 m_random;
  unsigned m_now = 0;
  MemberId m_next_identity = kFirstNewIdentity;
  std::deque<Node> m_nodes;
  /// Messages in flight, by the tick of their delivery.
  std::multimap<unsigned, Message> m_network;
  /// Sender and receiver of the links that drop messages.
  std::set<std::pair<unsigned, unsigned>> m_cut_links;
  std::vector<Client> m_clients;
  /// Clients start no new commands.
  bool m_no_new_commands = false;
  bool m_isolate_at_commit = false;
  bool m_restart_at_vote = false;
  /// Node to restart at the next tick.
  Node* m_restart_next = nullptr;
  /// Node whose disk was wiped last.
  std::optional<unsigned> m_last_wiped;
  std::string m_violation;
  // Observations that the invariants are checked against.
  std::map<std::uint64_t, Committed> m_committed;
  std::map<std::uint64_t, MemberId> m_leader_by_term;
  /// Keys: members with a new identity that became voters.
  std::map<MemberId, Membership> m_promoted;
  /// Client and id of the proposals that were reported as accepted.
  std::set<std::pair<std::uint64_t, std::uint64_t>> m_accepted;
};

} // namespace lovagehold::testing
