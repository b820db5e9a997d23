#pragma once

#include "lovagehold/state_machine.h"

#include <map>
#include <optional>

namespace lovagehold {

/// A command as it stands in the log, with what is needed to apply it once.
struct Proposal
{
  std::uint64_t client = 0;
  std::uint64_t id = 0;
  std::uint64_t lowest_pending = 1;
  Bytes command;
};

Bytes encode(const Proposal& proposal);
/// \return the proposal, or Protocol if the bytes are none.
Result<Proposal> decode_proposal(const Bytes& bytes);

struct ReplicatedStateOptions
{
  StateMachineOptions machine;
  /// Clients remembered; the one that proposed the longest ago is forgotten first.
  std::size_t clients = 8192;
};

/// The state machine with the memory of who proposed what, so that a proposal that was sent again
/// is applied once. Deterministic, as the state machine is. Not thread-safe.
class ReplicatedState
{
public:
  struct Applied
  {
    std::uint64_t client = 0;
    std::uint64_t id = 0;
    ApplyResult result;
  };

  explicit ReplicatedState(ReplicatedStateOptions options = {});

  /// Applies the payload of the log entry; an index applied before is ignored.
  /// \param payload an encoded Proposal, or empty for an entry without a command
  /// \return the proposal's result, also if it was applied under an earlier index
  std::optional<Applied> apply(std::uint64_t index, const Bytes& payload);

  /// \return the result if the proposal has been applied and its client may still wait.
  const ApplyResult* find_result(std::uint64_t client, std::uint64_t id) const;

  std::uint64_t applied_index() const { return m_machine.applied_index(); }
  const StateMachine& machine() const { return m_machine; }

  Bytes snapshot() const;
  /// \return Protocol if the bytes are no snapshot; the state is then unchanged.
  Result<void> restore(const Bytes& snapshot);

private:
  struct Session
  {
    std::uint64_t lowest = 1;
    std::uint64_t last_index = 0;
    std::map<std::uint64_t, ApplyResult> results;
  };

  Session& touch(std::uint64_t client, std::uint64_t index);

  ReplicatedStateOptions m_options;
  StateMachine m_machine;
  std::map<std::uint64_t, Session> m_sessions;
  /// Clients by the index of their last proposal.
  std::map<std::uint64_t, std::uint64_t> m_by_use;
};

} // namespace lovagehold
