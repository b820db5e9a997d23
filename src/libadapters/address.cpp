#include "lovagehold/address.h"

#include <charconv>

namespace lovagehold {

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
    return Error{ .kind = ErrorKind::Unavailable,
                  .message = "can't listen on " + address + ": " + error.message(),
                  .remedy = "stop the process that holds the address or change " + setting };
  }
  return boost::outcome_v2::success();
}

} // namespace lovagehold
