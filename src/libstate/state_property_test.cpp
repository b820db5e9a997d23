#include "config_json.h"
#include "state_oracle.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

namespace lovagehold {
namespace {

using nlohmann::json;
using testing_oracle::kSmallLimits;
using testing_oracle::Oracle;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSequences = 400;
constexpr int kSteps = 60;

/// One step of a sequence: a command, or a restart from a snapshot. The parameters are small
/// numbers, so that many steps concern the same keys, hosts and servers.
struct Step
{
  int action = 0;
  std::uint64_t a = 0;
  std::uint64_t b = 0;
  std::uint64_t c = 0;
};

std::ostream&
operator<<(std::ostream& out, const Step& step)
{
  return out << "{" << step.action << ", " << step.a << ", " << step.b << ", " << step.c << "}";
}

constexpr int kSnapshotAction = 9;
constexpr int kEvacuationAction = 10;

const std::vector<std::string> kContents{
  "services: {a: {kinds: {k: {treat: patient, deadline: 2s}}}}",
  "services: {a: {kinds: {k: {deadline: 5s}}}, b: {error_budget: 0.01}}",
  "services: {a: null}",
  "services: {a: {kindz: 1}}",
};

Command
make_command(const Step& step)
{
  const std::string letter(1, static_cast<char>('a' + step.b % 2));
  const std::string host = "h" + std::to_string(step.a % 2);
  const std::string key = "k" + std::to_string(step.a % 4);
  const std::string attempt = "t" + std::to_string(step.b % 4);
  const WallTime now{ std::chrono::hours(step.c) };
  switch (step.action) {
    case 0:
    case 1: {
      const std::uint64_t number = 1 + step.a % 9;
      return SubmitChange{ .number = number,
                           .file_name = std::to_string(number) + "-" + letter + ".yaml",
                           .content = kContents[step.c % kContents.size()] };
    }
    case 2:
    case 3: {
      ClaimKey claim{ .service = "s",
                      .key = key,
                      .attempt = attempt,
                      .holder = "h" + std::to_string(step.b % 2),
                      .holder_incarnation = 1 + step.c % 3,
                      .now = now,
                      .retention = std::chrono::hours(1) };
      claim.body_digest[0] = step.c == 7 ? 1 : 0;
      return claim;
    }
    case 4:
      return RecordOutcome{ .service = "s",
                            .key = key,
                            .attempt = attempt,
                            .outcome = static_cast<OutcomeKind>(step.c % 3),
                            .stored_response = { .status =
                                                   200 + static_cast<unsigned>(step.c / 3) },
                            .now = now };
    case 5:
      return JoinHost{ { .id = host, .incarnation = 1 + step.c % 3 } };
    case 6:
      return LeaveHost{ .id = host, .incarnation = 1 + step.c % 3, .released = step.b % 2 == 0 };
    case 7:
      if (step.b % 2 == 0) {
        return JoinServer{ { .service = "s", .id = host, .incarnation = step.c % 3 } };
      }
      return LeaveServer{ .service = step.b % 4 == 1 ? "s" : "",
                          .id = host,
                          .incarnation = step.c % 3 };
    case kEvacuationAction:
      return EvacuateDomain{ .failure_domain = letter, .active = step.c % 3 != 0 };
    default:
      return ExpireOutcomes{ .now = now };
  }
}

/// Faults that are injected into the state machine; the comparison with the oracle must detect
/// each.
enum class Fault
{
  None,
  SecondWinner,
  ConflictWithoutWinner,
  ConflictWithoutNextNumber,
  ResentChangeGetsNewRevision,
  MistakesAccepted,
  KeyGrantedTwice,
  KeyKeptAfterNotRun,
  EndedAttemptRecords,
  EarlierIncarnationWins,
  LeaveOfEarlierIncarnationCounts,
  HolderNeverGone,
  ExpiryEndsOpenClaims,
  SnapshotLosesClaims,
  SnapshotLosesHistory,
  SnapshotLosesDepartures,
  SnapshotLosesUnknownDepartures,
  LeaveOfAnUnknownServerIsForgotten,
  LeaveCountsForTheKnownIncarnationOnly,
  SnapshotLosesEvacuations,
  RepeatedEvacuationGetsNewIndex,
  WithdrawalIsIgnored,
};
constexpr Fault kLastFault = Fault::WithdrawalIsIgnored;

/// The state machine under test, with an injected fault.
class Subject
{
public:
  explicit Subject(Fault fault)
    : m_fault(fault)
  {
  }

  const StateMachine& state() const { return m_state; }

