#pragma once

#include "account_counters.h"
#include "libdecision/token_bucket.h"
#include "libproxy/connection_pool.h"
#include "lovagehold/admission.h"
#include "lovagehold/crash_suspects.h"
#include "lovagehold/gateway.h"
#include "lovagehold/host_count.h"
#include "lovagehold/link_pacer.h"
#include "lovagehold/metrics.h"
#include "lovagehold/request_age.h"
#include "lovagehold/routing_table.h"
#include "waiting_queue.h"

#include <exception>
#include <random>
#include <set>
#include <unordered_map>

namespace lovagehold {

/// Counts something from its construction to its destruction, whatever ends its scope.
class CountedScope
{
public:
  explicit CountedScope(std::size_t& count)
    : m_count(count)
  {
    ++m_count;
  }
  ~CountedScope() { --m_count; }
  CountedScope(const CountedScope&) = delete;
  CountedScope& operator=(const CountedScope&) = delete;

private:
  std::size_t& m_count;
};

/// Keeps a timer in a set from its construction to its destruction, whatever ends its scope.
class RegisteredTimer
{
public:
  RegisteredTimer(std::set<asio::steady_timer*>& timers, asio::steady_timer& timer)
    : m_timers(timers)
    , m_timer(timer)
  {
    m_timers.insert(&m_timer);
  }
  ~RegisteredTimer() { m_timers.erase(&m_timer); }
  RegisteredTimer(const RegisteredTimer&) = delete;
  RegisteredTimer& operator=(const RegisteredTimer&) = delete;

private:
  std::set<asio::steady_timer*>& m_timers;
  asio::steady_timer& m_timer;
};

/// State shared by all requests of a gateway. Accessed only on the gateway's thread.
struct GatewayContext
{
  GatewayContext(asio::io_context& io_context, GatewayOptions gateway_options, EventLog& event_log)
    : io(io_context)
    , options(std::move(gateway_options))
    , log(event_log)
    , random(options.seed)
    , receive_pacer({ .link_mbps = options.link_mbps })
    , send_pacer({ .link_mbps = options.link_mbps })
    , suspects(options.crash_suspects)
  {
  }

  asio::io_context& io;
  GatewayOptions options;
  EventLog& log;
  std::mt19937_64 random;
  /// Limit the rate at which request bodies are read from callers and sent to servers.
  LinkPacer receive_pacer;
  LinkPacer send_pacer;
  /// Empty until the first routing configuration has been received.
  std::optional<RoutingTable> routing;
  AdmissionPolicy admission;
  /// Requests that may have crashed their servers, as all hosts see it.
  CrashSuspects suspects;
  std::map<ServiceName, ServerSelector> selectors;
  /// Failure domains whose servers get no requests and no health checks.
  std::set<std::string> evacuated;
  std::map<ServiceName, RetryBudget> budgets;
  std::map<ServiceName, WaitingQueue> queues;
  ConnectionPool pool{ ConnectionPoolOptions{ .idle_per_address = 8, .idle_total = 512 } };
  GatewayCounters counters;
  /// One shard is enough, as the gateway runs on one thread.
  Metrics metrics{ 1 };
  AccountCounters account_counters;
  RequestAge request_age;
  /// Number of entry hosts that receive callers, this one included.
  std::size_t entry_hosts = 1;
  /// The same number for shares that must not be too large, see HostCount.
  HostCount host_count;
  /// Log lines about cold servers: after a restart of all servers there are some hundred at once.
  TokenBucket cold_log_budget{ 2, 20, 20, Clock::now() };
  /// Requests being served.
  std::size_t in_progress = 0;
  /// Open connections of callers.
  std::size_t connections = 0;
  bool shutting_down = false;
  /// Until then callers' connections are closed after each response.
  TimePoint spread_until;
  /// Valid if shutting_down is set. At its end all remaining requests are answered.
  ShutdownPeriod shutdown;
  /// Timers of requests that are being forwarded; cancelled when the shutdown begins, so that they
  /// take its end into account.
  std::set<asio::steady_timer*> forwarding_waiters;
  /// Timers of requests that wait for the first routing configuration; cancelled when it arrives.
  std::set<asio::steady_timer*> routing_waiters;
  /// Connections of callers that wait for their next request, longest waiting first; cancelled when
  /// the shutdown begins.
  std::map<std::uint64_t, beast::tcp_stream*> idle_callers;
  std::uint64_t next_idle_caller = 0;

  /// \return whether the configuration has accounts
  bool has_accounts() const { return routing && routing->accounts().requires_key(); }

  /// Closes the connection that has been idle for the longest time. \return whether there is one
  bool close_idle_caller()
  {
    if (idle_callers.empty()) {
      return false;
    }
    idle_callers.begin()->second->cancel();
    idle_callers.erase(idle_callers.begin());
    return true;
  }

  /// \param task name of what a coroutine does, for the log
  /// \return a completion handler for asio::co_spawn that logs and counts an exception, which would
  /// otherwise be lost. The exception has ended only that coroutine.
  auto report_exceptions(const char* task)
  {
    return [this, task](const std::exception_ptr& exception) {
      if (!exception) {
        return;
      }
      ++counters.exceptions;
      try {
        std::rethrow_exception(exception);
      } catch (const std::exception& error) {
        log.warn("internal_error", { { "task", task }, { "error", error.what() } });
      }
    };
  }

  /// Counts bytes of the body of a request or a response.
  void count_bytes(const ServiceName& service, std::size_t bytes)
  {
    if (options.domain_overflow) {
      selector(service).count_bytes(bytes);
    }
  }

  ServerSelector& selector(const ServiceName& service)
  {
    const auto [entry, is_new] =
      selectors.try_emplace(service,
                            ServerSelectorOptions{ .failure_domain = options.failure_domain,
                                                   .host = options.host,
                                                   .probes_per_second = options.probes_per_second,
                                                   .domain_overflow = options.domain_overflow });
    if (is_new) {
      entry->second.set_hosts(entry_hosts);
      // It has no servers yet that could be cold.
      entry->second.set_evacuated(evacuated, Duration::zero(), Clock::now());
    }
    return entry->second;
  }

  /// \return whether nothing may be sent to the server, because its failure domain is evacuated
  bool is_evacuated(const ServerInfo& server) const
  {
    return evacuated.contains(server.failure_domain);
  }

  RetryBudget& budget(const ServiceName& service)
  {
    const auto [entry, is_new] = budgets.try_emplace(service, options.retry_budget);
    if (is_new) {
      entry->second.set_hosts(entry_hosts);
    }
    return entry->second;
  }
};

} // namespace lovagehold
