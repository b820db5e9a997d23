#pragma once

#include "lovagehold/cold_server_share.h"
#include "lovagehold/domain_choice.h"
#include "lovagehold/request_limiter.h"
#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lovagehold {

/// A server's load, as it reports it in its responses.
struct LoadReport
{
  /// Requests being served.
  unsigned running = 0;
  /// Requests queued at the server.
  unsigned waiting = 0;
  /// Requests that it serves concurrently; 0 if not reported.
  unsigned slots = 0;
  /// Current service time on the server's machine, relative to an unloaded one; 1 is normal.
  double slowdown = 1;
};

/// Outcome of an attempt, with respect to what it tells about the server.
enum class AttemptEnd
{
  Served,    ///< a complete response
  Shed,      ///< refused because the server is at capacity
  Failed,    ///< an error response or an incomplete one
  Unreached, ///< the connection could not be established
  TimedOut,  ///< no response in time
  Abandoned, ///< the caller disconnected or another attempt won
  Replaced,  ///< a different server now uses the address
};

struct ServerSelectorOptions
{
  /// Failure domain of this host; servers in it are preferred if the costs are nearly equal.
  std::string failure_domain;
  /// Time constant of the decay of a load report. The load of other tenants on a server's machine
  /// changes every 300 ms.
  std::chrono::milliseconds report_decay{ 300 };
  /// Slowdown assumed without a load report: a quarter of the time, other tenants of the machine
  /// make work take four times as long.
  double default_slowdown = 1.75;
  /// Share of the slots in use above which every request of a server becomes slower.
  double knee = 0.8;
  /// Slowdown above the knee.
  double knee_slowdown = 1.7;
  /// Slowdown during a server's warm-up.
  double warmup_slowdown = 2;
  /// Relative cost of a request to another failure domain.
  double remote_cost = 0.03;
  /// Additional cost per byte of the body, at most 1 in total: a body of 60 KB adds about a fifth
  /// to the cost of its request.
  double remote_cost_per_byte = 8e-6;
  /// A server that is unreachable or fails repeatedly is ejected for this time, which doubles with
  /// each further ejection up to eject_max.
  std::chrono::milliseconds eject_base{ 500 };
  std::chrono::milliseconds eject_max{ 4000 };
  /// Consecutive failures after which a server is ejected.
  unsigned failures_to_eject = 2;
  /// Name of this host; seeds its choice of a subset of the servers.
  std::string host;
  /// Number of servers of the local failure domain that are probed first. A small subset is probed
  /// often enough to keep its connections open.
  std::size_t subset = 12;
  /// A server whose probe is pending for this long counts as full. A probe of an idle server takes
  /// up to 13 ms: 6 ms of work, a round trip between failure domains and one for the connection.
  std::chrono::milliseconds unanswered_probe{ 19 };
  /// Load reports older than this are refreshed by a probe before a server is chosen.
  std::chrono::milliseconds fresh_report{ 20 };
  /// Probes per second that a server may receive from all hosts together.
  double probes_per_second = 60;
  /// Share of these that is used; the rest covers bursts and hosts that underestimate the number of
  /// other hosts.
  double probe_share = 0.75;
  /// Unused probes of this period may be sent at once.
  std::chrono::seconds probe_burst{ 8 };
  /// Upper limit of the time for which a server may ask not to be called, so that an absurd value
  /// does not exclude it for ever.
  std::chrono::seconds max_pause{ 600 };
  /// How long the mark of a leaving incarnation is kept after the incarnation was last listed. A
  /// leaving server runs for some seconds to minutes.
  std::chrono::seconds leaving_retention{ 3600 };
  /// Counts what take_domain_load() reports.
  bool domain_overflow = false;
  /// Load reports older than this tell take_domain_load() nothing.
  std::chrono::milliseconds doubtful_report{ 3000 };
};

/// A server turned cold or warm again.
struct ColdChange
{
  ServerInfo server;
  /// Time for which it stays cold; 0 if it is warm again.
  std::chrono::milliseconds remaining{ 0 };
};

/// Selects a server of one service from load reports, this host's requests in progress and recent
/// failures. Time and randomness are arguments. Not thread-safe.
class ServerSelector
{
public:
  explicit ServerSelector(ServerSelectorOptions options);

