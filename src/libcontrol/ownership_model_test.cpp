#include "lovagehold/home_selector.h"
#include "lovagehold/ownership_tracker.h"
#include "lovagehold/session_table.h"
#include "lovagehold/state_machine.h"

#include <array>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

// Runs hosts, two possible leaders and a log in simulated time over a fake network, and compares
// the shares of all hosts with the oracle: the shares of a service never add up to more than the
// slots of a server.
namespace lovagehold {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 4;
constexpr std::size_t kServices = 5;
constexpr int kStepMs = 5;
constexpr int kElectionMs = 600;
constexpr int kIsolationMs = 2500;
// Two leases, the isolation with its margin, and four heartbeats, in steps.
constexpr int kProgressSteps = (2 * 606 + kIsolationMs * 103 / 100 + 4 * 200) / kStepMs;

enum class Kind
{
  PauseHost,
  PauseLeader,
  CutHost,    ///< no heartbeats and replies, the log still arrives
  CutAll,     ///< no heartbeats, no log
  CutLeader,  ///< the leader keeps its hosts but loses the other control hosts
  CutOneLink, ///< the host reaches only one of the two control hosts
  SlowLinks,
  LoseSome,
  KillHost,
  LeaveGracefully,
  Restart,
  Wait,
  Last
};

struct Operation
{
  Kind kind = Kind::Wait;
  std::size_t target = 0;
  int millis = 0;
};

struct Variant
{
  bool lease_from_send = true;
  bool await_stable_view = true;
  bool await_predecessors = true;
  bool wait_after_election = true;
  bool confirm_before_answer = true;
};

struct Timed
{
  int due = 0;
  std::function<void()> run;
};

class Simulation
{
public:
  Simulation(Variant variant, std::uint64_t seed)
    : m_variant(variant)
    , m_random(seed)
  {
    for (std::size_t i = 0; i < kServices; ++i) {
      m_services.push_back("service-" + std::to_string(i));
    }
    for (Leader& leader : m_leaders) {
      leader.rate = clock_rate();
      leader.table = std::make_unique<SessionTable>(SessionTableOptions{
        .leadership_validity =
          variant.confirm_before_answer ? milliseconds(500) : milliseconds(1000000),
        .wait_after_election = variant.wait_after_election,
        .await_acknowledgements = variant.await_stable_view });
    }
    m_leaders[0].table->set_leading(true, time_of(m_leaders[0].rate));
    m_leaders[0].believes = true;
    for (std::size_t i = 0; i < kHosts; ++i) {
      start_host(i);
    }
  }

  void apply(const Operation& operation)
  {
    Host& host = m_hosts[operation.target % kHosts];
    const int until = m_now + operation.millis;
    switch (operation.kind) {
      case Kind::PauseHost:
        host.paused_until = until;
        break;
      case Kind::PauseLeader:
        m_leaders[m_active].paused_until = until;
        break;
      case Kind::CutHost:
        host.cut_until = until;
        break;
      case Kind::CutAll:
        host.cut_until = until;
        host.log_cut_until = until;
        break;
      case Kind::CutLeader:
        m_leaders[m_active].cut_until = until;
        break;
      case Kind::CutOneLink:
        host.cut_link = operation.millis % 2;
        host.cut_link_until = until;
        break;
      case Kind::SlowLinks:
        m_slow_until = until;
        break;
      case Kind::LoseSome:
        m_lossy_until = until;
        break;
      case Kind::KillHost:
        stop_host(host);
        break;
      case Kind::LeaveGracefully:
        leave(host);
        break;
      case Kind::Restart:
        stop_host(host);
        start_host(operation.target % kHosts);
        break;
      default:
        break;
    }
    run(operation.millis / 3 / kStepMs);
  }

  /// Runs the steps. \return false after a violation.
  void run(int steps)
  {
    for (int i = 0; i < steps && m_violation.empty(); ++i) {
      step();
    }
  }

  void heal()
  {
    for (Host& host : m_hosts) {
      host.paused_until = host.cut_until = host.log_cut_until = host.cut_link_until = m_now;
    }
    for (Leader& leader : m_leaders) {
      leader.paused_until = leader.cut_until = m_now;
    }
    m_slow_until = m_lossy_until = m_now;
  }

