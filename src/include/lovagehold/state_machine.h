#pragma once

#include "lovagehold/command.h"
#include "lovagehold/declaration.h"
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

/// Outcome of a key as told to callers that ask later.
struct KeyStatus
{
  ClaimStatus status = ClaimStatus::Unknown;
  std::string attempt;
  std::optional<StoredAnswer> answer;
};

struct StateMachineOptions
{
  /// Keys kept at most; claims past it are refused.
  std::size_t claim_capacity = 1'000'000;
  /// Bytes of stored answers kept at most.
  std::size_t answer_bytes = std::size_t{ 1 } << 30;
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

  std::uint64_t applied_index() const;

  /// \return the merged configuration, never null; a new object for each accepted change.
  std::shared_ptr<const Configuration> configuration() const;

  std::vector<ChangeRecord> changes() const;

  /// \return servers of the service that have joined and not left.
  std::vector<ServerInfo> servers(const ServiceName& service) const;

  std::vector<ServerInfo> all_servers() const;

  /// \return hosts that have joined and not left.
  std::vector<HostInfo> hosts() const;

  /// \return status of the key; nothing if it was never claimed or is free again.
  std::optional<KeyStatus> key_status(const ServiceName& service, const std::string& key) const;

  /// Log index of the last JoinHost or LeaveHost; names the membership view.
  std::uint64_t view() const;

  /// Log index of the last command that changed the configuration, the servers or the hosts. Claims
  /// and outcomes leave it as it is.
  std::uint64_t routes_index() const;

  /// \return members of the current view and the hosts that left without a release.
  Membership membership() const;

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
