#pragma once

#include "connection_pool.h"
#include "lovagehold/entry_service.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <mutex>
#include <unordered_set>

namespace lovagehold {

/// State of one entry thread. Only the io_context may be used on other threads.
struct EntryWorker
{
  asio::io_context io{ 1 };
  ConnectionPool pool;
  /// Callers' connections that are waiting for a request.
  std::unordered_set<beast::tcp_stream*> idle_callers;
};

/// State that all caller sessions of an entry service share.
struct EntryContext
{
  EntryServiceOptions options;
  EntryPorts ports;
  EventLog& log;
  ServiceTable table;
  Metrics metrics;
  std::atomic<std::size_t> in_flight{ 0 };
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<bool> draining{ false };
  std::atomic<std::uint64_t> next_request{ 1 };
  /// Part of the request ids, which distinguishes them from those of earlier processes on the host.
  const std::int64_t start_time = std::chrono::system_clock::now().time_since_epoch().count();

  EntryContext(EntryServiceOptions entry_options,
               EntryPorts entry_ports,
               EventLog& event_log,
               ServiceTable::ProbeSender send_probe)
    : options(std::move(entry_options))
    , ports(std::move(entry_ports))
    , log(event_log)
    , table(std::size_t{ options.threads } * 4, std::move(send_probe))
  {
  }

  std::shared_ptr<const RoutingView> view() const
  {
    const std::lock_guard<std::mutex> lock(m_view_mutex);
    return m_view;
  }

  void set_view(std::shared_ptr<const RoutingView> view)
  {
    const std::lock_guard<std::mutex> lock(m_view_mutex);
    m_view = std::move(view);
  }

private:
  mutable std::mutex m_view_mutex;
  std::shared_ptr<const RoutingView> m_view = std::make_shared<RoutingView>();
};

} // namespace lovagehold
