#pragma once

#include "lovagehold/command.h"
#include "lovagehold/declaration_merger.h"
#include "lovagehold/membership.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagehold {

/// What a change file did; kept for `lovagectl history` and `show`.
struct ChangeRecord
{
  std::uint64_t number = 0;
  std::uint64_t revision = 0;
  std::string file_name;
  std::string content;
};

/// What is kept of a change that has been folded into the base.
struct FoldedChange
{
  std::uint64_t number = 0;
  std::uint64_t revision = 0;
  std::string file_name;
  /// As content_hash() gives it.
  std::uint64_t content_hash = 0;
};

/// Identifies the content of a change without keeping it.
std::uint64_t content_hash(const std::string& content);

/// Outcome of a key as told to callers that ask later.
struct KeyStatus
{
  ClaimStatus status = ClaimStatus::Unknown;
  std::string attempt;
  std::optional<StoredResponse> stored_response;
};

/// Room that the claims take.
struct ClaimUsage
{
  std::size_t entries = 0;
  /// Entries whose attempt has not ended.
  std::size_t open = 0;
  /// Names and answers, and the room reserved for the answers of open entries.
  std::size_t bytes = 0;
};

/// Limits of the state; equal on all replicas.
struct StateMachineOptions
{
  /// Keys kept at most; claims past it are refused.
  std::size_t claim_capacity = 1'000'000;
  /// Bytes of stored answers kept at most; each open claim reserves kMaxStoredBodyBytes of it.
  std::size_t answer_bytes = std::size_t{ 1 } << 30;
  /// Changes that keep their content; older ones are folded into a base.
  std::size_t history_count = 1000;
  std::size_t history_bytes = std::size_t{ 4 } << 20;
  /// Folded changes whose number, name and content hash are kept, so that a resent one gets its
  /// first result; smaller numbers are refused. About 9 h at 53,000 changes a day.
  std::size_t folded_count = 20'000;
  /// Hosts, and servers, that left and whose incarnation is remembered.
  std::size_t departed_limit = 20'000;
};

/// The replicated state: configuration changes, claims, servers and hosts. Deterministic: equal
/// commands in equal order give equal states. Not thread-safe.
class StateMachine
{
public:
  explicit StateMachine(StateMachineOptions options = {});
  ~StateMachine();
  StateMachine(StateMachine&&) noexcept;
  StateMachine& operator=(StateMachine&&) noexcept;

  /// Applies the command at the log index. Indexes grow by one; an index applied before is ignored.
  ApplyResult apply(std::uint64_t index, const Command& command);

  /// Advances the applied index over a log entry without a command to apply.
  void skip(std::uint64_t index);

  std::uint64_t applied_index() const;

  /// \return the merged configuration, never null; a new object for each accepted change.
  std::shared_ptr<const Configuration> configuration() const;

  /// \return the routing configuration in force, never null; version 0 before the first. A new
  /// object for each accepted one.
  std::shared_ptr<const ReplaceRouting> routing() const;

  /// \return changes that still have their content, by number.
  std::vector<ChangeRecord> changes() const;

  /// \return the largest number whose change has been folded; nothing if none has.
  std::optional<std::uint64_t> folded_through() const;

  /// \return the folded changes that are remembered, by number.
  std::vector<FoldedChange> folded_changes() const;

  /// Which file set each value of the merged configuration.
  const Origins& origins() const;

  /// \return one more than the largest number used.
  std::uint64_t next_free_number() const;

  /// \return servers of the service that have joined and not left.
  std::vector<ServerInfo> servers(const ServiceName& service) const;

  std::vector<ServerInfo> all_servers() const;

  /// \return hosts that have joined and not left.
  std::vector<HostInfo> hosts() const;

  /// \return status of the key; nothing if it was never claimed or is free again.
  std::optional<KeyStatus> key_status(const ServiceName& service, const std::string& key) const;

  ClaimUsage claim_usage() const;

  /// Log index of the last JoinHost or LeaveHost; names the membership view.
  std::uint64_t view() const;

  /// Log index of the last command that changed the configuration, the servers or the hosts. Claims
  /// and outcomes leave it as it is.
  std::uint64_t routes_index() const;

  /// \return members of the current view and the hosts that left without a release.
  MembershipView membership() const;

  /// Whether the host that left last under this id released its services.
  bool left_released(const HostId& id) const;

  /// \return the whole state as CBOR.
  Bytes snapshot() const;

  /// Replaces the state. \return Protocol if the bytes are no snapshot; the state is then
  /// unchanged.
  Result<void> restore(const Bytes& snapshot);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
