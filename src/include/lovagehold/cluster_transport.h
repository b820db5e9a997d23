#pragma once

#include "lovagehold/types.h"

#include <functional>
#include <memory>
#include <string>

namespace lovagehold {

struct ClusterTransportOptions
{
  /// "IP:port" to listen on; also identifies this process to its peers.
  std::string listen_address;
  /// Maximum size of a message.
  std::size_t message_bytes = std::size_t{ 64 } << 20;
  /// Maximum number of bytes queued for one peer; further messages are dropped.
  std::size_t backlog_bytes = std::size_t{ 8 } << 20;
  /// A connection is closed when sent data stays unacknowledged for this long.
  std::chrono::milliseconds unacknowledged_timeout{ 1000 };
  /// Called on the transport's thread when a connection could not be opened. May be empty.
  std::function<void(const std::string& peer_address)> on_unreachable;
  /// Called on the transport's thread for each message that was dropped because too much is queued
  /// for its peer, or because the connection to it broke. May be empty.
  std::function<void(const std::string& peer_address)> on_dropped;
};

/// Exchanges binary messages between the processes of the cluster over WebSocket connections.
/// Messages arrive in order on one connection and may be lost when it breaks. All functions are
/// thread-safe.
class ClusterTransport
{
public:
  /// Called on the transport's thread with the peer's listen address and the message.
  using ReceiveHandler = std::function<void(const std::string& peer_address, Bytes message)>;

  ClusterTransport(ClusterTransportOptions options, ReceiveHandler receive);
  ~ClusterTransport();

  /// Listens and starts the transport's thread.
  /// \return false if it can't listen on the address; \p error then holds the reason
  bool start(std::string& error);

  /// Sends the message, opening a connection if there is none. Never blocks.
  void send(const std::string& peer_address, Bytes message);

  /// Closes all connections and joins the thread.
  void stop();

  /// Bytes sent and received since the start, for the metrics.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

  /// Messages dropped since the start, for the metrics; see ClusterTransportOptions::on_dropped.
  std::uint64_t dropped_messages() const;

  /// Failed attempts to open a connection, for the metrics. An attempt times out after 0.3 s
  /// without a TCP connection, and after another second without a WebSocket handshake.
  std::uint64_t failed_connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
