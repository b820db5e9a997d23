#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/cluster_transport.h"
#include "lovagehold/event_log.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace lovagehold {

/// Exchanges typed messages with the other hosts. Received messages are handled on the context's
/// thread.
class ClusterLink
{
public:
  using Handler = std::function<void(const std::string& from, const ClusterMessage& message)>;

  /// \param address "IP:port" to listen on
  /// \param on_unreachable called when no connection to a host could be opened; may be empty
  ClusterLink(boost::asio::io_context& context,
              std::string address,
              EventLog& log,
              Handler handler,
              std::function<void(const std::string& address)> on_unreachable = {});

  Result<void> start();

  /// Sends a message. One to the own address is delivered locally.
  void send(const std::string& address, const ClusterMessage& message);

  /// \return messages dropped since the start, because too much was queued for their receiver or
  /// the connection to it broke
  std::uint64_t dropped_messages() const { return m_transport.dropped_messages(); }

  /// Closes all connections and logs the number of bytes sent and received.
  void stop();

private:
  void receive(const std::string& from, const Bytes& bytes);
  void report_dropped(const std::string& peer, TimePoint now);

  boost::asio::io_context& m_context;
  std::string m_address;
  EventLog& m_log;
  Handler m_handler;
  /// Used only on the transport's thread.
  TimePoint m_dropped_logged_at;
  ClusterTransport m_transport;
};

} // namespace lovagehold
