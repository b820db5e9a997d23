#pragma once

#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

/// Servers and hosts that have joined and not left. Remembers the last incarnation of a bounded
/// number of those that left, so that a delayed join can't bring them back. Deterministic.
class Directory
{
public:
  explicit Directory(const StateMachineOptions& options);

  ApplyResult join(const ServerInfo& server, std::uint64_t index);
  ApplyResult leave(const LeaveServer& leave, std::uint64_t index);
  /// \param replaced set if an earlier incarnation of the host was known as joined
  ApplyResult join(const HostInfo& host, std::uint64_t index, bool& replaced);
  /// A release by a host whose session was ended before is noted as well.
  /// \param left set if the host was joined and has left now
  ApplyResult leave(const LeaveHost& leave, std::uint64_t index, bool& left);

  std::vector<ServerInfo> servers(const ServiceName& service) const;
  std::vector<ServerInfo> all_servers() const;
  std::vector<HostInfo> hosts() const;
  std::uint64_t view() const { return m_view; }
  bool left_released(const HostId& id) const;
  MembershipView membership() const;
  /// Whether the incarnation of the host may claim keys: the host has not left and no later
  /// incarnation has joined. Hosts that never joined may. \param incarnation 0 if not known
  bool may_hold(const HostId& id, std::uint64_t incarnation) const;

  nlohmann::json snapshot() const;
  /// Throws if the fields are no snapshot.
  void restore(const nlohmann::json& fields);

private:
  void remember_unknown(const LeaveServer& leave, std::uint64_t index);
  std::vector<HostId> rivals_of(const LeaveHost& leave, std::uint64_t joined_view) const;

  using ServerKey = std::pair<ServiceName, ServerId>;
  struct Departed
  {
    std::uint64_t incarnation = 0;
    bool released = false;
    std::uint64_t index = 0;
    /// Hosts only: see DepartedHost.
    std::vector<HostId> known_members;
  };
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

  std::size_t m_departed_limit;
  std::uint64_t m_view = 0;
  std::map<ServiceName, std::map<ServerId, ServerInfo>> m_servers;
  std::map<HostId, HostInfo> m_hosts;
  /// View in which the present incarnation of each host joined.
  std::map<HostId, std::uint64_t> m_joined_views;
  Departures<HostId> m_left_hosts;
  Departures<ServerKey> m_left_servers;
};

} // namespace lovagehold
