#include "lovagehold/admin_server.h"

#include "libhttp/testing/odd_messages.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <gtest/gtest.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

namespace lovagehold {
namespace {

using boost::asio::ip::tcp;

constexpr unsigned short kPort = 7460;
constexpr std::size_t kMaxConnections = 20;

tcp::endpoint
endpoint()
{
  const char* net = std::getenv("LOVAGEHOLD_TEST_NET");
  return { boost::asio::ip::make_address(std::string(net == nullptr ? "127.10" : net) + ".7.1"),
           kPort };
}

// Runs a server that answers each request with its path.
class AdminServerTest : public ::testing::Test
{
protected:
  AdminServerTest()
    : m_server(m_context,
               [this](const AdminRequest& request, const AdminServer::Reply& reply) {
                 if (request.path == "/throws") {
                   throw std::runtime_error("odd call");
                 }
                 if (request.path == "/after-another" && m_earlier_reply) {
                   m_earlier_reply({ .body = "late" });
                 }
                 // Keeps the connection open, so only where the test needs it.
                 m_earlier_reply = request.path == "/once" ? reply : nullptr;
                 reply({ .body = request.path });
                 if (request.path == "/twice") {
                   reply({ .body = "second" });
                 }
                 if (request.path == "/replies-and-throws") {
                   throw std::runtime_error("odd call");
                 }
               },
               m_log,
               { .max_connections = kMaxConnections })
  {
    const std::string address =
      endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
    EXPECT_TRUE(m_server.start(address).has_value());
    m_thread = std::thread([this] {
      const auto guard = boost::asio::make_work_guard(m_context);
      m_context.run();
    });
  }

  ~AdminServerTest() override
  {
    m_context.stop();
    m_thread.join();
  }

  static tcp::socket connect(boost::asio::io_context& context)
  {
    tcp::socket socket(context);
    socket.connect(endpoint());
    const timeval limit{ .tv_sec = 10, .tv_usec = 0 };
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return socket;
  }

  // \return the bytes received until the server closes the connection or has sent \p expected
  static std::string read(tcp::socket& socket, const std::string& expected)
  {
    std::string received;
    char buffer[4096];
    ssize_t size = 0;
    while (received.find(expected) == std::string::npos &&
           (size = ::recv(socket.native_handle(), buffer, sizeof buffer, 0)) > 0) {
      received.append(buffer, static_cast<std::size_t>(size));
    }
    return received;
  }

  static std::string get(const std::string& path)
  {
    boost::asio::io_context context;
    tcp::socket socket = connect(context);
    boost::system::error_code ignored;
    boost::asio::write(socket,
                       boost::asio::buffer("GET " + path +
                                           " HTTP/1.1\r\nHost: a\r\n"
                                           "Connection: close\r\n\r\n"),
                       ignored);
    return read(socket, "(close)");
  }

  // Sends a request on a connection that is kept. \return what is received up to \p expected
  static std::string call(tcp::socket& socket, const std::string& path, const std::string& expected)
  {
    boost::asio::write(socket, boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    return read(socket, expected);
  }

  /// Reply to the request before, used on the server's thread.
  AdminServer::Reply m_earlier_reply;
  EventLog m_log{ { .host = "admin-server-test", .level = "error" } };
  boost::asio::io_context m_context;
  AdminServer m_server;
  std::thread m_thread;
};

// Guards against a request that ends the process or fills its memory, at the addresses for control,
// readiness, the directory and metrics.
TEST_F(AdminServerTest, OddRequestEndsOnlyItsConnection)
{
  for (const OddMessage& message : odd_messages("PUT /odd HTTP/1.1", "Host: a\r\n")) {
    boost::asio::io_context context;
    tcp::socket socket = connect(context);
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(message.bytes), error);
    std::size_t sent = 0;
    while (!message.endless.empty() && !error && sent <= kMaxBytesTaken) {
      sent += boost::asio::write(socket, boost::asio::buffer(message.endless), error);
    }
    EXPECT_LE(sent, kMaxBytesTaken) << message.name;
    EXPECT_NE(get("/other").find("/other"), std::string::npos) << message.name;
  }
}

// Guards against an exception of one call that ends the process.
TEST_F(AdminServerTest, ExceptionEndsOnlyItsCall)
{
  EXPECT_NE(get("/throws").find("500"), std::string::npos);
  EXPECT_NE(get("/other").find("/other"), std::string::npos);
}

// Guards against a second response on a connection, which its client would take for that to its
// next request: a handler replies twice, replies and then fails, or replies to an earlier request.
TEST_F(AdminServerTest, RequestHasOneResponse)
{
  for (const char* path : { "/twice", "/replies-and-throws", "/once" }) {
    boost::asio::io_context context;
    tcp::socket socket = connect(context);
    EXPECT_NE(call(socket, path, path).find("200 OK"), std::string::npos) << path;
    const std::string next = call(socket, "/after-another", "/after-another");
    EXPECT_EQ(next.rfind("HTTP/1.1 200 OK", 0), 0U) << path << ": " << next;
    EXPECT_NE(next.find("/after-another"), std::string::npos) << path << ": " << next;
    EXPECT_EQ(next.find("second"), std::string::npos) << path << ": " << next;
    EXPECT_EQ(next.find("late"), std::string::npos) << path << ": " << next;
  }
}

// Guards against idle connections that keep all others out.
TEST_F(AdminServerTest, IdleConnectionsGiveWay)
{
  boost::asio::io_context context;
  std::vector<tcp::socket> idle;
  for (std::size_t i = 0; i < 3 * kMaxConnections; ++i) {
    idle.push_back(connect(context));
  }
  EXPECT_NE(get("/other").find("/other"), std::string::npos);
  // The last connections are still open, the first one is closed.
  boost::asio::write(idle.back(),
                     boost::asio::buffer(std::string("GET /last HTTP/1.1\r\nHost: a\r\n\r\n")));
  EXPECT_NE(read(idle.back(), "/last").find("/last"), std::string::npos);
  EXPECT_EQ(read(idle.front(), "(close)"), "");
}

// Guards against bodies of many requests at once that fill the memory of the host.
TEST_F(AdminServerTest, BodiesOfAllConnectionsAreBounded)
{
  const std::string head = "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n";
  boost::asio::io_context context;
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(connect(context));
    boost::asio::write(clients.back(), boost::asio::buffer(head));
  }
  const std::string body(4194304, 'x');
  std::string refused;
  while (refused.empty()) {
    // The server may not have read all eight headers yet.
    tcp::socket client = connect(context);
    boost::system::error_code ignored;
    boost::asio::write(client, boost::asio::buffer(head + "x"), ignored);
    const timeval limit{ .tv_sec = 0, .tv_usec = 100000 };
    ::setsockopt(client.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    refused = read(client, "(close)");
  }
  EXPECT_NE(refused.find("503"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After: 1"), std::string::npos);
  // Small requests are served, and the bodies that were accepted can still arrive.
  EXPECT_NE(get("/other").find("/other"), std::string::npos);
  boost::asio::write(clients.front(), boost::asio::buffer(body));
  EXPECT_NE(read(clients.front(), "/x").find("/x"), std::string::npos);
}

} // namespace
} // namespace lovagehold
