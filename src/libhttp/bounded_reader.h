#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including its header.
#include <utility>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <limits>

namespace lovagehold {

/// Largest part of an HTTP message that a reader holds before it is parsed, in bytes: a header, a
/// chunk's size line with its extensions, or all fields behind the last chunk. A larger one ends
/// the reading with http::error::buffer_overflow.
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 64 } << 10;

/// A connection is closed after this many interim (1xx) responses to one request.
inline constexpr int kMaxInterimResponses = 8;

/// Read buffer of one connection. All HTTP is read through this type, because beast::flat_buffer
/// without a maximum keeps whatever the peer sends until the end of a header or trailer.
class ReadBuffer : public boost::beast::flat_buffer
{
public:
  ReadBuffer()
    : boost::beast::flat_buffer(kMaxUnparsedBytes)
  {
  }

  /// Makes room for headers of up to \p bytes, if that is more than kMaxUnparsedBytes.
  void allow_header(std::size_t bytes)
  {
    // The maximum never falls below what the buffer holds, such as pipelined requests.
    max_size(std::max({ kMaxUnparsedBytes, bytes, size() }));
  }
};

/// Body limit of a parser that sets none, in bytes.
inline constexpr std::uint64_t kDefaultBodyLimit = std::uint64_t{ 1 } << 20;

/// Parser for messages from a peer that may send anything. Differs from the base class in four
/// ways:
/// - A Content-Length beyond the body limit is reported as http::error::body_limit as soon as the
///   field is read. Beast 1.74 goes on with a response whose first bytes of the body arrive with
///   the header: it drops that error, and http::string_body reserves the whole length, which throws
///   from within the asynchronous operation or takes all memory.
/// - A field that is longer than Beast can store is reported as http::error::header_limit. Beast
///   throws std::length_error instead, from within its asynchronous operation, where nothing but
///   the caller of io_context::run() can catch it.
/// - Fields behind the last chunk (trailers) are checked and dropped. Beast adds them to the
///   header, so that they would be taken for routing or deadline fields (RFC 9110, 6.5.1).
/// - A status outside of 100 to 599 is reported as http::error::bad_status (RFC 9110, 15). Beast
///   accepts any three digits.
template<bool isRequest, class Body>
class BoundedParser : public boost::beast::http::parser<isRequest, Body>
{
  using Base = boost::beast::http::parser<isRequest, Body>;

public:
  BoundedParser() { body_limit(kDefaultBodyLimit); }

  /// Sets the largest body that is read, in bytes.
  void body_limit(std::uint64_t bytes)
  {
    m_body_limit = bytes;
    Base::body_limit(bytes);
  }

private:
  // Beast stores the length of a name or value in 16 bits, together with two bytes of separators.
  static constexpr std::size_t kMaxStoredBytes = std::numeric_limits<std::uint16_t>::max() - 2;
  static constexpr int kMinStatus = 100;
  static constexpr int kMaxStatus = 599;

  // \return the first number of the list; basic_parser has checked that all are equal and fit. Its
  // content_length() may only be called after the header.
  static std::uint64_t parse_length(boost::beast::string_view list)
  {
    const char* const end = list.data() + list.size();
    const char* const first =
      std::find_if(list.data(), end, [](char c) { return c >= '0' && c <= '9'; });
    std::uint64_t length = 0;
    std::from_chars(first, end, length);
    return length;
  }

  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::beast::error_code& error) override
  {
    const bool is_length = name == boost::beast::http::field::content_length;
    if (name_text.size() > kMaxStoredBytes || value.size() > kMaxStoredBytes) {
      error = boost::beast::http::error::header_limit;
    } else if (is_length && parse_length(value) > m_body_limit) {
      error = boost::beast::http::error::body_limit;
    } else if (!this->is_header_done()) {
      this->get().insert(name, name_text, value);
    }
  }

  void on_response_impl(int code,
                        boost::beast::string_view reason,
                        int version,
                        boost::beast::error_code& error) override
  {
    if constexpr (!isRequest) {
      if (code < kMinStatus || code > kMaxStatus) {
        error = boost::beast::http::error::bad_status;
        return;
      }
      this->get().result(static_cast<unsigned>(code));
      this->get().version(static_cast<unsigned>(version));
      this->get().reason(reason);
    }
  }

  std::uint64_t m_body_limit = 0;
};

template<class Body>
using BoundedRequestParser = BoundedParser<true, Body>;
template<class Body>
using BoundedResponseParser = BoundedParser<false, Body>;

/// Reads a whole message. Replaces http::async_read, which also accepts readers without bounds.
/// \param token completion token of Asio with the signature (error_code, std::size_t)
template<class Stream, bool isRequest, class Body, class Token>
auto
async_read_message(Stream& stream,
                   ReadBuffer& buffer,
                   BoundedParser<isRequest, Body>& parser,
                   Token&& token)
{
  return boost::beast::http::async_read(stream, buffer, parser, std::forward<Token>(token));
}

} // namespace lovagehold