  /// \return first service without exactly one full owner, which is the one by weight.
  std::string unserved() const
  {
    std::vector<HostInfo> hosts;
    for (const Host& host : m_hosts) {
      if (host.tracker && !host.leaving) {
        hosts.push_back(host.info);
      }
    }
    for (const ServiceName& service : m_services) {
      const HostId owner = select_owner(service, hosts);
      for (const Host& host : m_hosts) {
        const bool is_owner = host.tracker && host.info.id == owner;
        if (is_owner && host.tracker->share(service, local(host)) != SlotShare::Full) {
          std::string text = service;
          return text.append(" is not served in full by ").append(owner);
        }
      }
    }
    return "";
  }

  const std::string& violation() const { return m_violation; }

private:
  struct Host
  {
    HostInfo info;
    std::unique_ptr<OwnershipTracker> tracker;
    double rate = 1;
    std::uint64_t run = 0;
    std::size_t applied = 0;
    bool leaving = false;
    int paused_until = 0;
    int cut_until = 0;
    int log_cut_until = 0;
    int cut_link = 0;
    int cut_link_until = 0;
    int next_join = 0;
    std::vector<Timed> inbox;
  };

  struct Leader
  {
    std::unique_ptr<SessionTable> table;
    double rate = 1;
    bool believes = false;
    int paused_until = 0;
    int cut_until = 0;
    int deposed_at = 0;
    std::vector<Timed> inbox;
  };

