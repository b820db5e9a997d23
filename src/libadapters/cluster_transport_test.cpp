#include "lovagehold/cluster_transport.h"

#include <condition_variable>
#include <cstdlib>
#include <gtest/gtest.h>
#include <mutex>

namespace lovagehold {
namespace {

constexpr std::chrono::seconds kGenerousLimit{ 20 };

// Parallel test runs set different networks.
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
    return m_changed.wait_for(lock, kGenerousLimit, [&] { return m_messages.size() >= count; });
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

// Guards against a process that starts without its listener.
TEST(ClusterTransport, SaysWhyItCannotListen)
{
  ClusterTransport transport({ "localhost" }, [](const std::string&, const Bytes&) {});
  std::string error;
  EXPECT_FALSE(transport.start(error));
  EXPECT_NE(error.find("localhost"), std::string::npos);
}

} // namespace
} // namespace lovagehold
