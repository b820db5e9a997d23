#pragma once

#include "lovagehold/state_machine.h"

#include <map>
#include <optional>

namespace lovagehold {

/// Payload of a command entry: an encoded command, with the ids by which it is recognized if it is
/// sent again.
struct Proposal
{
  std::uint64_t client = 0;
  /// Unique among the proposals of the client.
  std::uint64_t id = 0;
  /// Lowest id for which the client still expects a result; lower ids are not applied any more.
  std::uint64_t lowest_pending = 1;
  Bytes command;
};

Bytes encode(const Proposal& proposal);
/// \return the proposal, or an error of kind Protocol if the bytes are malformed.
Result<Proposal> decode_proposal(const Bytes& bytes);

struct ReplicatedStateOptions
{
  StateMachineOptions machine;
  /// Maximum number of client sessions; the least recently used one is dropped first.
  std::size_t max_clients = 8192;
};

/// The state machine and a session for each client, which holds the results of its proposals, so
/// that a proposal that is sent again is applied only once. Deterministic, like the state machine.
/// Not thread-safe.
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

  /// Applies the payload of the log entry at the index; an index applied before is ignored.
  /// \param payload an encoded Proposal, or empty for an entry without a command
  /// \return the proposal's result, also if it was applied at an earlier index; nullopt if there is
  /// none
  std::optional<Applied> apply(std::uint64_t index, const Bytes& payload);

  /// \return the result of an applied proposal whose client may still wait for it, or null.
  const ApplyResult* find_result(std::uint64_t client, std::uint64_t id) const;

  std::uint64_t applied_index() const { return m_machine.applied_index(); }
  const StateMachine& machine() const { return m_machine; }

  Bytes snapshot() const;
  /// \return an error of kind Protocol if the bytes are malformed; the state is then unchanged.
  Result<void> restore(const Bytes& snapshot);

private:
  struct Session
  {
    std::uint64_t lowest_pending = 1;
    /// Log index of the client's last proposal.
    std::uint64_t last_index = 0;
    /// By proposal id.
    std::map<std::uint64_t, ApplyResult> results;
  };

  /// Creates the client's session if necessary and marks it as the most recently used.
  Session& touch(std::uint64_t client, std::uint64_t index);

  ReplicatedStateOptions m_options;
  StateMachine m_machine;
  std::map<std::uint64_t, Session> m_sessions;
  /// Clients by the log index of their last proposal.
  std::map<std::uint64_t, std::uint64_t> m_clients_by_last_index;
};

} // namespace lovagehold
