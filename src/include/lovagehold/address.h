#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace lovagehold {

/// Parses "IP:port". \return nothing if it is no IP address with a port; names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

} // namespace lovagehold