  ApplyResult apply(std::uint64_t index, Command command)
  {
    inject_into_command(command);
    if (drops(command)) {
      ApplyResult result;
      result.accepted = true;
      return result;
    }
    ApplyResult result = m_state.apply(index, command);
    inject_into_result(index, command, result);
    return result;
  }

  // Restores a snapshot into a new state machine.
  // \return whether the snapshot of the new one is equal; without a check if a fault is injected.
  bool restart()
  {
    const Bytes before = m_state.snapshot();
    json fields = json::from_cbor(before);
    if (m_fault == Fault::SnapshotLosesClaims) {
      fields["claims"] = json::array();
    } else if (m_fault == Fault::SnapshotLosesHistory) {
      fields["config"]["changes"] = json::array();
    } else if (m_fault == Fault::SnapshotLosesDepartures) {
      fields["directory"]["left_hosts"] = json::array();
    } else if (m_fault == Fault::SnapshotLosesUnknownDepartures) {
      fields["directory"]["left_unknown"] = json::array();
    } else if (m_fault == Fault::SnapshotLosesEvacuations) {
      fields.erase("evacuations");
    }
    StateMachine next(kSmallLimits);
    if (next.restore(json::to_cbor(fields)).has_error()) {
      return false;
    }
    m_state = std::move(next);
    return m_fault != Fault::None || m_state.snapshot() == before;
  }

private:
  void inject_into_command(Command& command)
  {
    if (const auto* order = std::get_if<EvacuateDomain>(&command);
        order != nullptr && m_fault == Fault::RepeatedEvacuationGetsNewIndex && order->active) {
      m_state.apply(m_state.applied_index() + 1,
                    EvacuateDomain{ .failure_domain = order->failure_domain, .active = false });
    }
    if (auto* join = std::get_if<JoinHost>(&command);
        join != nullptr && m_fault == Fault::EarlierIncarnationWins) {
      join->host.incarnation = 3;
    }
    if (auto* leave = std::get_if<LeaveHost>(&command);
        leave != nullptr && m_fault == Fault::LeaveOfEarlierIncarnationCounts) {
      leave->incarnation = 3;
    }
    auto* server_leave = std::get_if<LeaveServer>(&command);
    if (server_leave != nullptr && m_fault == Fault::LeaveCountsForTheKnownIncarnationOnly &&
        knows_server(server_leave->id)) {
      server_leave->incarnation = std::numeric_limits<std::uint64_t>::max();
    }
    auto* claim = std::get_if<ClaimKey>(&command);
    if (claim != nullptr && m_fault == Fault::HolderNeverGone) {
      claim->holder = "nobody";
    }
  }

  bool knows_server(const ServerId& id) const
  {
    const auto servers = m_state.servers("s");
    return std::any_of(
      servers.begin(), servers.end(), [&](const ServerInfo& server) { return server.id == id; });
  }

  bool drops(const Command& command) const
  {
    const auto* leave = std::get_if<LeaveServer>(&command);
    if (leave != nullptr && m_fault == Fault::LeaveOfAnUnknownServerIsForgotten) {
      return !knows_server(leave->id);
    }
    const auto* order = std::get_if<EvacuateDomain>(&command);
    if (order != nullptr && m_fault == Fault::WithdrawalIsIgnored) {
      return !order->active;
    }
    const auto* record = std::get_if<RecordOutcome>(&command);
    return record != nullptr && m_fault == Fault::KeyKeptAfterNotRun &&
           record->outcome == OutcomeKind::NotRun &&
           m_state.key_status("s", record->key).has_value() &&
           m_state.key_status("s", record->key)->attempt == record->attempt;
  }

  void inject_into_result(std::uint64_t index, const Command& command, ApplyResult& result)
  {
    const bool conflict = result.error && !result.winner_file.empty();
    if (m_fault == Fault::SecondWinner && conflict) {
      result = {};
      result.accepted = true;
      result.revision = index;
    } else if (m_fault == Fault::ConflictWithoutWinner) {
      result.winner_file.clear();
    } else if (m_fault == Fault::ConflictWithoutNextNumber) {
      result.next_free_number = 0;
    } else if (m_fault == Fault::ResentChangeGetsNewRevision && result.revision != 0) {
      result.revision = index;
    } else if (m_fault == Fault::KeyGrantedTwice && result.claim == ClaimStatus::InProgress) {
      result.claim = ClaimStatus::Granted;
    } else if ((m_fault == Fault::MistakesAccepted && std::get_if<SubmitChange>(&command)) ||
               (m_fault == Fault::EndedAttemptRecords && std::get_if<RecordOutcome>(&command))) {
      result.error.reset();
      result.accepted = true;
    } else if (m_fault == Fault::ExpiryEndsOpenClaims && std::get_if<ExpireOutcomes>(&command)) {
      for (const char* host : { "h0", "h1" }) {
        m_state.apply(index + 1, LeaveHost{ .id = host, .incarnation = 9 });
      }
    }
  }

