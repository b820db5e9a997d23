#include "connection_pool.h"

#include <cerrno>
#include <sys/socket.h>

namespace lovagehold {

ServerConnection::ServerConnection(const asio::any_io_executor& executor)
  : socket(executor)
  , m_watchdog(executor)
{
}

void
ServerConnection::set_deadline(TimePoint deadline)
{
  const std::uint64_t generation = ++m_generation;
  m_watchdog.expires_at(deadline);
  m_watchdog.async_wait([weak = weak_from_this(), generation](boost::system::error_code error) {
    const auto self = weak.lock();
    // Cancelling has no effect on a handler that is already queued; the generation identifies it as
    // outdated.
    if (error || !self || self->m_generation != generation) {
      return;
    }
    self->m_timed_out = true;
    self->close();
  });
}

void
ServerConnection::clear_deadline()
{
  ++m_generation;
  m_watchdog.cancel();
}

void
ServerConnection::close()
{
  boost::system::error_code ignored;
  socket.close(ignored);
}

bool
ServerConnection::is_clean()
{
  if (!socket.is_open() || buffer.size() > 0) {
    return false;
  }
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::ConnectionPool(ConnectionPoolOptions options)
  : m_options(options)
{
}

std::shared_ptr<ServerConnection>
ConnectionPool::take(const std::string& address, TimePoint now)
{
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return nullptr;
  }
  std::shared_ptr<ServerConnection> taken;
  auto& idle = found->second;
  while (!idle.empty() && !taken) {
    const IdleConnection last = idle.back();
    idle.pop_back();
    --m_idle_count;
    const Duration lifetime = std::min<Duration>(
      m_options.idle_lifetime, last.connection->idle_limit.value_or(Duration::max()));
    if (now - last.since < lifetime && last.connection->is_clean()) {
      taken = last.connection;
      taken->reused = true;
    }
  }
  if (idle.empty()) {
    m_idle.erase(found);
  }
  return taken;
}

void
ConnectionPool::put(const std::string& address,
                    std::shared_ptr<ServerConnection> connection,
                    TimePoint now)
{
  connection->clear_deadline();
  if (m_idle_count >= m_options.idle_total || !connection->is_clean()) {
    return;
  }
  auto& idle = m_idle[address];
  if (idle.size() < m_options.idle_per_address) {
    idle.push_back({ std::move(connection), now });
    ++m_idle_count;
  }
}

void
ConnectionPool::expire(TimePoint now)
{
  for (auto address = m_idle.begin(); address != m_idle.end();) {
    auto& idle = address->second;
    while (!idle.empty() && now - idle.front().since >= m_options.idle_lifetime) {
      idle.pop_front();
      --m_idle_count;
    }
    address = idle.empty() ? m_idle.erase(address) : std::next(address);
  }
}

} // namespace lovagehold
