#pragma once

#include "lovagehold/types.h"

#include <functional>
#include <memory>
#include <string>

namespace lovagehold {

struct ClusterTransportOptions
{
  /// "IP:port" to listen on; peers use it as the name of this process.
  std::string listen_address;
  /// Bytes of one message at most.
  std::size_t message_bytes = std::size_t{ 64 } << 20;
  /// Bytes that wait for a connection to one peer at most; further messages are dropped.
  std::size_t backlog_bytes = std::size_t{ 8 } << 20;
  /// A connection whose data is not acknowledged for this time is closed.
  std::chrono::milliseconds unacknowledged_timeout{ 1000 };
};

/// Sends binary messages between the processes of the cluster over websocket connections. Messages
/// may be lost when a connection breaks and keep their order while it lasts. All functions are
/// thread-safe.
class ClusterTransport
{
public:
  /// Called on the transport's thread with the peer's listen address and the message.
  using Receive = std::function<void(const std::string& peer_address, Bytes message)>;

  ClusterTransport(ClusterTransportOptions options, Receive receive);
  ~ClusterTransport();

  /// Listens and starts the transport's thread.
  /// \return false if the address can't be listened on; \p error then says why.
  bool start(std::string& error);

  /// Sends the message, opening a connection if there is none. Never blocks.
  void send(const std::string& peer_address, Bytes message);

  /// Closes all connections and joins the thread.
  void stop();

  /// Bytes sent and received since the start, for the metrics.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

  /// Connections that could not be opened, for the metrics. One attempt ends after 0.3 s.
  std::uint64_t failed_connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