  Fault m_fault;
  StateMachine m_state{ kSmallLimits };
};

void
compare_result(const ApplyResult& got, const ApplyResult& expected)
{
  RC_ASSERT(got.accepted == expected.accepted);
  RC_ASSERT(got.error.has_value() == expected.error.has_value());
  if (got.error) {
    RC_ASSERT(got.error->kind == expected.error->kind);
    RC_ASSERT(!got.error->message.empty() && !got.error->remedy.empty());
  }
  RC_ASSERT(got.claim == expected.claim);
  RC_ASSERT(got.stored_response.has_value() == expected.stored_response.has_value());
  RC_ASSERT(!got.stored_response ||
            got.stored_response->status == expected.stored_response->status);
  RC_ASSERT(got.revision == expected.revision);
  RC_ASSERT(got.winner_file == expected.winner_file);
  RC_ASSERT(got.next_free_number == expected.next_free_number);
}

void
compare_state(const StateMachine& state, const Oracle& oracle)
{
  RC_ASSERT(json(*state.configuration()) == json(oracle.configuration()));
  std::map<HostId, std::uint64_t> hosts;
  for (const HostInfo& host : state.hosts()) {
    hosts[host.id] = host.incarnation;
  }
  RC_ASSERT(hosts == oracle.hosts);
  std::map<ServerId, std::uint64_t> servers;
  for (const ServerInfo& server : state.servers("s")) {
    servers[server.id] = server.incarnation;
  }
  RC_ASSERT(servers == oracle.servers);
  std::map<std::string, std::uint64_t> evacuations = oracle.evacuations;
  std::erase_if(evacuations, [](const auto& entry) { return entry.second == 0; });
  RC_ASSERT(state.evacuations() == evacuations);
  for (const char* key : { "k0", "k1", "k2", "k3" }) {
    const auto got = state.key_status("s", key);
    const auto expected = oracle.key_status(key);
    RC_ASSERT(got.has_value() == expected.has_value());
    RC_ASSERT(!got || (got->status == expected->status && got->attempt == expected->attempt));
  }
  const ClaimUsage usage = state.claim_usage();
  RC_ASSERT(usage.entries <= kSmallLimits.claim_capacity);
  RC_ASSERT(usage.bytes <= kSmallLimits.max_claim_bytes);
}

void
run_steps(Fault fault, const std::vector<Step>& steps)
{
  Subject subject(fault);
  Oracle oracle;
  std::uint64_t index = 0;
  for (const Step& step : steps) {
    index += 2;
    if (step.action == kSnapshotAction) {
      RC_ASSERT(subject.restart());
    } else {
      const Command command = make_command(step);
      compare_result(subject.apply(index, command), oracle.apply(index, command));
    }
    compare_state(subject.state(), oracle);
  }
}

// Compares the results of random command sequences with the oracle. The seed is fixed, so that the
// sequences are always the same.
rc::detail::TestResult
check_against_oracle(Fault fault)
{
  const rc::detail::TestParams params{ .seed = kSeed,
                                       .maxSuccess = kSequences,
                                       .disableShrinking = fault != Fault::None };
  const auto step =
    rc::gen::build<Step>(rc::gen::set(&Step::action, rc::gen::inRange(0, kEvacuationAction + 1)),
                         rc::gen::set(&Step::a, rc::gen::inRange(0, 9)),
                         rc::gen::set(&Step::b, rc::gen::inRange(0, 8)),
                         rc::gen::set(&Step::c, rc::gen::inRange(0, 9)));
  return rc::detail::checkTestable(
    [&] { run_steps(fault, *rc::gen::container<std::vector<Step>>(kSteps, step)); },
    rc::detail::TestMetadata{},
    params);
}

// Guards against two accepted changes with the same number, a resent change that gets a new result,
// a key granted to two attempts, an outcome recorded after NotRun, an earlier incarnation that
// replaces a later one, and a snapshot that differs from the state.
TEST(StateProperty, EqualsTheOracle)
{
  const rc::detail::TestResult result = check_against_oracle(Fault::None);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

// Verifies that the comparison can fail: it must detect each injected fault.
TEST(StateProperty, FindsEachDeliberateFault)
{
  for (int fault = 1; fault <= static_cast<int>(kLastFault); ++fault) {
    const rc::detail::TestResult result = check_against_oracle(static_cast<Fault>(fault));
    EXPECT_TRUE(result.is<rc::detail::FailureResult>()) << "fault " << fault << " was not found";
  }
}

} // namespace
} // namespace lovagehold
