#pragma once

#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace lovagehold {

/// Registry of the servers and hosts that have joined and not left. Remembers the last incarnation
/// of a limited number of departed ones, so that a delayed join is rejected. Deterministic.
class Directory
{
public:
  explicit Directory(const StateMachineOptions& options);

  ApplyResult join(const ServerInfo& server, std::uint64_t index);
  ApplyResult leave(const LeaveServer& leave, std::uint64_t index);
  /// \param new_incarnation set if the host was not joined before with this incarnation
  ApplyResult join(const HostInfo& host, std::uint64_t index, bool& new_incarnation);
  /// Also records that a host released its services after it had left.
  /// \param left set if the host was joined and has left now
  ApplyResult leave(const LeaveHost& leave, std::uint64_t index, bool& has_left);

  /// \param service empty to consider only leaves that name no service
  /// \return whether a leave of this incarnation of the server, or of a later one, is remembered;
  /// always false for incarnation 0. Such a server can't join.
  bool has_left(const ServiceName& service, const ServerId& id, std::uint64_t incarnation) const;
  std::vector<ServerInfo> servers(const ServiceName& service) const;
  std::vector<ServerInfo> all_servers() const;
  /// \param index a log index
  /// \return the services whose servers changed after the index; nullopt if that is not known,
  /// because the registry was restored since or very many services have changed
  std::optional<std::set<ServiceName>> changed_since(std::uint64_t index) const;
  /// \return log index of the last change of the servers
  std::uint64_t servers_index() const;
  std::vector<HostInfo> hosts() const;
  std::uint64_t view() const { return m_view; }
  MembershipView membership() const;
  /// Whether the incarnation of the host may claim keys: the host has not left and no later
  /// incarnation has joined. Hosts that have never joined may claim keys.
  /// \param incarnation 0 if not known
  bool may_claim(const HostId& id, std::uint64_t incarnation) const;

  nlohmann::json snapshot() const;
  /// Throws std::exception if the fields are malformed.
  /// \param index log index of the restored state
  void restore(const nlohmann::json& fields, std::uint64_t index);

private:
  /// \return DepartedHost::known_members for the leaving host.
  std::vector<HostId> known_members_of(const LeaveHost& leave, std::uint64_t joined_view) const;

  /// The service is empty in leaves that name none.
  using ServerKey = std::pair<ServiceName, ServerId>;
  struct Departed
  {
    std::uint64_t incarnation = 0;
    /// Hosts only: whether the host released its services.
    bool released = false;
    /// Log index of the departure.
    std::uint64_t index = 0;
    /// Hosts only: see DepartedHost.
    std::vector<HostId> known_members;
  };
  /// \param departed the earlier departure of the host; null if there is none
  void remember_early_leave(const LeaveHost& leave, Departed* departed, std::uint64_t index);
  /// Departed hosts or servers; above a limit, the earliest departures are dropped.
  template<class Key>
  struct Departures
  {
    std::map<Key, Departed> by_key;
    std::map<std::uint64_t, Key> by_index;
    void add(const Key& key, const Departed& departed, std::size_t limit);
    void remove(const Key& key);
    const Departed* find(const Key& key) const;
    Departed* find(const Key& key);
  };

  /// Records a departure, unless a later incarnation of the server is recorded already.
  /// \param known whether an incarnation of the server had joined
  void remember(const ServerKey& key, std::uint64_t incarnation, bool known, std::uint64_t index);

  void mark_changed(const ServiceName& service, std::uint64_t index);

  std::size_t m_departed_limit;
  std::size_t m_unknown_limit;
  std::uint64_t m_view = 0;
  std::map<ServiceName, std::map<ServerId, ServerInfo>> m_servers;
  /// Log index of the last change of each service's servers after m_known_since, and the reverse.
  std::map<ServiceName, std::uint64_t> m_changed_at;
  std::set<std::pair<std::uint64_t, ServiceName>> m_changes;
  /// Log index from which on all changes are known.
  std::uint64_t m_known_since = 0;
  std::map<HostId, HostInfo> m_hosts;
  /// View in which the joined incarnation of each host joined.
  std::map<HostId, std::uint64_t> m_joined_views;
  Departures<HostId> m_left_hosts;
  Departures<ServerKey> m_left_servers;
  /// Departures of servers that had not joined.
  Departures<ServerKey> m_left_unknown;
};

} // namespace lovagehold
