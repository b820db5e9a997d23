#pragma once

#include "lovagehold/state_machine.h"

#include <set>

namespace lovagehold::testing_oracle {

/// Limits so small that short command sequences reach all of them.
inline constexpr StateMachineOptions kSmallLimits{ .claim_capacity = 3,
                                                   .max_claim_bytes = 3 * kMaxStoredBodyBytes,
                                                   .history_count = 2,
                                                   .folded_count = 2 };

/// Reference implementation of the replicated state for tests, written as simply as possible: it
/// merges all changes each time and has no indexes and no folding.
class Oracle
{
public:
  ApplyResult apply(std::uint64_t index, const Command& command);

  Configuration configuration() const;
  std::optional<KeyStatus> key_status(const std::string& key) const;
  std::map<HostId, std::uint64_t> hosts;
  std::map<ServerId, std::uint64_t> servers;
  std::map<std::string, std::uint64_t> evacuations;

private:
  struct Change
  {
    std::string file_name;
    std::string content;
    std::uint64_t revision = 0;
  };
  struct Claim
  {
    Digest digest{};
    std::string attempt;
    HostId holder;
    ClaimStatus status = ClaimStatus::InProgress;
    StoredResponse stored_response;
    WallTime expires{};
  };

  ApplyResult apply_one(const SubmitChange& change);
  ApplyResult apply_one(const ClaimKey& claim);
  ApplyResult apply_one(const RecordOutcome& record);
  ApplyResult apply_one(const JoinServer& join);
  ApplyResult apply_one(const LeaveServer& leave);
  ApplyResult apply_one(const JoinHost& join);
  ApplyResult apply_one(const LeaveHost& leave);
  ApplyResult apply_one(const ExpireOutcomes& expire);
  ApplyResult apply_one(const ReplaceRouting& replace);
  ApplyResult apply_one(const ChangeRouting& change);
  ApplyResult apply_one(const EvacuateDomain& order);
  void end_claims_of(const HostId& host);

  std::uint64_t m_index = 0;
  ReplaceRouting m_routing;
  std::map<std::uint64_t, Change> m_changes;
  // Numbers of the changes that keep their content, and of the folded ones that are remembered.
  std::set<std::uint64_t> m_recent;
  std::set<std::uint64_t> m_remembered;
  std::uint64_t m_folded_through = 0;
  std::uint64_t m_revision = 0;
  std::map<std::string, Claim> m_claims;
  std::map<HostId, std::uint64_t> m_left_hosts;
  std::map<ServerId, std::uint64_t> m_left_servers;
};

} // namespace lovagehold::testing_oracle
