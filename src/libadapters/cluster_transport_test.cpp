#include "lovagehold/cluster_transport.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <cstdlib>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace lovagehold {
namespace {

constexpr std::chrono::seconds kTestTimeout{ 20 };

// Test runs in parallel use different networks.
std::string
test_network()
{
  const char* network = std::getenv("LOVAGEHOLD_TEST_NET");
  return network == nullptr ? "127.10" : network;
}

class Inbox
{
public:
  void put(Bytes message)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_messages.push_back(std::move(message));
    m_changed.notify_all();
  }

  bool await_count(std::size_t count)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, kTestTimeout, [&] { return m_messages.size() >= count; });
  }

  Bytes at(std::size_t position)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_messages.at(position);
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Bytes> m_messages;
};

// Guards against replies that need a second connection and against reordering on one connection.
TEST(ClusterTransport, DeliversInOrderAndRepliesToThePeer)
{
  const std::string left_address = test_network() + ".0.1:39501";
  const std::string right_address = test_network() + ".0.1:39502";
  Inbox left_inbox;
  Inbox right_inbox;
  ClusterTransport left({ left_address }, [&](const std::string&, Bytes message) {
    left_inbox.put(std::move(message));
  });
  ClusterTransport* reply_from = nullptr;
  ClusterTransport right({ right_address }, [&](const std::string& peer, Bytes message) {
    reply_from->send(peer, message);
    right_inbox.put(std::move(message));
  });
  reply_from = &right;
  std::string error;
  ASSERT_TRUE(left.start(error)) << error;
  ASSERT_TRUE(right.start(error)) << error;
  constexpr std::size_t kCount = 200;
  for (std::size_t i = 0; i < kCount; ++i) {
    left.send(right_address, Bytes{ static_cast<std::uint8_t>(i) });
  }
  ASSERT_TRUE(right_inbox.await_count(kCount));
  ASSERT_TRUE(left_inbox.await_count(kCount));
  for (std::size_t i = 0; i < kCount; ++i) {
    EXPECT_EQ(right_inbox.at(i), Bytes{ static_cast<std::uint8_t>(i) });
  }
}

// Guards against a peer that stays unreachable for seconds after it comes back, because an earlier
// connection attempt is still pending.
TEST(ClusterTransport, ConnectionAttemptsToUnresponsivePeerTimeOut)
{
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  const tcp::endpoint unresponsive(boost::asio::ip::make_address(test_network() + ".0.1"), 39504);
  // A listener whose accept queue is full drops further connection requests silently.
  tcp::acceptor acceptor(context);
  acceptor.open(unresponsive.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(unresponsive);
  acceptor.listen(0);
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.emplace_back(context).async_connect(unresponsive, [](auto) {});
  }
  ClusterTransport transport({ test_network() + ".0.1:39503" },
                             [](const std::string&, const Bytes&) {});
  std::string error;
  ASSERT_TRUE(transport.start(error)) << error;
  constexpr std::uint64_t kAttempts = 8;
  const TimePoint limit = Clock::now() + kTestTimeout;
  for (std::uint64_t failed = 0; failed < kAttempts && Clock::now() < limit; ++failed) {
    transport.send(test_network() + ".0.1:39504", Bytes{ 1 });
    while (transport.failed_connections() <= failed && Clock::now() < limit) {
      std::this_thread::yield();
    }
  }
  EXPECT_EQ(transport.failed_connections(), kAttempts);
}

// Guards against messages that are lost without a trace: logs then don't distinguish a host that is
// behind from one whose messages were dropped.
TEST(ClusterTransport, DroppedMessagesAreCounted)
{
  std::atomic<unsigned> reported{ 0 };
  ClusterTransport transport({ .listen_address = test_network() + ".0.1:39505",
                               .backlog_bytes = 100,
                               .on_dropped = [&](const std::string&) { ++reported; } },
                             [](const std::string&, const Bytes&) {});
  std::string error;
  ASSERT_TRUE(transport.start(error)) << error;
  // Nobody listens there, so the first message is dropped with the connection and the second one
  // because it is too large.
  transport.send(test_network() + ".0.1:39506", Bytes(60));
  transport.send(test_network() + ".0.1:39506", Bytes(60));
  const TimePoint limit = Clock::now() + kTestTimeout;
  // Each message is counted before it is reported.
  while ((transport.dropped_messages() < 2 || reported < 2) && Clock::now() < limit) {
    std::this_thread::yield();
  }
  EXPECT_EQ(transport.dropped_messages(), 2U);
  EXPECT_EQ(reported, 2U);
}

// Guards against a process that runs although it can't listen.
TEST(ClusterTransport, SaysWhyItCannotListen)
{
  ClusterTransport transport({ "localhost" }, [](const std::string&, const Bytes&) {});
  std::string error;
  EXPECT_FALSE(transport.start(error));
  EXPECT_NE(error.find("localhost"), std::string::npos);
}

} // namespace
} // namespace lovagehold
