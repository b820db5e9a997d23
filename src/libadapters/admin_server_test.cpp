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
               [](const AdminRequest& request, const AdminServer::Reply& reply) {
          reply({ .body = request.path });
        })
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

} // namespace
} // namespace lovagehold
