#pragma once

#include "libproxy/http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

namespace lovagehold {

/// Queue of the requests of one service that wait until a server has free capacity, ordered by
/// priority and arrival. Only the request at the head probes the servers, so that the number of
/// probes does not grow with the length of the queue. Not thread-safe.
class WaitingQueue
{
public:
  /// An entry of the queue; removed from it on destruction.
  class Waiter
  {
  public:
    /// \param priority 0 is the most urgent; requests of the same priority are ordered by arrival
    Waiter(WaitingQueue& queue, asio::io_context& io, unsigned priority, TimePoint arrived)
      : m_waiters(queue.m_waiters)
      , m_priority(priority)
      , m_arrived(arrived)
      , m_wake(io)
    {
      auto before = m_waiters->begin();
      while (before != m_waiters->end() && !(*before)->follows(*this)) {
        ++before;
      }
      m_position = m_waiters->insert(before, this);
    }

    ~Waiter()
    {
      m_waiters->erase(m_position);
      wake_first_of(*m_waiters);
    }

    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    bool is_first() const { return m_waiters->front() == this; }

    /// Waits until \p time, until this waiter becomes the first one, or until the first waiter is
    /// woken because a request of the service has ended.
    awaitable<void> wait_until(TimePoint time)
    {
      boost::system::error_code ignored;
      m_wake.expires_at(time);
      co_await m_wake.async_wait(capture(ignored));
    }

  private:
    friend class WaitingQueue;

    bool follows(const Waiter& other) const
    {
      return std::pair(m_priority, m_arrived) > std::pair(other.m_priority, other.m_arrived);
    }

    /// Shared, because a coroutine with a waiter may be destroyed after the queue.
    std::shared_ptr<std::list<Waiter*>> m_waiters;
    unsigned m_priority;
    TimePoint m_arrived;
    asio::steady_timer m_wake;
    std::list<Waiter*>::iterator m_position;
  };

  bool is_empty() const { return m_waiters->empty(); }
  std::size_t size() const { return m_waiters->size(); }

  /// Wakes the first waiter; called when a server may have free capacity.
  void wake_first() { wake_first_of(*m_waiters); }

private:
  static void wake_first_of(const std::list<Waiter*>& waiters)
  {
    if (!waiters.empty()) {
      waiters.front()->m_wake.cancel();
    }
  }

  std::shared_ptr<std::list<Waiter*>> m_waiters = std::make_shared<std::list<Waiter*>>();
};

} // namespace lovagehold
