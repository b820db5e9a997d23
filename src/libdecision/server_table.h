#pragma once

#include "lovagehold/dispatcher.h"
#include "server_state.h"

#include <unordered_map>

namespace lovagehold {

/// The servers of one service: eligibility, server selection, outlier detection and probes. A
/// server keeps its index while attempts are in flight on it.
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

  /// Result of a pass over the servers.
  struct Choice
  {
    std::size_t best = kNone;
    /// Second best server, for requests that should avoid the best one.
    std::size_t alternative = kNone;
    unsigned usable_slots = 0;
    /// Servers whose renewal is recent and that are not leaving.
    unsigned eligible = 0;
    unsigned idle_slots = 0;
  };
  Choice choose(TimePoint now);

  ServerState& at(std::size_t index) { return m_servers[index]; }
  void acquire(std::size_t index);
  /// Also applies changes made through at().
  void release(std::size_t index);

  void on_success(std::size_t index, Duration service_time, TimePoint now);

  /// An attempt was cancelled because another one won: its service time is at least \p elapsed.
  void on_lost_race(std::size_t index, Duration elapsed);

  /// \return whether an attempt that ended without a response ran so long that the server is the
  /// cause, not the time that the request spent in the queue.
  bool is_overdue(std::size_t index, Duration elapsed) const;

  /// Applies a probe's result. Ignored if no probe of the server is pending.
  void on_probe(const ServerId& id, bool healthy, Duration elapsed, TimePoint now);

  /// Updates the servers whose timers have expired and appends the probes that are due.
  void check(TimePoint now, Actions& actions);
  /// \return when check() or choose() has to be called; TimePoint::max() if no timer is
  /// pending.
  TimePoint next_check(TimePoint now) const;

  std::size_t size() const { return m_index.size(); }
  unsigned eligible_count(TimePoint now) const;

private:
  /// The fields that server selection reads, stored compactly and apart from the rest of the
  /// server's state: with thousands of services, each selection otherwise takes several cache
  /// misses per server.
  struct Summary
  {
    TimePoint eligible_until = TimePoint::min();
    /// When the limits have to be recomputed or a probe is due.
    TimePoint check_at = TimePoint::max();
    /// A server on probation ranks last until this time.
    TimePoint ranked_last_until = TimePoint::min();
    std::uint16_t in_use = 0;
    std::uint16_t limit = 0;
    /// Limit in panic mode, while most servers are ejected or fully withheld.
    std::uint16_t panic_limit = 0;
    std::int16_t speed_class = 0;
  };

  DispatcherOptions m_options;
  SlotShare m_share = SlotShare::Full;
  std::vector<Summary> m_summaries;
  std::vector<ServerState> m_servers;
  /// Unused indices of m_servers.
  std::vector<std::size_t> m_free_indices;
  std::unordered_map<ServerId, std::size_t> m_index;
  /// Where the next selection starts, so that equally good servers take turns.
  std::size_t m_rotation = 0;
  std::optional<TimePoint> m_first_join;
  /// Median service time of the servers.
  Duration m_median_service_time{};
  /// Successes until the next comparison of the service times.
  unsigned m_successes_until_comparison = 0;

  unsigned share_limit(const ServerState& server) const;
  /// Recomputes the summary of a server after a change of its state.
  void update_summary(std::size_t index);
  void check_server(std::size_t index, TimePoint now, Actions& actions);
  void pick(Choice& choice, bool panic, TimePoint now) const;
  /// Starts and ends probations by comparing each server's service time with the median.
  void compare_service_times(TimePoint now);
  std::optional<TimePoint> probe_due(const ServerState& server) const;
  void erase_if_drained(std::size_t index);
};

} // namespace lovagehold
