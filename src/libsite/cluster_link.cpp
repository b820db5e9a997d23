#include "cluster_link.h"

#include <boost/asio/post.hpp>

namespace lovagehold {

namespace {

// Dropped messages are logged at most once in this time, with their number.
constexpr std::chrono::seconds kDroppedLogInterval{ 1 };

} // namespace

ClusterLink::ClusterLink(boost::asio::io_context& context,
                         std::string address,
                         EventLog& log,
                         Handler handler,
                         std::function<void(const std::string& address)> on_unreachable)
  : m_context(context)
  , m_address(std::move(address))
  , m_log(log)
  , m_handler(std::move(handler))
  , m_transport(
      { .listen_address = m_address,
        .on_unreachable =
          [this, on_unreachable = std::move(on_unreachable)](const std::string& peer) {
            if (on_unreachable) {
              boost::asio::post(m_context, [on_unreachable, peer] { on_unreachable(peer); });
            }
          },
        .on_dropped = [this](const std::string& peer) { report_dropped(peer, Clock::now()); } },
      [this](const std::string& from, Bytes bytes) {
        boost::asio::post(m_context,
                          [this, from, bytes = std::move(bytes)] { receive(from, bytes); });
      })
{
}

Result<void>
ClusterLink::start()
{
  std::string error;
  if (!m_transport.start(error)) {
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = error,
                  .remedy = "stop the process that holds the address" };
  }
  return boost::outcome_v2::success();
}

void
ClusterLink::send(const std::string& address, const ClusterMessage& message)
{
  if (address == m_address) {
    boost::asio::post(m_context, [this, message] { m_handler(m_address, message); });
  } else {
    m_transport.send(address, encode(message));
  }
}

void
ClusterLink::receive(const std::string& from, const Bytes& bytes)
{
  const auto message = decode_message(bytes);
  if (message.has_value()) {
    m_handler(from, message.value());
  } else {
    m_log.warn("message_rejected", { { "from", from }, { "error", message.error().message } });
  }
}

void
ClusterLink::report_dropped(const std::string& peer, TimePoint now)
{
  if (now - m_dropped_logged_at < kDroppedLogInterval) {
    return;
  }
  m_dropped_logged_at = now;
  boost::asio::post(m_context, [this, peer] {
    m_log.warn("messages_dropped",
               { { "peer", peer }, { "total", std::to_string(m_transport.dropped_messages()) } });
  });
}

void
ClusterLink::stop()
{
  m_transport.stop();
  m_log.info("cluster_traffic",
             { { "sent_bytes", std::to_string(m_transport.bytes_sent()) },
               { "received_bytes", std::to_string(m_transport.bytes_received()) } });
}

} // namespace lovagehold
