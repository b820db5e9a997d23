#pragma once

#include "lovagehold/dispatcher.h"
#include "server_state.h"

#include <unordered_map>

namespace lovagehold {

/// The servers of one service: eligibility, choice of a server, stragglers and probes. A server
/// keeps its index while attempts run on it.
class ServerTable
{
public:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  explicit ServerTable(const DispatcherOptions& options);

  SlotShare share() const { return m_share; }
  void set_share(SlotShare share);

  void set(const ServerInfo& info, TimePoint now);
  void renew(const ServerId& id, TimePoint now);
  void remove(const ServerId& id);

  /// Result of one pass over the servers.
  struct Choice
  {
    std::size_t best = kNone;
    /// Another server, for requests that should avoid the best one.
    std::size_t alternative = kNone;
    unsigned usable_slots = 0;
    /// Servers that are renewed and not leaving.
    unsigned eligible = 0;
    unsigned idle_slots = 0;
  };
  Choice choose(TimePoint now);

  ServerState& at(std::size_t index) { return m_servers[index]; }
  void acquire(std::size_t index);
  /// Also takes up what at() changed.
  void release(std::size_t index);

  void on_success(std::size_t index, Duration service_time, TimePoint now);

  /// An attempt was cancelled because another one won: its service time is at least \p elapsed.
  void on_lost_race(std::size_t index, Duration elapsed);

  /// \return whether an attempt that ended without a response ran so long that the server, not the
  /// time spent in the queue, is the cause.
  bool is_overdue(std::size_t index, Duration elapsed) const;

  /// Takes up a probe's result. Probes that are not running are ignored.
  void on_probe(const ServerId& id, bool healthy, Duration elapsed, TimePoint now);

  /// Ends ejections whose time is over and appends the probes that are due.
  void check(TimePoint now, Actions& actions);
  /// \return when check() or choose() has to be called; TimePoint::max() if no timer runs.
  TimePoint next_check(TimePoint now) const;

  std::size_t size() const { return m_index.size(); }
  unsigned eligible_count(TimePoint now) const;

private:
  /// What each decision reads of a server, apart from the rest of its state: a decision at one of
  /// thousands of services otherwise waits for several cache misses per server.
  struct Summary
  {
    TimePoint eligible_until = TimePoint::min();
    /// When the limits or a probe have to be looked at again.
    TimePoint check_at = TimePoint::max();
    /// End of the time in which a server on probation ranks last.
    TimePoint last_until = TimePoint::min();
    std::uint16_t in_use = 0;
    std::uint16_t limit = 0;
    /// Limit while too many servers are out.
    std::uint16_t panic_limit = 0;
    std::int16_t speed_class = 0;
  };

  DispatcherOptions m_options;
  SlotShare m_share = SlotShare::Full;
  std::vector<Summary> m_summaries;
  std::vector<ServerState> m_servers;
  std::vector<std::size_t> m_free;
  std::unordered_map<ServerId, std::size_t> m_index;
  std::size_t m_rotation = 0;
  std::optional<TimePoint> m_first_join;
  Duration m_median{};
  unsigned m_until_comparison = 0;

  unsigned share_limit(const ServerState& server) const;
  void refresh(std::size_t index);
  void check_server(std::size_t index, TimePoint now, Actions& actions);
  void pick(Choice& choice, bool panic, TimePoint now) const;
  void compare_service_times(TimePoint now);
  std::optional<TimePoint> probe_due(const ServerState& server) const;
  void erase_if_drained(std::size_t index);
};

} // namespace lovagehold
