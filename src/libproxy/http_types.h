#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including its header.
#include <utility>

#include "libhttp/bounded_reader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace lovagehold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::awaitable;
using asio::ip::tcp;
using StringRequest = http::request<http::string_body>;
using StringResponse = http::response<http::string_body>;
using RequestParser = BoundedRequestParser<http::buffer_body>;
using ResponseParser = BoundedResponseParser<http::buffer_body>;

inline constexpr char kServiceHeader[] = "Lovagehold-Service";
inline constexpr char kOutcomeHeader[] = "Lovagehold-Outcome";
inline constexpr char kRelayedHeader[] = "Lovagehold-Relayed";
inline constexpr char kDeadlineHeader[] = "Lovagehold-Deadline-Ms";
inline constexpr char kRetriesHeader[] = "Lovagehold-Retries-Left";
inline constexpr char kRequestIdHeader[] = "Lovagehold-Request-Id";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kLocalPrefix[] = "/.lovagehold/";

/// Longest response body of a server, in bytes (1 PiB). A longer length is an error of the server,
/// which may have printed a negative number as an unsigned one; further calculations can't
/// overflow.
inline constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{ 1 } << 50;

/// Largest request body that is held in memory, so that it can be resent or hashed.
inline constexpr std::size_t kBufferedBodyBytes = std::size_t{ 1 } << 20;

/// Largest response body that is stored with the outcome of an idempotency key; equal to
/// kMaxStoredBodyBytes, above which the replicated state drops the body.
inline constexpr std::size_t kStoredBodyBytes = std::size_t{ 64 } << 10;

/// Size of the buffer for a streamed body, per direction.
inline constexpr std::size_t kStreamBufferBytes = std::size_t{ 64 } << 10;

/// \return completion token for co_await that stores the error instead of throwing it.
inline auto
capture(boost::system::error_code& error)
{
  return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace lovagehold
