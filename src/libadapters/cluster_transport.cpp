#include "lovagehold/cluster_transport.h"

#include "lovagehold/address.h"

#include <atomic>
#include <deque>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace lovagehold {

namespace {

// A host that is powered off does not answer, and the kernel repeats a connection request only
// after seconds. With the library's timeout of 5 s, a host would stay unreachable for that long
// after it comes back.
// NOLINTBEGIN(readability-identifier-naming): names defined by websocketpp
struct ClientConfig : websocketpp::config::asio_client
{
  struct transport_config : websocketpp::config::asio_client::transport_config
  {
    static const long timeout_connect = 300;
  };
  using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<ClientConfig>;
using websocketpp::connection_hdl;

// A peer that many hosts connect to at once answers late. Ending the attempt early would make it
// answer another one.
constexpr long kHandshakeTimeoutMs = 1000;
constexpr char kAddressHeader[] = "Lovagehold-Address";

// Disables Nagle's algorithm, because messages are small and latency-sensitive. A network partition
// drops packets silently; without TCP_USER_TIMEOUT an old connection would continue to retransmit
// for seconds after the partition has healed.
void
configure_socket(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds unacknowledged)
{
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const unsigned limit = static_cast<unsigned>(unacknowledged.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

struct Peer
{
  // Exactly one of the two is set once the connection is open.
  Server::connection_ptr inbound;
  Client::connection_ptr outbound;
  bool connecting = false;
  std::deque<Bytes> backlog;
  std::size_t backlog_bytes = 0;
};

} // namespace

struct ClusterTransport::Impl
{
  ClusterTransportOptions options;
  ReceiveHandler receive;
  boost::asio::io_context context;
  Server server;
  Client client;
  // Accessed only on the transport's thread.
  std::map<std::string, Peer> peers;
  std::thread thread;
  std::atomic<std::uint64_t> sent{ 0 };
  std::atomic<std::uint64_t> received{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> dropped{ 0 };
  std::atomic<bool> stopping{ false };

  template<class Endpoint>
  void configure(Endpoint& endpoint)
  {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(options.message_bytes);
  }

  void configure_server()
  {
    configure(server);
    server.set_reuse_addr(true);
    server.set_validate_handler([this](const connection_hdl& handle) {
      return !server.get_con_from_hdl(handle)->get_request_header(kAddressHeader).empty();
    });
    server.set_open_handler([this](const connection_hdl& handle) {
      const auto connection = server.get_con_from_hdl(handle);
      configure_socket(connection->get_raw_socket(), options.unacknowledged_timeout);
      const std::string address = connection->get_request_header(kAddressHeader);
      Peer& peer = peers[address];
      if (!peer.outbound) {
        peer.inbound = connection;
        flush(address, peer);
      }
    });
    server.set_message_handler(
      [this](const connection_hdl& handle, const Server::message_ptr& message) {
        deliver(server.get_con_from_hdl(handle)->get_request_header(kAddressHeader),
                message->get_payload());
      });
    server.set_close_handler([this](const connection_hdl& handle) {
      const auto connection = server.get_con_from_hdl(handle);
      Peer& peer = peers[connection->get_request_header(kAddressHeader)];
      if (peer.inbound == connection) {
        peer.inbound.reset();
      }
    });
  }

  void deliver(const std::string& peer, const std::string& payload)
  {
    received += payload.size();
    receive(peer, Bytes(payload.begin(), payload.end()));
  }

  void connect(const std::string& address, Peer& peer)
  {
    websocketpp::lib::error_code error;
    const auto connection = client.get_connection("ws://" + address + "/cluster", error);
    if (error) {
      drop_backlog(address, peer);
      return;
    }
    connection->append_header(kAddressHeader, options.listen_address);
    connection->set_open_handshake_timeout(kHandshakeTimeoutMs);
    connection->set_open_handler([this, address, connection](const connection_hdl&) {
      configure_socket(connection->get_raw_socket(), options.unacknowledged_timeout);
      Peer& opened = peers[address];
      opened.connecting = false;
      opened.outbound = connection;
      opened.inbound.reset();
      flush(address, opened);
    });
    const auto on_end = [this, address](const connection_hdl&) {
      Peer& ended = peers[address];
      if (std::exchange(ended.connecting, false)) {
        ++failed;
        if (options.on_unreachable) {
          options.on_unreachable(address);
        }
      }
      ended.outbound.reset();
      drop_backlog(address, ended);
    };
    connection->set_fail_handler(on_end);
    connection->set_close_handler(on_end);
    connection->set_message_handler(
      [this, address](const connection_hdl&, const Client::message_ptr& message) {
        deliver(address, message->get_payload());
      });
    peer.connecting = true;
    client.connect(connection);
  }

  void count_dropped(const std::string& address)
  {
    ++dropped;
    if (options.on_dropped) {
      options.on_dropped(address);
    }
  }

  void drop_backlog(const std::string& address, Peer& peer)
  {
    peer.backlog_bytes = 0;
    for (std::size_t count = std::exchange(peer.backlog, {}).size(); count > 0; --count) {
      count_dropped(address);
    }
  }

  void flush(const std::string& address, Peer& peer)
  {
    peer.backlog_bytes = 0;
    for (const Bytes& message : std::exchange(peer.backlog, {})) {
      write(address, peer, message);
    }
  }

  template<class Connection>
  bool write_to(Connection& connection, const Bytes& message) const
  {
    return connection.get_buffered_amount() < options.backlog_bytes &&
           !connection.send(message.data(), message.size(), websocketpp::frame::opcode::binary);
  }

  void write(const std::string& address, Peer& peer, const Bytes& message)
  {
    const bool written = peer.outbound  ? write_to(*peer.outbound, message)
                         : peer.inbound ? write_to(*peer.inbound, message)
                                        : false;
    if (written) {
      sent += message.size();
    } else {
      count_dropped(address);
    }
  }

  void send_now(const std::string& address, Bytes message)
  {
    Peer& peer = peers[address];
    if (peer.outbound || peer.inbound) {
      write(address, peer, message);
      return;
    }
    if (peer.backlog_bytes + message.size() <= options.backlog_bytes) {
      peer.backlog_bytes += message.size();
      peer.backlog.push_back(std::move(message));
    } else {
      count_dropped(address);
    }
    if (!peer.connecting) {
      connect(address, peer);
    }
  }

  void close_all()
  {
    websocketpp::lib::error_code ignored;
    server.stop_listening(ignored);
    peers.clear();
    context.stop();
  }
};

ClusterTransport::ClusterTransport(ClusterTransportOptions options, ReceiveHandler receive)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = std::move(options);
  m_impl->receive = std::move(receive);
}

ClusterTransport::~ClusterTransport()
{
  stop();
}

bool
ClusterTransport::start(std::string& error)
{
  const auto endpoint = parse_endpoint(m_impl->options.listen_address);
  if (!endpoint) {
    error = "'" + m_impl->options.listen_address + "' is not an IP:port address";
    return false;
  }
  m_impl->configure_server();
  m_impl->configure(m_impl->client);
  websocketpp::lib::error_code code;
  m_impl->server.listen(*endpoint, code);
  if (code) {
    error = "can't listen on " + m_impl->options.listen_address + ": " + code.message();
    return false;
  }
  m_impl->server.start_accept();
  m_impl->thread = std::thread([this] { m_impl->context.run(); });
  return true;
}

void
ClusterTransport::send(const std::string& peer_address, Bytes message)
{
  if (m_impl->stopping) {
    return;
  }
  boost::asio::post(m_impl->context, [this, peer_address, message = std::move(message)]() mutable {
    m_impl->send_now(peer_address, std::move(message));
  });
}

void
ClusterTransport::stop()
{
  if (m_impl->stopping.exchange(true)) {
    return;
  }
  if (m_impl->thread.joinable()) {
    boost::asio::post(m_impl->context, [this] { m_impl->close_all(); });
    m_impl->thread.join();
  }
}

std::uint64_t
ClusterTransport::bytes_sent() const
{
  return m_impl->sent;
}

std::uint64_t
ClusterTransport::bytes_received() const
{
  return m_impl->received;
}

std::uint64_t
ClusterTransport::dropped_messages() const
{
  return m_impl->dropped;
}

std::uint64_t
ClusterTransport::failed_connections() const
{
  return m_impl->failed;
}

} // namespace lovagehold
