#include "link_wait.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

awaitable<void>
await_link(LinkPacer& pacer, std::size_t bytes)
{
  const TimePoint now = Clock::now();
  const TimePoint available_at = pacer.reserve(bytes, now);
  if (available_at > now) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer wait(executor, available_at);
    boost::system::error_code ignored;
    co_await wait.async_wait(capture(ignored));
  }
}

} // namespace lovagehold
