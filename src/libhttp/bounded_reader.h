#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including its header.
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>

namespace lovagehold {

/// Parser for messages from a peer that may send anything. Differs from the base class in two ways:
/// - A field that is longer than Beast can store is reported as http::error::header_limit. Beast
///   throws std::length_error instead, from within its asynchronous operation, where nothing but
///   the caller of io_context::run() can catch it.
/// - Fields behind the last chunk (trailers) are checked and dropped. Beast adds them to the
///   header, so that they would be taken for routing or deadline fields (RFC 9110, 6.5.1).
template<bool isRequest, class Body>
class BoundedParser : public boost::beast::http::parser<isRequest, Body>
{
public:
  using boost::beast::http::parser<isRequest, Body>::parser;

private:
  // Beast stores the length of a name or value in 16 bits, together with two bytes of separators.
  static constexpr std::size_t kMaxStoredBytes = std::numeric_limits<std::uint16_t>::max() - 2;

  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::beast::error_code& error) override
  {
    if (name_text.size() > kMaxStoredBytes || value.size() > kMaxStoredBytes) {
      error = boost::beast::http::error::header_limit;
    } else if (!this->is_header_done()) {
      this->get().insert(name, name_text, value);
    }
  }
};

template<class Body>
using BoundedRequestParser = BoundedParser<true, Body>;
template<class Body>
using BoundedResponseParser = BoundedParser<false, Body>;

/// Reads a whole message. Replaces http::async_read, which also accepts other parsers.
/// \param token completion token of Asio with the signature (error_code, std::size_t)
template<class Stream, bool isRequest, class Body, class Token>
auto
async_read_message(Stream& stream,
                   boost::beast::flat_buffer& buffer,
                   BoundedParser<isRequest, Body>& parser,
                   Token&& token)
{
  return boost::beast::http::async_read(stream, buffer, parser, std::forward<Token>(token));
}

} // namespace lovagehold
