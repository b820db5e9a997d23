#pragma once

#include "lovagehold/error.h"

#include <boost/asio/ip/tcp.hpp>
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

} // namespace lovagehold
