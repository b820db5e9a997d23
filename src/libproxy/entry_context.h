#pragma once

#include "lovagehold/entry_service.h"

#include <atomic>
#include <mutex>

namespace lovagehold {

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

  EntryContext(EntryServiceOptions entry_options, EntryPorts entry_ports, EventLog& event_log)
    : options(std::move(entry_options))
    , ports(std::move(entry_ports))
    , log(event_log)
    , table(std::size_t{ options.threads } * 4)
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
