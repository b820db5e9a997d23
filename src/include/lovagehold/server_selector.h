#pragma once

#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagehold {

/// What a server says about its load in a response.
struct LoadReport
{
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  /// How long work takes on the server's machine at the moment; 1 as usual.
  double slowdown = 1;
};

/// How an attempt at a server ended, as far as it says something about the server.
enum class AttemptEnd
{
  Served,    ///< a complete response
  Shed,      ///< refused because the server is full
  Failed,    ///< an error response or a broken one
  Unreached, ///< no connection
  TimedOut,  ///< no response in time
  Abandoned, ///< the caller left or another attempt won
  Replaced,  ///< another server has the address
};

struct ServerSelectorOptions
{
  /// Own failure domain; a server in it is preferred among nearly equal ones.
  std::string failure_domain;
  /// Time constant with which a reported slowdown loses its meaning. Neighbours change every
  /// 300 ms.
  std::chrono::milliseconds slowdown_memory{ 300 };
  /// Slowdown expected of a server about which nothing is known: a quarter of the time a neighbour
  /// makes work four times as long.
  double usual_slowdown = 1.75;
  /// Slowdown of work when more than this share of the slots is taken.
  double knee = 0.8;
  double knee_slowdown = 1.7;
  /// Slowdown during a server's warm-up.
  double cold_slowdown = 2;
  /// Relative cost of leaving the failure domain.
  double remote_cost = 0.03;
  /// The same for each byte of the body: one of 60 KB costs a fifth of its request's worth.
  double remote_cost_per_byte = 8e-6;
  /// A server that can't be reached or fails in a row is avoided for this time, doubled with each
  /// further failure up to the maximum.
  std::chrono::milliseconds eject_base{ 500 };
  std::chrono::milliseconds eject_max{ 4000 };
  /// Failed responses in a row until a server is avoided.
  unsigned failures_to_eject = 2;
  /// Name of this host, which gives it its own choice of servers in a large service.
  std::string host;
  /// Servers of the own failure domain that are asked first. A small set is asked often enough that
  /// its connections stay open.
  std::size_t subset = 12;
  /// A probe takes up to 13 ms at an idle server: 6 ms of work, a round trip between failure
  /// domains and one for the connection.
  std::chrono::milliseconds unanswered_probe{ 19 };
  /// A load report older than this is refreshed before a choice.
  std::chrono::milliseconds fresh_report{ 20 };
  /// Probes that a server may get each second from all hosts together.
  double probes_per_second = 60;
  /// Share of these that is used; the rest covers the burst and hosts that count too few others.
  double probe_share = 0.75;
  /// Unused probes of this time may be sent at once.
  std::chrono::seconds probe_burst{ 8 };
};

/// Chooses a server of one service from load reports, own requests in progress and failures. Time
/// and randomness are arguments. Not thread-safe.
class ServerSelector
{
public:
  explicit ServerSelector(ServerSelectorOptions options);

  /// The hosts that receive callers share the probes.
  void set_hosts(std::size_t hosts) { m_hosts = hosts == 0 ? 1 : hosts; }

  /// Replaces the servers; what is known about those that stay is kept.
  void set_servers(const std::vector<ServerInfo>& servers, TimePoint now);

  /// \return the server with the lowest expected completion time; nothing if none is left
  /// \param tried servers not to be chosen
  /// \param body_bytes traffic between failure domains has its price
  std::optional<ServerInfo> pick(TimePoint now,
                                 const std::set<ServerId>& tried,
                                 std::size_t body_bytes,
                                 std::mt19937_64& random) const;

  /// \return servers whose load should be asked for before the next choice, best first; they count
  /// as probed. None if the budget for probes is used up or if the servers report no load.
  /// \param count most servers to return
  /// \param near_only only servers of the set that is asked first
  std::vector<ServerInfo> probe_targets(TimePoint now,
                                        std::size_t count,
                                        bool near_only,
                                        const std::set<ServerId>& tried,
                                        std::mt19937_64& random);

  /// A response of the server carried a load report.
  void report(const ServerId& id, const LoadReport& load, TimePoint now);

  /// A probe is on its way to the server. Until it is answered, the server is taken for full after
  /// unanswered_probe: health checks wait for a slot as other requests do.
  void begin_probe(const ServerId& id, TimePoint now);

  /// A probe was answered, with or without a load report before this call.
  void end_probe(const ServerId& id);

  /// A probe got no answer in time or a negative one.
  void probe_failed(const ServerId& id, bool unreachable, TimePoint now);

  /// An attempt begins.
  void begin(const ServerId& id, TimePoint now);

  /// An attempt ended. \param elapsed since begin
  void end(const ServerId& id, AttemptEnd end, Duration elapsed, TimePoint now);

  /// \return mean time of served requests; nothing before the first
  std::optional<Duration> usual_time() const;

  std::size_t size() const { return m_servers.size(); }

  /// \return own attempts in progress at all servers
  std::size_t in_progress() const;

  /// \return expected cost of the next request at the server relative to an idle one, for logs;
  /// 0 if the server is not known
  double cost(const ServerId& id, TimePoint now) const;

  /// \return whether the server can take another request without working slower
  bool has_room(const ServerId& id, TimePoint now) const;

  /// \return the last load report; without one an empty report
  LoadReport last_report(const ServerId& id) const;

  /// \return age of the last load report; nothing if there is none
  std::optional<Duration> report_age(const ServerId& id, TimePoint now) const;

private:
  struct State
  {
    ServerInfo info;
    /// In the set that is asked first.
    bool preferred = true;
    TimePoint cold_until;
    LoadReport load;
    std::optional<TimePoint> reported;
    /// Oldest probe without an answer.
    std::optional<TimePoint> probed;
    /// Own requests in progress, and those begun after the last report.
    unsigned own = 0;
    unsigned begun_since = 0;
    unsigned failures = 0;
    TimePoint avoid_until;
    std::chrono::milliseconds avoid_for{ 0 };
    /// Smoothed time of its requests relative to the service's.
    double relative_time = 1;
    TimePoint relative_since;
  };

  static double slots_of(const State& state);
  double busy_of(const State& state, TimePoint now) const;
  double cost_of(const State& state, std::size_t body_bytes, TimePoint now) const;
  void choose_subset();
  std::size_t take_probes(std::size_t wanted, TimePoint now);
  bool avoided(const State& state, TimePoint now) const;
  void avoid(State& state, TimePoint now);

  ServerSelectorOptions m_options;
  std::map<ServerId, State> m_servers;
  std::optional<double> m_usual_ms;
  std::size_t m_hosts = 1;
  /// Probes that may be sent now, and when that was computed.
  double m_probes_left = 0;
  TimePoint m_probes_at;
  /// Answered probes without a load report, while there has been no report at all.
  unsigned m_probes_in_vain = 0;
};

} // namespace lovagehold