  /// Sets the number of hosts that receive callers; they share the probe budget.
  void set_hosts(std::size_t hosts) { m_hosts = hosts == 0 ? 1 : hosts; }

  /// Replaces the set of servers; the state of servers that remain is kept.
  void set_servers(const std::vector<ServerInfo>& servers, TimePoint now);

  /// Replaces the set of evacuated failure domains. Their servers are in no choice and are not
  /// probed. A server whose domain is no longer evacuated counts as just started: it is in its
  /// warm-up, and its load report, which is from before the evacuation, is discarded.
  /// \param domains also in force for servers that are set later
  /// \param warmup for how long a server is cold after the evacuation of its domain
  void set_evacuated(std::set<std::string> domains, Duration warmup, TimePoint now);

  /// With fresh shares, the shares select the failure domain and the cost the server in it. If no
  /// server of the domain has free capacity, one of another domain that the shares permit is
  /// chosen, and without any such server one as without shares.
  /// \param tried servers to exclude
  /// \param body_bytes size of the request body; raises the cost of other failure domains
  /// \return the server with the lowest expected cost that is neither leaving, paused, evacuated,
  /// limited nor (with a share of cold servers) cold; nothing if no server is left
  std::optional<ServerInfo> pick(TimePoint now,
                                 const std::set<ServerId>& tried,
                                 std::size_t body_bytes,
                                 std::mt19937_64& random) const;

  /// Takes from the probe budget for each server returned.
  /// \param count maximum number of servers to return
  /// \param preferred_only return only servers of the preferred subset
  /// \param tried servers to exclude
  /// \return servers without a fresh load report or a pending probe, which should be probed before
  /// the next choice, in roughly ascending order of cost. Empty if the probe budget is exhausted or
  /// if the servers don't report their load.
  std::vector<ServerInfo> probe_targets(TimePoint now,
                                        std::size_t count,
                                        bool preferred_only,
                                        const std::set<ServerId>& tried,
                                        std::mt19937_64& random);

  /// Applies a load report from a response of the server.
  void report(const ServerId& id, const LoadReport& load, TimePoint now);

  /// A probe was sent to the server. If it is not answered within unanswered_probe, the server
  /// counts as full until it is: health checks wait for a slot as other requests do.
  void begin_probe(const ServerId& id, TimePoint now);

  /// A probe was answered. If the response carried a load report, report() has been called before.
  void end_probe(const ServerId& id);

  /// A probe was answered negatively or not in time.
  void probe_failed(const ServerId& id, bool unreachable, TimePoint now);

  /// An answer of the server said that it is leaving. From now on the incarnation is excluded from
  /// pick() and probe_targets(), also if it is removed from the servers and listed again. Only a
  /// later incarnation ends this.
  void mark_leaving(const ServerId& id, std::uint64_t incarnation, TimePoint now);

  /// The server asked not to be called for a time. Until then it is excluded from pick() and
  /// probe_targets(); an earlier, longer pause stays in force.
  /// \param pause values up to 0 have no effect; longer ones than max_pause are limited to it
  void pause(const ServerId& id, std::uint64_t incarnation, Duration pause, TimePoint now);

  /// A response of the server named the limit of its requests per second, or none. A limited server
  /// is excluded from pick(); requests to it need a permit.
  /// \return whether this is a change; false if the incarnation is not listed
  bool set_limit(const ServerId& id,
                 std::uint64_t incarnation,
                 std::optional<double> limit,
                 TimePoint now);

  /// Sets the share of the requests that cold servers take. With a rate of 0 cold servers are
  /// chosen as others are, at a higher cost.
  void set_cold_share(const ColdServerShareOptions& options, TimePoint now);

  /// A response of the server to a health check said for how long it stays cold. No effect without
  /// a share of cold servers, or if the incarnation is not listed.
  /// \param remaining 0 if the server is warm; values over max_pause are limited to it
  void set_cold(const ServerId& id, std::uint64_t incarnation, Duration remaining, TimePoint now);

  /// Treats the server as cold for at least this time, whatever its health checks say.
  void hold_cold(const ServerId& id, Duration duration, TimePoint now);

  /// \return whether the server is cold and gets only requests that the share admits
  bool is_cold(const ServerId& id, TimePoint now) const;

  /// \return whether a server that can be called is cold and gets only requests of the share
  bool has_cold(const std::set<ServerId>& tried, TimePoint now) const;

