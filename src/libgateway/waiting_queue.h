#pragma once

#include "libproxy/http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

namespace lovagehold {

/// Requests of one service that wait until a server has room, most urgent first. Only the first one
/// asks the servers, so that the probes do not grow with the queue. Belongs to one thread.
class WaitingQueue
{
public:
  /// A request's place in the queue, held until it is destroyed.
  class Place
  {
  public:
    /// \param priority 0 is the most urgent; equal ones by arrival
    Place(WaitingQueue& queue, asio::io_context& io, unsigned priority, TimePoint arrived)
      : m_places(queue.m_places)
      , m_priority(priority)
      , m_arrived(arrived)
      , m_wake(io)
    {
      auto before = m_places->begin();
      while (before != m_places->end() && !(*before)->follows(*this)) {
        ++before;
      }
      m_position = m_places->insert(before, this);
    }

    ~Place()
    {
      m_places->erase(m_position);
      wake_first_of(*m_places);
    }

    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    bool is_first() const { return m_places->front() == this; }

    /// Waits until the time given, until a request of the service ends, or until this place becomes
    /// the first.
    awaitable<void> wait_until(TimePoint time)
    {
      boost::system::error_code ignored;
      m_wake.expires_at(time);
      co_await m_wake.async_wait(capture(ignored));
    }

  private:
    friend class WaitingQueue;

    bool follows(const Place& other) const
    {
      return std::pair(m_priority, m_arrived) > std::pair(other.m_priority, other.m_arrived);
    }

    /// Shared, as coroutines may be destroyed after the queue.
    std::shared_ptr<std::list<Place*>> m_places;
    unsigned m_priority;
    TimePoint m_arrived;
    asio::steady_timer m_wake;
    std::list<Place*>::iterator m_position;
  };

  bool is_empty() const { return m_places->empty(); }
  std::size_t size() const { return m_places->size(); }

  /// A server may have room.
  void wake_first() { wake_first_of(*m_places); }

private:
  static void wake_first_of(const std::list<Place*>& places)
  {
    if (!places.empty()) {
      places.front()->m_wake.cancel();
    }
  }

  std::shared_ptr<std::list<Place*>> m_places = std::make_shared<std::list<Place*>>();
};

} // namespace lovagehold
