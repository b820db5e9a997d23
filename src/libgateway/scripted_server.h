#pragma once

#include "libproxy/entry_fixture.h"

#include <boost/asio/read.hpp>
#include <functional>
#include <mutex>
#include <sys/socket.h>

namespace lovagehold {

/// A request as a scripted server received it.
struct ReceivedRequest
{
  std::string head;
  std::string body;
  /// Requests and health checks received before on the same connection.
  unsigned earlier = 0;

  /// \return the value of the header; empty if it is missing
  std::string header(const std::string& name) const
  {
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
      return "";
    }
    const std::size_t value_start = start + name.size() + 4;
    return head.substr(value_start, head.find("\r\n", value_start) - value_start);
  }
};

/// The reaction of a scripted server to a request.
struct ScriptedResponse
{
  std::string bytes;
  /// Sent after \p bytes and a pause.
  std::string rest;
  bool close = false;
  /// Closes the connection with a TCP reset.
  bool reset = false;
  /// Waits before that until the peer can send no more, because nobody reads it.
  bool await_full_buffers = false;
  /// Closes only the sending direction and reads until the peer closes the connection. With
  /// \p stall, reads nothing.
  bool half_close = false;
  /// Closes the connection and refuses all further ones.
  bool crash = false;
  /// Sends nothing and waits until the peer closes the connection.
  bool hang = false;
  /// Sends \p bytes, then keeps the connection open and reads and sends nothing more.
  bool stall = false;
  /// Sent repeatedly after \p bytes until the peer closes the connection.
  std::string endless;
  /// Pause before \p rest, or between two repetitions.
  std::chrono::milliseconds pause{ 0 };
};

/// An HTTP server on a loopback address that responds to requests by calling a script, and to
/// health checks with a load report.
class ScriptedServer
{
public:
  using Script = std::function<ScriptedResponse(const ReceivedRequest&)>;

  ScriptedServer(std::string id, const boost::asio::ip::tcp::endpoint& address, Script script)
    : m_id(std::move(id))
    , m_script(std::move(script))
    , m_acceptor(m_context, address)
    , m_thread([this] { accept(); })
  {
  }

  ~ScriptedServer()
  {
    m_stopping = true;
    stop_listening();
    m_thread.join();
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const auto& socket : m_sockets) {
        ::shutdown(socket->native_handle(), SHUT_RDWR);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  /// \return all requests received so far, without health checks
  std::vector<ReceivedRequest> requests() const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
  }

  /// The next \p checks health checks report a full server: 3 requests in progress and 3 slots.
  void report_full_load(unsigned checks) { m_full_checks = checks; }

  /// From now on, requests are answered before their body is read.
  void respond_early() { m_early = true; }

  /// From now on, health checks say that the server is leaving.
  void leave() { m_leaving = true; }