  int uniform(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

  double clock_rate() { return 0.99 + uniform(0, 20) / 1000.0; }

  TimePoint time_of(double rate) const
  {
    return TimePoint(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(m_now * 1000.0 * rate));
  }

  TimePoint local(const Host& host) const { return time_of(host.rate); }

  int delay() { return m_now < m_slow_until ? uniform(0, 500) : uniform(0, 30); }

  bool lost() { return m_now < m_lossy_until && uniform(0, 2) == 0; }

  void start_host(std::size_t number)
  {
    Host& host = m_hosts[number];
    host.info = { .id = "host-" + std::to_string(number),
                  .incarnation = static_cast<std::uint64_t>(1000 + m_now),
                  .failure_domain = "domain",
                  .caller_address = "127.0.0.1:" + std::to_string(number + 1) };
    host.rate = clock_rate();
    host.leaving = false;
    host.applied = 0;
    ++host.run;
    host.inbox.clear();
    host.paused_until = host.cut_until = host.log_cut_until = host.cut_link_until = 0;
    host.tracker = std::make_unique<OwnershipTracker>(
      OwnershipOptions{ .self = host.info.id,
                        .incarnation = host.info.incarnation,
                        .isolation_limit = milliseconds(kIsolationMs),
                        .lease_from_send = m_variant.lease_from_send,
                        .await_stable_view = m_variant.await_stable_view,
                        .await_predecessors = m_variant.await_predecessors });
    host.tracker->set_services(m_services, local(host));
  }

  void stop_host(Host& host) { host.tracker.reset(); }

  void leave(Host& host)
  {
    if (!host.tracker || host.leaving) {
      return;
    }
    host.leaving = true;
    host.tracker->release(local(host));
    const LeaveHost command{ .id = host.info.id,
                             .incarnation = host.tracker->incarnation(),
                             .released = true };
    m_proposals.push_back({ m_now + delay(), [this, command] { commit(command); } });
  }

  void commit(const Command& command)
  {
    m_state.apply(m_log.size() + 1, command);
    m_log.push_back(m_state.membership());
  }

  static void run_due(std::vector<Timed>& queue, int now)
  {
    std::vector<Timed> due;
    for (std::size_t i = 0; i < queue.size();) {
      if (queue[i].due > now) {
        ++i;
        continue;
      }
      due.push_back(std::move(queue[i]));
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const Timed& entry : due) {
      entry.run();
    }
  }

  void step()
  {
    m_now += kStepMs;
    run_due(m_proposals, m_now);
    elect();
    for (Leader& leader : m_leaders) {
      if (m_now >= leader.paused_until) {
        step_leader(leader);
      }
    }
    for (Host& host : m_hosts) {
      if (host.tracker && m_now >= host.paused_until) {
        step_host(host);
      }
    }
    check_shares();
  }

  // A leader that can't reach the other control hosts is replaced after the election timeout, and
  // learns of it when it runs and reaches them again.
  void elect()
  {
    Leader& active = m_leaders[m_active];
    if (m_now >= active.paused_until && m_now >= active.cut_until) {
      m_last_contact = m_now;
      return;
    }
    Leader& other = m_leaders[1 - m_active];
    const bool other_up = m_now >= other.paused_until && m_now >= other.cut_until;
    if (m_now - m_last_contact < kElectionMs || !other_up) {
      return;
    }
    // Entries of the old leader are either lost or applied before the new one leads.
    if (uniform(0, 1) == 0) {
      run_due(m_leader_proposals, std::numeric_limits<int>::max());
    }
    m_leader_proposals.clear();
    active.deposed_at = m_now + uniform(0, 300);
    m_active = 1 - m_active;
    m_last_contact = m_now;
    other.table->set_leading(false, time_of(other.rate));
    if (!m_log.empty()) {
      other.table->set_membership(m_log.back(), time_of(other.rate));
    }
    other.table->set_leading(true, time_of(other.rate));
    other.believes = true;
  }

  void step_leader(Leader& leader)
  {
    const TimePoint now = time_of(leader.rate);
    const bool is_active = &leader == &m_leaders[m_active];
    const bool connected = m_now >= leader.cut_until;
    run_due(leader.inbox, m_now);
    if (is_active && connected) {
      leader.table->confirm_leadership(now);
    }
    if (connected && !m_log.empty()) {
      leader.table->set_membership(m_log.back(), now);
    }
    if (!is_active && leader.believes && connected && m_now >= leader.deposed_at) {
      leader.table->set_leading(false, now);
      leader.believes = false;
    }
    for (const LeaveHost& leave : leader.table->tick(now)) {
      if (is_active) {
        m_leader_proposals.push_back({ m_now + uniform(0, 60), [this, leave] { commit(leave); } });
      }
    }
    if (is_active && connected) {
      run_due(m_leader_proposals, m_now);
    }
  }

  void step_host(Host& host)
  {
    run_due(host.inbox, m_now);
    // The log arrives in jumps, so that views are skipped.
    if (m_now >= host.log_cut_until && host.applied < m_log.size() && uniform(0, 3) == 0) {
      host.applied = m_log.size();
      host.tracker->set_membership(m_log.back(), local(host));
    }
    if (host.tracker->must_join() && host.applied > 0 && m_now >= host.next_join) {
      join(host);
    }
    if (host.tracker->must_join() && m_log.empty()) {
      join(host);
    }
    if (const auto heartbeat = host.tracker->tick(local(host))) {
      send_heartbeat(host, *heartbeat);
    }
    host.tracker->take_changes();
  }

  void join(Host& host)
  {
    host.next_join = m_now + 200;
    HostInfo info = host.info;
    info.incarnation = host.tracker->incarnation();
    // Proposals may be lost, be late and be committed twice.
    for (int copies = uniform(0, 2); copies > 0; --copies) {
      m_proposals.push_back(
        { m_now + uniform(0, 400), [this, info] { commit(JoinHost{ info }); } });
    }
  }

  // Heartbeats go to both leaders, so that a deposed one gets the chance to answer.
  void send_heartbeat(Host& host, const Heartbeat& heartbeat)
  {
    for (Leader& leader : m_leaders) {
      const bool link_cut = m_now < host.cut_link_until && &leader == &m_leaders[host.cut_link];
      if (lost() || link_cut || m_now < host.cut_until) {
        continue;
      }
      leader.inbox.push_back({ m_now + delay(), [this, &host, &leader, heartbeat, run = host.run] {
                                const auto reply =
                                  leader.table->receive(heartbeat, time_of(leader.rate));
                                if (reply && !lost() && m_now >= host.cut_until) {
                                  send_reply(host, run, *reply);
                                }
                              } });
    }
  }

  void send_reply(Host& host, std::uint64_t run, const HeartbeatReply& reply)
  {
    host.inbox.push_back({ m_now + delay(), [this, &host, run, reply] {
                            if (host.run == run) {
                              host.tracker->receive(reply, local(host));
                            }
                          } });
  }

  void check_shares()
  {
    for (const ServiceName& service : m_services) {
      std::array<int, static_cast<std::size_t>(SlotShare::Full) + 1> count{};
      std::string shares;
      for (const Host& host : m_hosts) {
        const SlotShare share =
          host.tracker ? host.tracker->share(service, local(host)) : SlotShare::None;
        ++count[static_cast<int>(share)];
        shares.append(" ").append(std::to_string(static_cast<int>(share)));
      }
      const int isolated = count[static_cast<int>(SlotShare::Isolated)];
      const int reduced = count[static_cast<int>(SlotShare::Reduced)];
      const int full = count[static_cast<int>(SlotShare::Full)];
      if (isolated > 1 || reduced > 1 || full > 1 || (full == 1 && isolated + reduced > 0)) {
        m_violation = service;
        m_violation.append(" at ").append(std::to_string(m_now)).append(" ms: shares" + shares);
        return;
      }
    }
  }

  Variant m_variant;
  std::mt19937_64 m_random;
  int m_now = 0;
  int m_slow_until = 0;
  int m_lossy_until = 0;
  int m_last_contact = 0;
  std::size_t m_active = 0;
  std::array<Leader, 2> m_leaders;
  std::array<Host, kHosts> m_hosts;
  std::vector<ServiceName> m_services;
  StateMachine m_state;
  std::vector<MembershipView> m_log;
  std::vector<Timed> m_proposals;
  std::vector<Timed> m_leader_proposals;
  std::string m_violation;
};

struct Verdict
{
  std::string violation;
  std::string unserved;
};

Verdict
run_scenario(const std::vector<Operation>& operations,
             std::uint64_t seed,
             Variant variant = {},
             int progress_steps = kProgressSteps)
{
  Simulation simulation(variant, seed);
  simulation.run(2000 / kStepMs);
  for (const Operation& operation : operations) {
    simulation.apply(operation);
  }
  simulation.heal();
  simulation.run(progress_steps);
  return { simulation.violation(), simulation.unserved() };
}

std::vector<Operation>
random_operations(std::mt19937_64& random)
{
  std::vector<Operation> operations(12);
  for (Operation& operation : operations) {
    operation = { static_cast<Kind>(random() % static_cast<int>(Kind::Last)),
                  random() % kHosts,
                  static_cast<int>(random() % 3000) };
  }
  return operations;
}

// \return number of the first random scenario that breaks the oracle; 0 if none does.
int
find_violation(Variant variant)
{
  std::mt19937_64 random(20261204);
  for (int i = 1; i <= 400; ++i) {
    const auto operations = random_operations(random);
    if (!run_scenario(operations, random(), variant).violation.empty()) {
      return i;
    }
  }
  return 0;
}

// Guards against two hosts that together use more slots of a server than it has, and against a
// service that stays without a full owner once messages flow.
RC_GTEST_PROP(Ownership, SharesNeverExceedTheSlotsAndOwnersReturn, ())
{
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto operations = *rc::gen::container<std::vector<Operation>>(
    rc::gen::construct<Operation>(rc::gen::map(rc::gen::inRange(0, static_cast<int>(Kind::Last)),
                                               [](int kind) { return static_cast<Kind>(kind); }),
                                  rc::gen::inRange<std::size_t>(0, kHosts),
                                  rc::gen::inRange(0, 3000)));
  const Verdict verdict = run_scenario(operations, seed);
  RC_ASSERT(verdict.violation == "");
  RC_ASSERT(verdict.unserved == "");
}

// Guards against a check of progress that can't fail: one step after the loss of a host its
// services have no full owner.
TEST(OwnershipCheck, FindsMissingProgress)
{
  const std::vector<Operation> losses = { { Kind::KillHost, 0 },
                                          { Kind::KillHost, 1 },
                                          { Kind::KillHost, 2 } };
  EXPECT_NE(run_scenario(losses, 1, {}, 1).unserved, "");
  EXPECT_EQ(run_scenario(losses, 1).unserved, "");
}

// Guards against a search that is too weak to find the violations of the next test.
TEST(OwnershipCheck, FindsNothingInTheCorrectProtocol)
{
  EXPECT_EQ(find_violation({}), 0);
}

// Guards against a check that can't fail: each rule of the protocol, left out, is caught.
TEST(OwnershipCheck, FindsEachBrokenVariant)
{
  EXPECT_GT(find_violation({ .lease_from_send = false }), 0) << "lease counted from the reply";
  EXPECT_GT(find_violation({ .await_stable_view = false }), 0) << "no stable view";
  EXPECT_GT(find_violation({ .await_predecessors = false }), 0) << "successor starts in full";
  EXPECT_GT(find_violation({ .wait_after_election = false }), 0) << "new leader does not wait";
  EXPECT_GT(find_violation({ .confirm_before_answer = false }), 0) << "deposed leader answers";
}

} // namespace
} // namespace lovagehold
