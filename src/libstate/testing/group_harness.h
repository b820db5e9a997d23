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

/// What happens to a group, in the order of the schedule.
enum class OpKind
{
  Run,
  Propose,
  Isolate,
  IsolateLeader,
  IsolateNextLeader, ///< at the tick in which it is elected
  IsolateAtCommit,   ///< the next leader that commits, before anything that it sends then arrives
  RestartAtVote,     ///< the next member that grants a vote
  Reconnect,
  CutOneWay,
  Heal,
  Crash,
  CrashAtWrite,
  Restart,
  Wipe,
  Pause,
  StepClock,
  FailDisk,
  FillDisk,
  Compact,
};

struct Op
{
  OpKind kind = OpKind::Run;
  unsigned node = 0;
  unsigned argument = 0;
};

struct HarnessOptions
{
  unsigned nodes = 3;
  /// Entries in flight to one member.
  std::uint64_t window_entries = 4096;
  std::chrono::milliseconds election_timeout{ 400 };
  std::uint64_t seed = 1;
  std::size_t voters = 5;
  /// Silent members are replaced after this time; zero: never.
  std::chrono::milliseconds lost_after{ 0 };
  std::chrono::milliseconds first_election_timeout{ 0 };
  ConsensusFaults faults = {};
  /// Gives the identity of an empty disk. Empty: a new one each time.
  std::function<MemberId(unsigned node)> make_identity;
};

/// A group of members over fake disks and a fake network with its own time, and the oracle that
/// checks them after every step.
class GroupHarness
{
public:
  explicit GroupHarness(HarnessOptions options);

  void apply(const Op& op);

  /// Ends all faults; a new command must then be accepted within kProgressTicks and all members
  /// must have the same state after another kConvergeTicks.
  void finish();

  /// \return the first rule that was broken, or an empty string.
  const std::string& violation() const { return m_violation; }

  static constexpr unsigned kProgressTicks = 120;
  static constexpr unsigned kConvergeTicks = 200;

private:
  struct Node
  {
    unsigned number = 0;
    FakeDisk disk;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<Consensus> consensus;
    ReplicatedState state;
    std::vector<LogRecord> records;
    std::uint64_t token = 0;
    unsigned write_at = 0;
    /// Last index written and synced.
    std::uint64_t durable = 0;
    std::chrono::milliseconds clock_offset{ 0 };
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
    std::uint64_t id = 1;
    bool waiting = false;
    unsigned resend_at = 0;
  };
  struct Committed
  {
    std::uint64_t term = 0;
    Bytes payload;
  };

  TimePoint now(const Node& node) const;
  void fail(const std::string& rule);
  void tick();
  void start(Node& node);
  void stop(Node& node);
  void wipe(Node& node);
  bool may_wipe(const Node& node) const;
  bool reachable(unsigned from, unsigned to) const;
  void send(const Node& from, const ConsensusEnvelope& envelope);
  void deliver(const Message& message);
  void write(Node& node);
  void perform(Node& node, const Effects& effects);
  void on_committed(Node& node, const LogEntry& entry);
  void check_promotion(const Node& leader, const LogEntry& entry);
  void check_leader(const Node& node);
  void drive_client(std::size_t number);
  void join(Node& node);
  void check_end();
  Node* connected_leader();
  void isolate(Node& node);
  void isolate_next_leader();
  void trigger(Node& node, const Effects& effects);
  Node* find(MemberId id);

  HarnessOptions m_options;
  std::mt19937_64 m_random;
  unsigned m_now = 0;
  MemberId m_next_identity = 100;
  std::deque<Node> m_nodes;
  std::multimap<unsigned, Message> m_network;
  std::set<std::pair<unsigned, unsigned>> m_cuts;
  std::vector<Client> m_clients;
  /// Clients start no new commands.
  bool m_quiet = false;
  bool m_isolate_at_commit = false;
  bool m_restart_at_vote = false;
  Node* m_restart = nullptr;
  std::optional<unsigned> m_wiped;
  std::string m_violation;
  // Oracle.
  std::map<std::uint64_t, Committed> m_log;
  std::map<std::uint64_t, MemberId> m_leaders;
  std::map<MemberId, Membership> m_memberships;
  std::set<std::pair<std::uint64_t, std::uint64_t>> m_accepted;
};

} // namespace lovagehold::testing
