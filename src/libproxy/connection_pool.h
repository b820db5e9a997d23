#pragma once

#include "http_types.h"
#include "lovagehold/types.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lovagehold {

/// A connection to a server with a watchdog that closes it. Belongs to one thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  explicit ServerConnection(const asio::any_io_executor& executor);

  /// Closes the connection at the time given unless set_deadline is called again before.
  void set_deadline(TimePoint deadline);

  /// Stops the watchdog.
  void clear_deadline();

  /// Closes the connection; operations on it end with an error.
  void close();

  /// \return whether the peer neither closed the connection nor sent bytes without a request.
  bool is_clean();

  /// Whether the watchdog closed the connection.
  bool timed_out() const { return m_timed_out; }

  tcp::socket socket;
  beast::flat_buffer buffer;
  /// Served an earlier request.
  bool reused = false;
  /// The server closes the connection when it has been idle for longer; nothing if it did not say.
  std::optional<Duration> idle_limit;

private:
  asio::steady_timer m_watchdog;
  std::uint64_t m_generation = 0;
  bool m_timed_out = false;
};

struct ConnectionPoolOptions
{
  /// Idle connections to one address. Slots are few per server; relays to an owner need more.
  std::size_t idle_per_address = 32;
  /// Idle connections to all addresses.
  std::size_t idle_total = 1024;
  /// Shorter than the idle limits usual for servers, so that the server rarely closes first.
  std::chrono::seconds idle_lifetime{ 10 };
};

/// Idle connections of one thread that the next request to the same address may use. Not
/// thread-safe.
class ConnectionPool
{
public:
  explicit ConnectionPool(ConnectionPoolOptions options = {});

  /// \return an idle connection that is still clean; null if there is none.
  std::shared_ptr<ServerConnection> take(const std::string& address, TimePoint now);

  /// Accepts a connection after a complete response. Closes it if it is not clean or the pool is
  /// full.
  void put(const std::string& address, std::shared_ptr<ServerConnection> connection, TimePoint now);

  /// Closes connections that were idle for longer than the lifetime.
  void expire(TimePoint now);

  std::size_t idle_count() const { return m_idle_count; }

private:
  struct Idle
  {
    std::shared_ptr<ServerConnection> connection;
    TimePoint since;
  };

  ConnectionPoolOptions m_options;
  std::unordered_map<std::string, std::deque<Idle>> m_idle;
  std::size_t m_idle_count = 0;
};

} // namespace lovagehold