  /// \return number of cold servers that get only requests that the share admits
  std::size_t cold_count(TimePoint now) const;

  /// Asks the share of cold servers to send one request.
  /// \param tried servers to exclude
  /// \return a random cold server with a free slot and without a limit to which the request may be
  /// sent now; nothing if there is none or the share admits no request
  std::optional<ServerInfo> pick_cold(TimePoint now,
                                      const std::set<ServerId>& tried,
                                      std::mt19937_64& random);

  /// Asks the share of cold servers to send one request to a limited server.
  /// \param max_wait time that the request can wait; servers denied for longer are excluded
  /// \return at most one server, for which a permit is needed too
  std::vector<LimitedServer> cold_permit_candidates(const std::set<ServerId>& tried,
                                                    Duration max_wait,
                                                    TimePoint now,
                                                    std::mt19937_64& random);

  /// \return if all servers that can be called are cold: when one turns warm, or the share has
  /// probably admitted a request again. Nothing otherwise.
  std::optional<TimePoint> cold_return(TimePoint now) const;

  /// \return listed servers that turned cold or warm since the last call
  std::vector<ColdChange> take_cold_changes(TimePoint now);

  /// \return whether recent attempts or probes did not reach the server
  bool is_ejected(const ServerId& id, TimePoint now) const;

  /// Selects the limited servers for which a permit is worth asking. Cold ones are not selected.
  /// \param tried servers to exclude
  /// \param max_wait time that the request can wait; servers denied for longer are excluded
  /// \param max_cost upper limit of the expected cost of a request
  /// \return servers with free capacity in ascending order of expected cost, a few at most
  std::vector<LimitedServer> permit_candidates(const std::set<ServerId>& tried,
                                               Duration max_wait,
                                               double max_cost,
                                               TimePoint now) const;

  /// A permit for the servers was denied. They are not asked for until \p until.
  void deny(const std::vector<LimitedServer>& servers, TimePoint until);

  /// \return the server if a request may be sent to it apart from its limit; nothing if it is
  /// unknown, leaving, paused or evacuated
  std::optional<ServerInfo> find_callable(const ServerId& id, TimePoint now) const;

  /// \return the server's limit in requests per second from all hosts together; nothing if it has
  /// none
  std::optional<double> limit(const ServerId& id) const;

  /// \return number of servers with a limit, without those that are evacuated
  std::size_t limited_count() const;

  /// \return whether a request may be sent to at least one server until \p latest, however loaded
  /// it is; a server for which a permit was denied for longer does not count
  bool is_callable_until(TimePoint latest, TimePoint now) const;

  /// \return the earliest time at which a server can be called that can't be now because of a pause
  /// or of a denied permit; nothing if there is none
  std::optional<TimePoint> earliest_return(TimePoint now) const;

  /// An attempt starts.
  void begin(const ServerId& id, TimePoint now);

  /// An attempt ended. \param elapsed since begin
  void end(const ServerId& id, AttemptEnd end, Duration elapsed, TimePoint now);

  /// \return moving average of the time of served requests; nothing before the first
  std::optional<Duration> mean_request_time() const;

  std::size_t size() const { return m_servers.size(); }

  /// \return number of this host's attempts in progress at all servers
  std::size_t in_progress() const;

  /// \return expected cost of the next request at the server relative to an idle one, for logs;
  /// 0 if the server is not known
  double cost(const ServerId& id, TimePoint now) const;

  /// \return whether the server can take another request without slowing down
  bool has_free_capacity(const ServerId& id, TimePoint now) const;

  /// \return the last load report; an empty one if there is none
  LoadReport last_report(const ServerId& id) const;

  /// \return age of the last load report; nothing if there is none
  std::optional<Duration> report_age(const ServerId& id, TimePoint now) const;

  /// Sets the shares of the requests that leave the local failure domain.
  void set_domain_shares(const ServiceShares& shares, TimePoint as_of)
  {
    m_domains.set(shares, m_options.failure_domain, as_of);
  }

  /// Counts bytes of the body of a request or a response, for take_domain_load().
  void count_bytes(std::size_t bytes) { m_domains.add_bytes(bytes); }

  /// \return the load of the local failure domain's servers, as far as it is known, and the traffic
  /// of this host since the last call
  DomainServiceLoad take_domain_load(TimePoint now);

