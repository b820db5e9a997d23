#include "policies.h"

#include <algorithm>
#include <deque>

namespace lovagehold::simulation {

namespace {

constexpr std::chrono::milliseconds kLoadReportInterval{ 100 };
constexpr std::size_t kProbePoolSize = 16;
constexpr std::chrono::seconds kProbeLifetime{ 1 };
constexpr std::uint64_t kRequestsPerProbe = 2;

// Sends each request from the entry host at which it arrived. A failed attempt is retried once on a
// newly chosen server.
class EntryPolicy : public Policy
{
public:
  explicit EntryPolicy(SimulatedSystem& system)
    : m_system(system)
    , m_in_flight(system.scenario.hosts, std::vector<unsigned>(system.servers.size()))
  {
  }

  void arrive(const TraceRequest& request) override { attempt(request, 1); }

protected:
  SimulatedSystem& m_system;
  std::vector<std::vector<unsigned>> m_in_flight;

  virtual std::size_t choose(std::size_t host) = 0;

  std::size_t random_server()
  {
    std::uniform_int_distribution<std::size_t> any(0, m_system.servers.size() - 1);
    std::size_t server = any(m_system.random);
    while (!m_system.servers[server].is_present()) {
      server = any(m_system.random);
    }
    return server;
  }

private:
  void attempt(const TraceRequest& request, int retries)
  {
    const std::size_t server = choose(request.host);
    ++m_in_flight[request.host][server];
    m_system.send(server, request.work, [this, &request, server, retries](JobStatus status) {
      --m_in_flight[request.host][server];
      if (status != JobStatus::Succeeded && retries > 0) {
        attempt(request, retries - 1);
      } else {
        m_system.record(request, status == JobStatus::Succeeded);
      }
    });
  }
};

class RandomPolicy : public EntryPolicy
{
public:
  using EntryPolicy::EntryPolicy;
  std::size_t choose(std::size_t) override { return random_server(); }
};

class RoundRobinPolicy : public EntryPolicy
{
public:
  explicit RoundRobinPolicy(SimulatedSystem& system)
    : EntryPolicy(system)
    , m_next(system.scenario.hosts)
  {
    for (std::size_t& next : m_next) {
      next = random_server();
    }
  }

  std::size_t choose(std::size_t host) override
  {
    std::size_t& next = m_next[host];
    do {
      next = (next + 1) % m_system.servers.size();
    } while (!m_system.servers[next].is_present());
    return next;
  }

private:
  std::vector<std::size_t> m_next;
};

class LeastRequestsPolicy : public EntryPolicy
{
public:
  using EntryPolicy::EntryPolicy;
  std::size_t choose(std::size_t host) override
  {
    const std::vector<unsigned>& counts = m_in_flight[host];
    // Start the search at a random server, so that ties are broken at random.
    std::size_t best = random_server();
    const std::size_t first = best;
    for (std::size_t i = 1; i < counts.size(); ++i) {
      const std::size_t server = (first + i) % counts.size();
      if (m_system.servers[server].is_present() && counts[server] < counts[best]) {
        best = server;
      }
    }
    return best;
  }
};

class TwoChoicesPolicy : public EntryPolicy
{
public:
  explicit TwoChoicesPolicy(SimulatedSystem& system)
    : EntryPolicy(system)
    , m_reports(system.servers.size())
  {
    report();
  }

  std::size_t choose(std::size_t) override
  {
    const std::size_t a = random_server();
    const std::size_t b = random_server();
    return m_reports[b] < m_reports[a] ? b : a;
  }

private:
  std::vector<std::size_t> m_reports;

  void report()
  {
    std::vector<std::size_t> loads;
    for (const Server& server : m_system.servers) {
      loads.push_back(server.load());
    }
    m_system.loop.after(m_system.scenario.one_way, [this, loads] { m_reports = loads; });
    if (m_system.loop.now() < m_system.end()) {
      m_system.loop.after(kLoadReportInterval, [this] { report(); });
    }
  }
};

class ProbingPolicy : public EntryPolicy
{
public:
  explicit ProbingPolicy(SimulatedSystem& system)
    : EntryPolicy(system)
    , m_pools(system.scenario.hosts)
    , m_requests(system.scenario.hosts)
  {
  }

  std::size_t choose(std::size_t host) override
  {
    if (++m_requests[host] % kRequestsPerProbe == 0) {
      probe(host, random_server());
    }
    std::deque<ProbeResult>& pool = m_pools[host];
    while (!pool.empty() && m_system.loop.now() - pool.front().time > kProbeLifetime) {
      pool.pop_front();
    }
    ProbeResult* best = nullptr;
    for (ProbeResult& result : pool) {
      if (m_system.servers[result.server].is_present() &&
          (best == nullptr || result.load < best->load)) {
        best = &result;
      }
    }
    if (best == nullptr) {
      return random_server();
    }
    // Count this request in the probed load, so that the next choice takes it into account.
    ++best->load;
    return best->server;
  }

private:
  struct ProbeResult
  {
    std::size_t server = 0;
    std::size_t load = 0;
    TimePoint time;
  };
  std::vector<std::deque<ProbeResult>> m_pools;
  std::vector<std::uint64_t> m_requests;

  void probe(std::size_t host, std::size_t server)
  {
    m_system.send_probe(server, [this, host, server] {
      std::deque<ProbeResult>& pool = m_pools[host];
      pool.push_back({ server, m_system.servers[server].load(), m_system.loop.now() });
      if (pool.size() > kProbePoolSize) {
        pool.pop_front();
      }
    });
  }
};

template<class T>
MakePolicy
make()
{
  return [](SimulatedSystem& system) { return std::make_unique<T>(system); };
}

} // namespace

MakePolicy
make_random()
{
  return make<RandomPolicy>();
}

MakePolicy
make_round_robin()
{
  return make<RoundRobinPolicy>();
}

MakePolicy
make_least_requests()
{
  return make<LeastRequestsPolicy>();
}

MakePolicy
make_two_choices()
{
  return make<TwoChoicesPolicy>();
}

MakePolicy
make_probing()
{
  return make<ProbingPolicy>();
}

} // namespace lovagehold::simulation
