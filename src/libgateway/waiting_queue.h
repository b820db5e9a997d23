#pragma once

#include "libproxy/http_types.h"
#include "lovagehold/admission.h"
#include "lovagehold/queue_drain.h"
#include "lovagehold/waiting_order.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

namespace lovagehold {

/// A request that waits, and how long it may do so.
struct WaitTerms
{
  WaitingRequest request;
  /// See WaitState.
  TimePoint usual_end;
  TimePoint in_time_end;
  /// Whether the wait depends on how fast the queue moves; otherwise it ends at usual_end.
  bool follows_queue = false;
};

/// Queue of the requests of one service that wait until a server has free capacity, in the order of
/// WaitingOrder. Only the request at the head probes the servers, so that the number of probes does
/// not grow with the length of the queue. Not thread-safe.
class WaitingQueue
{
  struct State
  {
    WaitingOrder order;
    /// Wake the requests of the order.
    std::map<WaitingOrder::Id, asio::steady_timer*> timers;
    QueueDrain drain;
    ReturnSchedule returns;

    void advance(TimePoint now) { drain.advance(!order.is_empty(), now); }

    void wake_first()
    {
      if (!order.is_empty()) {
        timers.at(order.first(Clock::now()))->cancel();
      }
    }
  };

public:
  /// An entry of the queue; removed from it on destruction.
  class Waiter
  {
  public:
    Waiter(WaitingQueue& queue, asio::io_context& io, const WaitTerms& terms)
      : m_state(queue.m_state)
      , m_terms(terms)
      , m_wake(io)
    {
      m_state->advance(Clock::now());
      m_id = m_state->order.add(terms.request);
      m_state->timers[m_id] = &m_wake;
    }

    ~Waiter()
    {
      m_state->advance(Clock::now());
      m_state->order.remove(m_id);
      m_state->timers.erase(m_id);
      m_state->wake_first();
    }

    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    bool is_first() const { return m_state->order.first(Clock::now()) == m_id; }

    /// \return the time until which it may wait, as of now; not after \p now if it is refused
    TimePoint wait_end(TimePoint now)
    {
      if (!m_terms.follows_queue) {
        return m_terms.usual_end;
      }
      m_state->advance(now);
      const WaitState state{ .usual_end = m_terms.usual_end,
                             .in_time_end = m_terms.in_time_end,
                             .ahead = m_state->order.position(m_id, now),
                             .speed = m_state->drain.speed() };
      return AdmissionPolicy::wait_end(state, now);
    }

    /// Waits until \p time, until this waiter becomes the first one, or until the first waiter is
    /// woken because a request of the service has ended.
    awaitable<void> wait_until(TimePoint time)
    {
      boost::system::error_code ignored;
      m_wake.expires_at(time);
      co_await m_wake.async_wait(capture(ignored));
    }

    /// The request is sent to a server now.
    void count_served()
    {
      m_state->advance(Clock::now());
      m_state->drain.count_served();
      m_state->order.count_served(m_id);
    }

  private:
    /// Shared, because a coroutine with a waiter may be destroyed after the queue.
    std::shared_ptr<State> m_state;
    WaitTerms m_terms;
    asio::steady_timer m_wake;
    WaitingOrder::Id m_id = 0;
  };

  bool is_empty() const { return m_state->order.is_empty(); }
  std::size_t size() const { return m_state->order.size(); }

  /// Wakes the first waiter; called when a server may have free capacity.
  void wake_first() { m_state->wake_first(); }

  /// Reserves a time for a refused request to come back.
  /// \return time until capacity opens for it; nothing if it is not known how fast the queue moves
  std::optional<Duration> book_return(TimePoint now)
  {
    m_state->advance(now);
    const auto speed = m_state->drain.speed();
    if (!speed || speed->rate <= 0) {
      return std::nullopt;
    }
    return m_state->returns.book(size(), speed->rate, now);
  }

private:
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace lovagehold
