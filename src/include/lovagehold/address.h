#pragma once

#include "lovagehold/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lovagehold {

/// Parses "IP:port" or "[IPv6]:port". Host names are not resolved.
/// \return nullopt if the text is not an IP address with a port from 1 to 65535
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

/// Opens the acceptor and listens on "IP:port".
/// \param setting name of the setting, such as listen.admin, for the error's remedy
Result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                       const std::string& address,
                       const std::string& setting);

/// Waits until each address can be listened on. A process that is being replaced, or a short
/// connection of another one, may still hold it. Blocks the calling thread.
/// \param addresses "IP:port" by the name of its setting
/// \param patience longest time to wait for all of them
/// \param on_held called once for each address that is held at first
/// \return an error if an address is still held after \p patience, or is not an address
Result<void> await_free_addresses(const std::map<std::string, std::string>& addresses,
                                  std::chrono::milliseconds patience,
                                  const std::function<void(const Error&)>& on_held);

} // namespace lovagehold
