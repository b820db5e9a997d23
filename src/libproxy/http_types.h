#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace lovagehold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::awaitable;
using asio::ip::tcp;
using StringRequest = http::request<http::string_body>;
using StringResponse = http::response<http::string_body>;

inline constexpr char kServiceHeader[] = "Lovagehold-Service";
inline constexpr char kOutcomeHeader[] = "Lovagehold-Outcome";
inline constexpr char kRelayedHeader[] = "Lovagehold-Relayed";
inline constexpr char kDeadlineHeader[] = "Lovagehold-Deadline-Ms";
inline constexpr char kRetriesHeader[] = "Lovagehold-Retries-Left";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kLocalPrefix[] = "/.lovagehold/";

/// Largest request body that is held in memory, so that it can be sent again or be digested.
inline constexpr std::size_t kBufferedBodyBytes = std::size_t{ 1 } << 20;

/// Answers that are kept with the outcome of a key have at most this body.
inline constexpr std::size_t kStoredBodyBytes = std::size_t{ 64 } << 10;

} // namespace lovagehold
