#pragma once

#include "lovagehold/command.h"
#include "lovagehold/declaration_merger.h"
#include "lovagehold/membership.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagehold {

/// An accepted configuration change with its content, as `lovagectl history` and `show` print it.
struct ChangeRecord
{
  std::uint64_t number = 0;
  std::uint64_t revision = 0;
  std::string file_name;
  std::string content;
};

/// What is kept of a change whose content has been folded, that is, merged into a base
/// configuration and dropped.
struct FoldedChange
{
  std::uint64_t number = 0;
  std::uint64_t revision = 0;
  std::string file_name;
  /// Result of content_hash().
  std::uint64_t content_hash = 0;
};

/// \return a hash that identifies the content of a change.
std::uint64_t content_hash(const std::string& content);

/// Status of an idempotency key, as reported to callers.
struct KeyStatus
{
  ClaimStatus status = ClaimStatus::Unknown;
  std::string attempt;
  std::optional<StoredResponse> stored_response;
};

/// Space used by the claims.
struct ClaimUsage
{
  std::size_t entries = 0;
  /// Entries whose attempt has not ended.
  std::size_t open = 0;
  /// Bytes of names and stored responses, and bytes reserved for the responses of open entries.
  std::size_t bytes = 0;
};

/// Limits of the replicated state. Must be equal on all replicas.
struct StateMachineOptions
{
  /// Maximum number of idempotency keys; further claims are rejected.
  std::size_t claim_capacity = 1'000'000;
  /// Maximum of ClaimUsage::bytes; each open claim reserves kMaxStoredBodyBytes and room for a
  /// content type.
  std::size_t max_claim_bytes = std::size_t{ 1 } << 30;
  /// Maximum number, and total bytes, of changes that keep their content; those with the lowest
  /// numbers are folded.
  std::size_t history_count = 1000;
  std::size_t history_bytes = std::size_t{ 4 } << 20;
  /// Folded changes whose number, name and content hash are kept, so that a resent one gets its
  /// first result; smaller numbers are rejected. Covers about 9 h at 53,000 changes a day.
  std::size_t folded_count = 20'000;
  /// Maximum number of departed hosts, and of departed servers, whose incarnation is remembered.
  std::size_t departed_limit = 20'000;
  /// The same for servers that leave without having joined. Control hosts limit the rate of these
  /// leaves, so that each is remembered for at least a minute; delayed announcements are late by
  /// seconds.
  std::size_t unknown_departed_limit = 4096;
};

/// Changes of the routing configuration in the order of their versions, each based on the version
/// of the one before.
using RoutingChanges = std::vector<std::shared_ptr<const RoutingChange>>;

/// The failure domains that are evacuated, each with the log index of the order.
using Evacuations = std::map<std::string, std::uint64_t>;

/// The replicated state: configuration changes, routing configuration, evacuations, claims, servers
/// and hosts.
/// Deterministic: equal commands in equal order give equal states. Not thread-safe.
class StateMachine
{
public:
  explicit StateMachine(StateMachineOptions options = {});
  ~StateMachine();
  StateMachine(StateMachine&&) noexcept;
  StateMachine& operator=(StateMachine&&) noexcept;

  /// Applies the command at the log index. Indexes increase; an index applied before is ignored.
  ApplyResult apply(std::uint64_t index, const Command& command);

  /// Advances the applied index past a log entry that has no command to apply.
  void skip(std::uint64_t index);

  std::uint64_t applied_index() const;

  /// \return the merged configuration, never null. Each accepted change creates a new object.
  std::shared_ptr<const Configuration> configuration() const;

  /// \return the version of the routing configuration in force; 0 before the first one
  std::uint64_t routing_version() const;

  /// \return the operator's document of the routing configuration in force. The time for it depends
  /// on the size of the document.
  std::string routing_document() const;

  /// \return the changes from the version to the one in force; nullopt if they are not known: the
  /// version is not one of this log, the configuration was replaced as a whole or the state
  /// restored since, or there were too many changes
  std::optional<RoutingChanges> routing_changes_since(std::uint64_t version) const;

  /// \return the evacuations in force. A repeated order keeps the index of the first one.
  const Evacuations& evacuations() const;

  /// \return the changes that still have their content, ordered by number.
  std::vector<ChangeRecord> changes() const;

  /// \return the largest number of a folded change, or nullopt if there is none.
  std::optional<std::uint64_t> folded_through() const;

  /// \return the folded changes that are remembered, ordered by number.
  std::vector<FoldedChange> folded_changes() const;

  /// \return the file that set each value of the merged configuration.
  const Origins& origins() const;

  /// \return one more than the largest number used.
  std::uint64_t next_free_number() const;

  /// \return the servers of the service that have joined and not left.
  std::vector<ServerInfo> servers(const ServiceName& service) const;

  std::vector<ServerInfo> all_servers() const;

  /// \param index a log index
  /// \return the services whose servers changed after the index; nullopt if that is not known,
  /// because the state was restored since or very many services have changed
  std::optional<std::set<ServiceName>> services_changed_since(std::uint64_t index) const;

  /// \return log index of the last change of the servers; identifies all_servers()
  std::uint64_t servers_index() const;

  /// \param service empty to consider only leaves that name no service
  /// \return whether this incarnation of the server has left, or a later one, and can't join. False
  /// if that is not remembered any more, and for incarnation 0.
  bool has_left(const ServiceName& service, const ServerId& id, std::uint64_t incarnation) const;

  /// \return the hosts that have joined and not left.
  std::vector<HostInfo> hosts() const;

  /// \return the status of the key, or nullopt if it may be claimed.
  std::optional<KeyStatus> key_status(const ServiceName& service, const std::string& key) const;

  ClaimUsage claim_usage() const;

  /// Log index of the last command that changed the membership of hosts; identifies the view.
  std::uint64_t view() const;

  /// Log index of the last accepted command that may have changed the configuration, the routing
  /// configuration, the servers or the hosts; claims and outcomes are not counted.
  std::uint64_t routes_index() const;

  /// \return the members of the current view and the hosts that left without releasing their
  /// services.
  MembershipView membership() const;

  /// \return the whole state as CBOR.
  Bytes snapshot() const;

  /// Replaces the state.
  /// \return an error of kind Protocol if the bytes are malformed; the state is then unchanged.
  Result<void> restore(const Bytes& snapshot);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
