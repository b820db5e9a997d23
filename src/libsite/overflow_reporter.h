#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/gateway.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// Sends the load that an entry host knows to the control host that it follows, each second in
/// which it has served requests. Runs on the context's thread.
class OverflowReporter
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage& message)>;

  OverflowReporter(boost::asio::io_context& context,
                   Gateway& gateway,
                   std::string domain,
                   Send send);

  /// Starts to report. Without this call, the object does nothing.
  void start();

  void stop() { m_timer.cancel(); }

  /// \param address of the control host that this host follows
  void follow(const std::string& address) { m_control = address; }

  /// Puts the shares in force.
  void receive(const DomainShares& shares, TimePoint now);

  /// Sends a report if there is one.
  void send_report(TimePoint now);

private:
  Gateway& m_gateway;
  std::string m_domain;
  Send m_send;
  boost::asio::steady_timer m_timer;
  std::string m_control;
  /// The control host that was last sent a report which isn't empty.
  std::string m_reported_to;
};

} // namespace lovagehold
