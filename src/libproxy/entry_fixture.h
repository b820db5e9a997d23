#pragma once

#include "lovagehold/entry_service.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

namespace lovagehold {

using TestSocket = boost::asio::ip::tcp::socket;

/// \return an endpoint on the loopback network of this test run, LOVAGEHOLD_TEST_NET or 127.10.
/// \param host last two parts of the address, with a leading dot
inline boost::asio::ip::tcp::endpoint
test_endpoint(const std::string& host, unsigned short port)
{
  const char* net = std::getenv("LOVAGEHOLD_TEST_NET");
  const std::string address = std::string(net == nullptr ? "127.10" : net) + host;
  return { boost::asio::ip::make_address(address), port };
}

/// Sets a read timeout, so that a failing test ends instead of blocking.
inline void
set_read_timeout(TestSocket& socket)
{
  const timeval limit{ .tv_sec = 10, .tv_usec = 0 };
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

/// \return all bytes received until the peer closes the connection; nothing if it does not.
inline std::optional<std::string>
read_to_close(TestSocket& socket)
{
  std::string all;
  std::array<char, 4096> buffer{};
  while (true) {
    const auto received = ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
    if (received < 0 && errno != ECONNRESET) {
      return std::nullopt;
    }
    if (received <= 0) {
      return all;
    }
    all.append(buffer.data(), static_cast<std::size_t>(received));
  }
}

/// A server that reads one request header per connection, sends a fixed response and closes the
/// connection.
class FixedServer
{
public:
  explicit FixedServer(unsigned short port)
    : m_acceptor(m_context, test_endpoint(".9.2", port))
    , m_thread([this] { serve(); })
  {
  }

  ~FixedServer()
  {
    m_stopping = true;
    TestSocket wake(m_context);
    boost::system::error_code ignored;
    wake.connect(m_acceptor.local_endpoint(), ignored);
    // Otherwise the thread would wait for a request on this connection.
    wake.close(ignored);
    m_thread.join();
  }

  /// \param endless sent repeatedly after \p bytes until the peer closes the connection
  void respond_with(std::string bytes, std::string endless = "")
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_response = std::move(bytes);
    m_endless = std::move(endless);
  }

  /// \return bytes that the peer has taken of responses without end
  std::size_t endless_bytes() const { return m_endless_bytes; }

  /// From now on, reads requests to the end of the connection and sends no response.
  void hold() { m_hold = true; }

  unsigned requests() const { return m_requests; }

  /// \return whether a request with "/smuggled" in its header or first bytes was received.
  bool saw_smuggled() const { return m_saw_smuggled; }

private:
  void serve()
  {
    while (!m_stopping) {
      TestSocket socket(m_context);
      boost::system::error_code error;
      m_acceptor.accept(socket, error);
      set_read_timeout(socket);
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
      if (!error) {
        ++m_requests;
        m_saw_smuggled = m_saw_smuggled || request.find("/smuggled") != std::string::npos;
        if (m_hold) {
          read_to_close(socket);
          continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        boost::asio::write(socket, boost::asio::buffer(m_response), error);
        while (!m_endless.empty() && !error && !m_stopping) {
          m_endless_bytes += boost::asio::write(socket, boost::asio::buffer(m_endless), error);
        }
      }
    }
  }

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::mutex m_mutex;
  std::string m_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::string m_endless;
  std::atomic<std::size_t> m_endless_bytes{ 0 };
  std::atomic<unsigned> m_requests{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_hold{ false };
  std::atomic<bool> m_saw_smuggled{ false };
  std::thread m_thread;
};

/// An entry service with one service "desk" that has one server, and fakes for EntryPorts.
class EntryFixture
{
public:
  explicit EntryFixture(unsigned short port)
    : m_port(port)
    , m_log({ .host = "host-1", .level = "error" })
    , m_server(std::make_unique<FixedServer>(port))
    , m_entry(EntryServiceOptions{ .self = "host-1",
                                   .caller_address = text(test_endpoint(".9.1", port)),
                                   .threads = 1,
                                   .limits = { .idle = std::chrono::milliseconds(300),
                                               .header_timeout = std::chrono::milliseconds(500),
                                               .body_idle = std::chrono::milliseconds(500) } },
              make_ports(),
              m_log)
  {
    set_share(SlotShare::Full);
    EXPECT_TRUE(m_entry.start().has_value());
  }

  /// Sets a routing view with this share and renews the server.
  void set_share(SlotShare share)
  {
    const RequestKind read{ .name = "read", .methods = { "GET", "HEAD", "PUT" } };
    const RequestKind post{ .name = "post",
                            .request_class = RequestClass::NonIdempotent,
                            .methods = { "POST" },
                            .idempotent = false };
    auto view = std::make_shared<RoutingView>();
    view->self = "host-1";
    view->routes["desk"] = { .declaration = { .name = "desk", .kinds = { read, post } },
                             .homes = { { .id = "host-1" } },
                             .servers = { { .service = "desk",
                                            .id = "server-1",
                                            .address = text(test_endpoint(".9.2", m_port)) } },
                             .share = share };
    m_entry.update(view, Clock::now());
    renew();
  }

  void renew()
  {
    const ServerRenewal renewal{ .service = "desk", .id = "server-1" };
    m_entry.renew(renewal, Clock::now());
  }

  /// Sends the bytes on a new connection. \return all bytes received until the entry service closed
  /// it; nothing if it did not.
  std::optional<std::string> send(const std::string& bytes)
  {
    renew();
    boost::asio::io_context context;
    TestSocket socket(context);
    socket.connect(test_endpoint(".9.1", m_port));
    set_read_timeout(socket);
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    return read_to_close(socket);
  }

  /// Answers proposals; tests may replace it. Grants all claims by default.
  std::function<Result<ApplyResult>(const Command&)> on_propose = [](const Command&) {
    return Result<ApplyResult>(ApplyResult{ .accepted = true, .claim = ClaimStatus::Granted });
  };
  std::vector<Command> proposed;
  FixedServer& server() { return *m_server; }
  void stop_server() { m_server.reset(); }

private:
  static std::string text(const boost::asio::ip::tcp::endpoint& endpoint)
  {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  EntryPorts make_ports()
  {
    EntryPorts ports;
    ports.propose = [this](const Command& command, const auto& handler) {
      proposed.push_back(command);
      handler(on_propose(command));
    };
    ports.send_renewal = [](const HostInfo&, const ServerRenewal&) {};
    ports.key_status = [](const ServiceName&, const std::string&, const auto& handler) {
      handler(std::nullopt);
    };
    return ports;
  }

  unsigned short m_port;
  EventLog m_log;
  std::unique_ptr<FixedServer> m_server;
  EntryService m_entry;
};

/// \return the status code of the first response; 0 if there is none.
inline int
status_of(const std::string& bytes)
{
  return bytes.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(bytes.c_str() + 9) : 0;
}

} // namespace lovagehold
