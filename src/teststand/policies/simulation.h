#pragma once

#include "lovagehold/types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace lovagehold::simulation {

/// Events in virtual time, in order of time and then of scheduling.
class EventLoop
{
public:
  TimePoint now() const { return m_now; }
  void at(TimePoint time, std::function<void()> action);
  void after(Duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
  /// Runs all events up to \p end.
  void run(TimePoint end);

private:
  struct Event
  {
    TimePoint time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const
    {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };
  std::priority_queue<Event> m_events;
  TimePoint m_now{ std::chrono::seconds(1000) };
  std::uint64_t m_sequence = 0;
};

/// Requests that arrive within this time of the start or the end of a run are not reported: the
/// longest queue needs as much time to build up and to drain.
inline constexpr std::chrono::seconds kMargin{ 5 };

/// Conditions of a run.
struct Scenario
{
  std::size_t servers = 10;
  unsigned slots = 3;
  double load = 0.8;
  std::size_t hosts = 29;
  Duration one_way = std::chrono::microseconds(500);
  std::chrono::seconds length{ 40 };
  Duration mean_service = std::chrono::milliseconds(10);
  /// Server time of a probe.
  Duration probe_cost = std::chrono::milliseconds(6);
  /// Share of the requests that reach another host than the owner.
  double relayed_share = 0.05;
  bool straggler = false;
  bool cold_starts = false;
  bool fail_fast = false;
  std::uint64_t seed = 20261204;
};

/// One request of the trace; the same for all policies.
struct TraceRequest
{
  TimePoint arrival;
  bool patient = false;
  Duration work{};
  std::size_t host = 0;
  bool relayed = false;
  Duration deadline{};
};

std::vector<TraceRequest> make_trace(const Scenario& scenario, TimePoint start);

enum class JobStatus
{
  Succeeded,
  Failed,
  Refused,
  Cancelled,
};

/// A server with slots, a queue that sheds beyond its bound, and the noise of the scenario.
class Server
{
public:
  Server(EventLoop& loop, const Scenario& scenario, std::size_t index);

  /// \return id for cancel(); \p done is called when the work ends.
  std::uint64_t submit(Duration work, std::function<void(JobStatus)> done);
  void cancel(std::uint64_t job);

  /// Whether the server is in service, as its announcements say.
  bool is_present() const;
  bool is_failing() const;
  /// Factor by which work takes longer now.
  double slowdown() const;
  std::size_t load() const { return m_running.size() + m_waiting.size(); }
  bool has_free_slot() const { return m_running.size() < m_slots; }

private:
  struct Job
  {
    std::uint64_t id = 0;
    Duration work{};
    std::function<void(JobStatus)> done;
  };
  EventLoop& m_loop;
  unsigned m_slots;
  std::size_t m_index;
  TimePoint m_start;
  const Scenario m_scenario;
  std::vector<Job> m_running;
  std::deque<Job> m_waiting;
  std::uint64_t m_next_job = 1;
  // Times at which a neighbour begins and stops to take a part of the host.
  std::vector<TimePoint> m_neighbour;

  void start_next();
  void finish(std::uint64_t id);
};

/// Results of a run.
struct Report
{
  std::vector<double> urgent_ms;
  std::vector<double> patient_ms;
  std::uint64_t requests = 0;
  std::uint64_t good = 0;
  std::uint64_t admitted = 0;
  std::uint64_t attempts = 0;
  std::uint64_t failing_server_attempts = 0;
  std::uint64_t attempts_during_failure = 0;
  Duration probe_time{};
  Duration server_time{};
};

/// What a policy acts on. Jobs and responses travel for the one-way delay.
class World
{
public:
  explicit World(const Scenario& scenario);

  const Scenario scenario;
  EventLoop loop;
  std::vector<Server> servers;
  Report report;
  std::mt19937_64 random;

  struct Sent
  {
    std::size_t server = 0;
    std::uint64_t job = 0;
    bool cancelled = false;
  };
  /// Sends work to a server. \p done is called when the response arrives back.
  std::shared_ptr<Sent> send(std::size_t server,
                             Duration work,
                             std::function<void(JobStatus)> done);
  void cancel(const std::shared_ptr<Sent>& sent);
  void send_probe(std::size_t server, std::function<void()> done);

  /// Records the end of a request. One that failed counts with at least its deadline.
  void record(const TraceRequest& request, bool succeeded, Duration extra = {});
  TimePoint start() const { return m_start; }
  TimePoint end() const { return m_start + scenario.length; }

private:
  TimePoint m_start;
};

/// A policy that decides where requests run.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void arrive(const TraceRequest& request) = 0;
};

using MakePolicy = std::function<std::unique_ptr<Policy>(World&)>;

/// Runs the scenario's trace under a policy.
Report run(const Scenario& scenario, const MakePolicy& make);

/// \return the quantile of the values, which are sorted by the call.
double quantile(std::vector<double>& values, double q);

} // namespace lovagehold::simulation
