#pragma once

#include "lovagehold/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lovagehold {

struct ConnectionAcceptorHooks
{
  /// Takes a new connection.
  std::function<void(boost::asio::ip::tcp::socket)> on_connection;
  /// Closes a connection that is idle, so that its descriptor can be used for a new one. May be
  /// empty. \return whether there was one
  std::function<bool()> close_idle;
};

/// Accepts connections on one address. If the process has no file descriptor left, idle connections
/// are closed and the next attempt is made after a pause: the kernel reports a waiting connection
/// again at once, so that a loop without a pause would use a whole core. Not thread-safe.
class ConnectionAcceptor
{
public:
  ConnectionAcceptor(boost::asio::io_context& context, ConnectionAcceptorHooks hooks);
  /// Closes the listener.
  ~ConnectionAcceptor();
  ConnectionAcceptor(const ConnectionAcceptor&) = delete;
  ConnectionAcceptor& operator=(const ConnectionAcceptor&) = delete;

  /// Listens on "IP:port". May be called again after an error.
  /// \param setting name of the setting, such as listen.admin, for the error's remedy
  Result<void> start(const std::string& address, const std::string& setting);

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace lovagehold
