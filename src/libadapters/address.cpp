#include "lovagehold/address.h"

#include "lovagehold/types.h"

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <thread>

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kListenRetryInterval{ 100 };

} // namespace

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address)
{
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

Result<void>
listen_on(boost::asio::ip::tcp::acceptor& acceptor,
          const std::string& address,
          const std::string& setting)
{
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = "'" + address + "' is not an IP:port address",
                  .remedy = "correct " + setting };
  }
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind(*endpoint, error);
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = "can't listen on " + address + ": " + error.message(),
                  .remedy = "stop the process that holds the address or change " + setting };
  }
  return boost::outcome_v2::success();
}

Result<void>
await_free_addresses(const std::map<std::string, std::string>& addresses,
                     std::chrono::milliseconds patience,
                     const std::function<void(const Error&)>& on_held)
{
  const TimePoint end = Clock::now() + patience;
  boost::asio::io_context context;
  for (const auto& [setting, address] : addresses) {
    boost::asio::ip::tcp::acceptor acceptor(context);
    Result<void> listening = listen_on(acceptor, address, setting);
    if (listening.has_error() && listening.error().kind == ErrorKind::Unavailable) {
      on_held(listening.error());
    }
    while (listening.has_error() && listening.error().kind == ErrorKind::Unavailable &&
           Clock::now() < end) {
      std::this_thread::sleep_for(kListenRetryInterval);
      listening = listen_on(acceptor, address, setting);
    }
    if (listening.has_error()) {
      return listening;
    }
  }
  return boost::outcome_v2::success();
}

} // namespace lovagehold