  /// \return attempts since the start by failure domain, if domain_overflow is set
  const std::map<std::string, std::uint64_t>& domain_attempts() const
  {
    return m_domains.attempts();
  }

private:
  struct State
  {
    ServerInfo info;
    /// In the subset that is probed first.
    bool preferred = true;
    /// The server is cold until then.
    TimePoint warmup_until;
    /// Health checks can't make the server warm before that.
    TimePoint held_cold_until;
    /// The last change that take_cold_changes() returned was to cold.
    bool reported_cold = false;
    LoadReport load;
    std::optional<TimePoint> report_time;
    /// When the oldest unanswered probe was sent.
    std::optional<TimePoint> pending_probe;
    /// This host's requests in progress, and those that it started after the last report.
    unsigned in_progress = 0;
    unsigned started_since_report = 0;
    unsigned failures = 0;
    TimePoint ejected_until;
    std::chrono::milliseconds ejection_time{ 0 };
    /// The server asked not to be called until then.
    TimePoint paused_until;
    /// Requests per second that the server takes from all hosts together, and when it last said so.
    std::optional<double> limit;
    TimePoint limit_named_at;
    /// No permit is asked for until then.
    TimePoint denied_until;
    /// The incarnation is leaving; a copy of its entry in m_leaving.
    bool leaving = false;
    /// Its failure domain is in m_evacuated.
    bool evacuated = false;
    /// Moving average of the time of its requests, relative to the service's average, as of
    /// relative_time_updated. Decays towards 1.
    double relative_time = 1;
    TimePoint relative_time_updated;
  };

  static double slots_of(const State& state);
  /// \return estimated number of requests at the server, running and waiting
  double busy_of(const State& state, TimePoint now) const;
  /// \return expected time of another request, relative to one on an idle server of the local
  /// failure domain
  double cost_of(const State& state, std::size_t body_bytes, TimePoint now) const;
  /// \return whether only the share of cold servers admits requests to the server
  bool needs_share(const State& state, TimePoint now) const
  {
    return m_share.is_enabled() && now < state.warmup_until;
  }
  bool has_free_slot(const State& state, TimePoint now) const;
  /// Takes over what a new entry of the same incarnation says about its warm-up.
  static void update_warmup(State& state, const ServerInfo& entry, TimePoint now);
  /// Adds and removes the credits of servers that have been listed or are not any more.
  void update_credits(TimePoint now);
  static LimitedServer make_candidate(const State& state, TimePoint now);
  void choose_subset();
  bool prefers_other_domains() const;
  std::size_t evacuated_count() const;
  std::size_t take_probes(std::size_t wanted, TimePoint now);
  bool is_ejected(const State& state, TimePoint now) const;
  double permitted_slots(const State& state) const;
  std::optional<ServerInfo> pick_by_share(TimePoint now,
                                          const std::set<ServerId>& tried,
                                          std::size_t body_bytes,
                                          std::mt19937_64& random) const;
  static bool is_callable(const State& state, TimePoint now);
  static bool is_denied(const State& state, TimePoint time);
  bool is_marked_leaving(const ServerInfo& server) const;
  void expire_leaving_marks(TimePoint now);
  void eject(State& state, TimePoint now);

  struct LeavingMark
  {
    std::uint64_t incarnation = 0;
    /// When the incarnation was marked or last listed.
    TimePoint updated_at;
  };

  ServerSelectorOptions m_options;
  std::map<ServerId, State> m_servers;
  /// Incarnations that are leaving, also those that are not listed any more.
  std::map<ServerId, LeavingMark> m_leaving;
  /// Failure domains whose servers are not called.
  std::set<std::string> m_evacuated;
  /// Moving average of the requests running and waiting at a server, over all reports.
  double m_mean_busy = 0;
  /// Moving average of the time of served requests.
  std::optional<double> m_mean_ms;
  ColdServerShare m_share;
  std::size_t m_hosts = 1;
  /// Probes left in the probe budget at m_probes_updated.
  double m_probes_left = 0;
  TimePoint m_probes_updated;
  /// Answered probes of servers without a load report, since the last report of any server.
  unsigned m_probes_without_report = 0;
  DomainChoice m_domains;
};

} // namespace lovagehold