  /// From now on, health checks name this request limit; empty: none.
  void name_limit(const std::string& limit)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_limit = limit;
  }

  /// From now on, health checks name this time in milliseconds for which the server is cold; empty:
  /// none.
  void stay_cold(const std::string& time)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_warmup = time;
  }

  /// From now on, health checks are answered with these bytes, see ScriptedResponse.
  void answer_checks_with(std::string bytes, std::string endless)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_check_response = ScriptedResponse{ .bytes = std::move(bytes), .endless = std::move(endless) };
  }

  /// \return the most bytes that the peer has taken of a response without end
  std::size_t endless_bytes() const { return m_endless_bytes; }

  /// \return number of health checks received so far
  unsigned checks() const { return m_checks; }

  /// \return whether the peer closed a connection on which the script left a request hanging or
  /// sent bytes without end
  bool peer_closed() const { return m_peer_closed; }

  /// \return the header with the id of the request, which servers add to all their responses
  static std::string id_header(const ReceivedRequest& request)
  {
    return "Lovagehold-Request-Id: " + request.header("Lovagehold-Request-Id") + "\r\n";
  }

  /// \return a successful response that carries the id of the request, as servers send it
  static std::string response(const ReceivedRequest& request, const std::string& body)
  {
    return "HTTP/1.1 200 OK\r\n" + id_header(request) +
           "Lovagehold-Response-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

private:
  static constexpr std::chrono::milliseconds kStallTime{ 100 };

  void accept()
  {
    while (!m_stopping) {
      auto socket = std::make_shared<TestSocket>(m_context);
      boost::system::error_code error;
      m_acceptor.accept(*socket, error);
      if (m_stopping || error) {
        return;
      }
      set_read_timeout(*socket);
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_sockets.push_back(socket);
      m_threads.emplace_back([this, socket] { serve(*socket); });
    }
  }

  void serve(TestSocket& socket)
  {
    std::string buffer;
    for (unsigned earlier = 0;; ++earlier) {
      boost::system::error_code error;
      const std::size_t size =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) {
        return;
      }
      ReceivedRequest request{ .head = buffer.substr(0, size), .earlier = earlier };
      buffer.erase(0, size);
      const std::string length = request.header("Content-Length");
      const std::size_t body_size = length.empty() || m_early ? 0 : std::stoul(length);
      while (buffer.size() < body_size && !error) {
        std::array<char, 4096> read_buffer{};
        const std::size_t received = socket.read_some(boost::asio::buffer(read_buffer), error);
        buffer.append(read_buffer.data(), received);
      }
      request.body = buffer.substr(0, body_size);
      buffer.erase(0, body_size);
      if (!respond(socket, request)) {
        return;
      }
    }
  }

  // \return whether the peer closed the connection
  bool send_without_end(TestSocket& socket, const ScriptedResponse& scripted)
  {
    boost::system::error_code error;
    std::size_t sent = 0;
    while (!error && !m_stopping) {
      sent += boost::asio::write(socket, boost::asio::buffer(scripted.endless), error);
      std::this_thread::sleep_for(scripted.pause);
    }
    m_endless_bytes = std::max(m_endless_bytes.load(), sent);
    return bool(error);
  }

  void await_stop() const
  {
    while (!m_stopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  bool respond(TestSocket& socket, const ReceivedRequest& request)
  {
    ScriptedResponse scripted;
    if (request.head.rfind("GET /health", 0) == 0) {
      const bool full = m_full_checks > 0;
      m_full_checks -= full ? 1 : 0;
      scripted.bytes = "HTTP/1.1 200 OK\r\nLovagehold-Instance-Id: " + m_id +
                       "\r\nLovagehold-Server-Load: " + (full ? "3" : "0") + ",0,3,100\r\n" +
                       (m_leaving ? "Server-Leaving: 1\r\n" : "") + limit_header() +
                       warmup_header() + "Content-Length: 0\r\n\r\n";
      ++m_checks;
      const std::lock_guard<std::mutex> lock(m_mutex);
      scripted = m_check_response.value_or(scripted);
    } else {
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.push_back(request);
      }
      scripted = m_script(request);
    }
    if (scripted.crash) {
      stop_listening();
      return close(socket);
    }
    if (scripted.hang) {
      m_peer_closed = read_to_close(socket).has_value();
      return false;
    }
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(scripted.bytes), ignored);
    if (!scripted.rest.empty()) {
      std::this_thread::sleep_for(scripted.pause);
      boost::asio::write(socket, boost::asio::buffer(scripted.rest), ignored);
    }
    if (!scripted.endless.empty()) {
      m_peer_closed = send_without_end(socket, scripted);
      return false;
    }
    if (scripted.half_close) {
      socket.shutdown(TestSocket::shutdown_send, ignored);
    }
    if (scripted.stall) {
      await_stop();
      return false;
    }
    if (scripted.half_close) {
      read_to_close(socket);
      return false;
    }
    if (scripted.await_full_buffers) {
      await_full_buffers(socket);
    }
    if (scripted.reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (scripted.close || scripted.reset) {
      return close(socket);
    }
    return true;
  }

  // Waits until no more bytes arrive, because the buffers of both sockets are full.
  static void await_full_buffers(TestSocket& socket)
  {
    std::size_t unread = 0;
    TimePoint changed = Clock::now();
    while (Clock::now() - changed < kStallTime) {
      const std::size_t arrived = socket.available();
      if (arrived != unread) {
        unread = arrived;
        changed = Clock::now();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  static bool close(TestSocket& socket)
  {
    boost::system::error_code ignored;
    socket.close(ignored);
    return false;
  }

  // Ends a blocked accept(), which closing the acceptor would not.
  void stop_listening() { ::shutdown(m_acceptor.native_handle(), SHUT_RDWR); }

  std::string limit_header() const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_limit.empty() ? "" : "Server-Limit: " + m_limit + "\r\n";
  }

  std::string warmup_header() const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_warmup.empty() ? "" : "Server-Warmup: " + m_warmup + "\r\n";
  }

  std::string m_id;
  Script m_script;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  mutable std::mutex m_mutex;
  std::vector<ReceivedRequest> m_requests;
  std::string m_limit;
  std::string m_warmup;
  std::optional<ScriptedResponse> m_check_response;
  std::vector<std::shared_ptr<TestSocket>> m_sockets;
  std::vector<std::thread> m_threads;
  std::atomic<unsigned> m_full_checks{ 0 };
  std::atomic<unsigned> m_checks{ 0 };
  std::atomic<std::size_t> m_endless_bytes{ 0 };
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_early{ false };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_peer_closed{ false };
  std::thread m_thread;
};

} // namespace lovagehold
