#pragma once

#include "http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lovagehold {

/// A connection to a server with a deadline timer that closes it. Used on one thread only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  explicit ServerConnection(const asio::any_io_executor& executor);

  /// Closes the connection at the deadline. Replaces an earlier deadline.
  void set_deadline(TimePoint deadline);

  /// Removes the deadline.
  void clear_deadline();

  /// Closes the connection; pending operations on it end with an error.
  void close();

  /// \return whether the connection may be reused: it is open and the server has not sent any bytes
  /// that were not requested.
  bool is_clean();

  /// \return whether the connection was closed by its deadline.
  bool timed_out() const { return m_timed_out; }

  tcp::socket socket;
  ReadBuffer buffer;
  /// The connection was taken from a pool.
  bool reused = false;
  /// Idle time after which the server closes the connection; nothing if it is not known.
  std::optional<Duration> idle_limit;

private:
  asio::steady_timer m_watchdog;
  std::uint64_t m_generation = 0;
  bool m_timed_out = false;
};

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

struct ConnectionPoolOptions
{
  /// Idle connections to one address at most. A server has few slots; relays to the owner of a
  /// service need more connections.
  std::size_t idle_per_address = 32;
  /// Idle connections to all addresses at most.
  std::size_t idle_total = 1024;
  /// How long a connection stays in the pool. Shorter than the usual idle timeouts of servers, so
  /// that the server rarely closes it first.
  std::chrono::seconds idle_lifetime{ 10 };
};

/// Pool of the idle connections of one thread, by address. Not thread-safe.
class ConnectionPool
{
public:
  explicit ConnectionPool(ConnectionPoolOptions options = {});

  /// Removes a reusable connection from the pool. \return the most recently used one; null if there
  /// is none.
  std::shared_ptr<ServerConnection> take(const std::string& address, TimePoint now);

  /// Adds a connection after a complete response. Closes it if it can't be reused or the pool is
  /// full.
  void put(const std::string& address, std::shared_ptr<ServerConnection> connection, TimePoint now);

  /// Closes connections that have been idle for the lifetime or longer.
  void expire(TimePoint now);

private:
  struct IdleConnection
  {
    std::shared_ptr<ServerConnection> connection;
    TimePoint since;
  };

  ConnectionPoolOptions m_options;
  std::unordered_map<std::string, std::deque<IdleConnection>> m_idle;
  std::size_t m_idle_count = 0;
};

} // namespace lovagehold
