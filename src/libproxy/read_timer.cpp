#include "read_timer.h"

namespace lovagehold {

ReadTimer::ReadTimer(beast::tcp_stream& caller)
  : m_timer(caller.get_executor())
  , m_state(std::make_shared<State>())
{
  m_state->caller = &caller;
}

ReadTimer::~ReadTimer()
{
  ++m_state->generation;
}

void
ReadTimer::arm(TimePoint deadline)
{
  m_state->expired = false;
  m_state->caller->expires_never();
  m_timer.expires_at(deadline);
  const auto on_timer = [state = m_state, generation = ++m_state->generation](auto error) {
    // Cancelling has no effect on a handler that is already queued; the generation identifies it as
    // outdated.
    if (!error && state->generation == generation) {
      state->expired = true;
      state->caller->cancel();
    }
  };
  m_timer.async_wait(on_timer);
}

void
ReadTimer::disarm(boost::system::error_code& error)
{
  ++m_state->generation;
  m_timer.cancel();
  if (m_state->expired && error == asio::error::operation_aborted) {
    error = beast::error::timeout;
  }
}

} // namespace lovagehold
