#pragma once

#include "libproxy/connection_pool.h"
#include "lovagehold/gateway.h"
#include "lovagehold/link_pacer.h"
#include "lovagehold/metrics.h"
#include "lovagehold/routing_table.h"
#include "waiting_queue.h"

#include <random>
#include <set>
#include <unordered_map>

namespace lovagehold {

/// What the requests of a gateway share. Belongs to the gateway's thread.
struct GatewayContext
{
  GatewayContext(asio::io_context& given_io, GatewayOptions given, EventLog& given_log)
    : io(given_io)
    , options(std::move(given))
    , log(given_log)
    , random(options.seed)
    , received_bodies({ .link_mbps = options.link_mbps })
    , sent_bodies({ .link_mbps = options.link_mbps })
  {
  }

  asio::io_context& io;
  GatewayOptions options;
  EventLog& log;
  std::mt19937_64 random;
  /// Bodies of requests on their way from callers and to servers.
  LinkPacer received_bodies;
  LinkPacer sent_bodies;
  /// Null before the first configuration.
  std::shared_ptr<RoutingTable> routing;
  std::map<ServiceName, ServerSelector> selectors;
  std::map<ServiceName, RetryBudget> budgets;
  std::map<ServiceName, WaitingQueue> queues;
  ConnectionPool pool{ ConnectionPoolOptions{ .idle_per_address = 8, .idle_total = 512 } };
  GatewayCounters counters;
  /// One shard: the gateway has one thread.
  Metrics metrics{ 1 };
  std::size_t entry_hosts = 1;
  std::size_t in_progress = 0;
  std::size_t connections = 0;
  bool shutting_down = false;
  /// Set while shutting down.
  TimePoint shutdown_end;
  /// Requests that wait for the first configuration.
  std::set<asio::steady_timer*> awaiting_routing;
  /// Connections that wait for a request; shutdown wakes them.
  std::set<beast::tcp_stream*> idle_callers;

  ServerSelector& selector(const ServiceName& service)
  {
    const auto [entry, is_new] = selectors.try_emplace(
      service,
      ServerSelectorOptions{ .failure_domain = options.failure_domain,
                             .host = options.host,
                             .probes_per_second = options.probes_per_second });
    if (is_new) {
      entry->second.set_hosts(entry_hosts);
    }
    return entry->second;
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
