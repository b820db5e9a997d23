#include "link_wait.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

awaitable<void>
await_link(LinkPacer& pacer, std::size_t bytes)
{
  const TimePoint now = Clock::now();
  const TimePoint free = pacer.reserve(bytes, now);
  if (free > now) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer wait(executor, free);
    boost::system::error_code ignored;
    co_await wait.async_wait(capture(ignored));
  }
}

} // namespace lovagehold
