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

/// Discrete-event loop in virtual time. Events run in order of their time; those at the same time
/// run in the order in which they were scheduled.
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

/// Requests that arrive within this time of the start or the end of a run are not reported, because
/// the longest queue takes that long to build up or to drain.
inline constexpr std::chrono::seconds kUnreportedMargin{ 5 };

/// Parameters of a simulation run.
struct Scenario
{
  std::size_t servers = 10;
  unsigned slots = 3;
  /// Offered load as a share of the capacity of all slots.
  double load = 0.8;
  std::size_t hosts = 29;
  /// Network delay in one direction.
  Duration one_way = std::chrono::microseconds(500);
  std::chrono::seconds length{ 40 };
  Duration mean_service = std::chrono::milliseconds(10);
  /// Service time of a probe at the server.
  Duration probe_cost = std::chrono::milliseconds(6);
  /// Share of the requests that arrive at an entry host other than the owner.
  double relayed_share = 0.05;
  /// One server becomes slow and stays so.
  bool straggler = false;
  /// Two servers restart and are slow until they have warmed up.
  bool cold_starts = false;
  /// For some time, two servers fail every request immediately.
  bool fail_fast = false;
  std::uint64_t seed = 20261204;
};

/// One request of the trace, which is the same for all policies.
struct TraceRequest
{
  TimePoint arrival;
  bool patient = false;
  /// Service time on a server that is not slowed down.
  Duration work{};
  std::size_t host = 0;
  bool relayed = false;
  /// Relative to the arrival.
  Duration deadline{};
};

/// Generates Poisson arrivals whose rate varies over time and log-normal service times.
std::vector<TraceRequest> make_trace(const Scenario& scenario, TimePoint start);

enum class JobStatus
{
  Succeeded,
  Failed,
  Refused,
  Cancelled,
};

/// A server with a number of slots, a bounded queue that refuses work when it is full, and the
/// faults and disturbances of the scenario.
class Server
{
public:
  Server(EventLoop& loop, const Scenario& scenario, std::size_t index);

  /// \return the id for cancel(). \p done is called when the work ends.
  std::uint64_t submit(Duration work, std::function<void(JobStatus)> done);
  void cancel(std::uint64_t job);

  /// Whether the server announces itself.
  bool is_present() const;
  bool is_failing() const;
  /// Factor by which work that starts now takes longer.
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
  // Times at which a noisy neighbour on the same machine starts and stops slowing the server down,
  // in turn.
  std::vector<TimePoint> m_neighbour_changes;

  void start_next();
  void finish(std::uint64_t id);
};

/// Results of a simulation run.
struct Report
{
  std::vector<double> urgent_ms;
  std::vector<double> patient_ms;
  std::uint64_t requests = 0;
  /// Requests that succeeded within their deadline.
  std::uint64_t good = 0;
  std::uint64_t admitted = 0;
  std::uint64_t attempts = 0;
  std::uint64_t failing_server_attempts = 0;
  std::uint64_t attempts_during_failure = 0;
  Duration probe_time{};
  Duration server_time{};
};

/// The simulated system that a policy acts on. Requests and responses take the one-way network
/// delay.
class SimulatedSystem
{
public:
  explicit SimulatedSystem(const Scenario& scenario);

  const Scenario scenario;
  EventLoop loop;
  std::vector<Server> servers;
  Report report;
  std::mt19937_64 random;

  struct SentJob
  {
    std::size_t server = 0;
    std::uint64_t job = 0;
    bool cancelled = false;
  };
  /// Sends work to a server. \p done is called when the response arrives at the sender.
  std::shared_ptr<SentJob> send(std::size_t server,
                                Duration work,
                                std::function<void(JobStatus)> done);
  void cancel(const std::shared_ptr<SentJob>& sent);
  void send_probe(std::size_t server, std::function<void()> done);

  /// Records the completion of a request. A failed or late one counts with at least its deadline.
  /// \param extra time until the response reaches the caller
  void record(const TraceRequest& request, bool succeeded, Duration extra = {});
  TimePoint start() const { return m_start; }
  TimePoint end() const { return m_start + scenario.length; }

private:
  TimePoint m_start;
};

/// Decides which server runs each request.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void arrive(const TraceRequest& request) = 0;
};

using MakePolicy = std::function<std::unique_ptr<Policy>(SimulatedSystem&)>;

/// Runs the scenario's trace under a policy.
Report run(const Scenario& scenario, const MakePolicy& make);

/// \return the quantile \p q of the values. Sorts the values.
double quantile(std::vector<double>& values, double q);

} // namespace lovagehold::simulation
