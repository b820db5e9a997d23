#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace lovagehold {

/// Bytes that a peer may send where a message is expected, although no correct peer does.
struct OddMessage
{
  std::string name;
  std::string bytes;
  /// Sent repeatedly after \p bytes until the reader closes the connection; empty: sent once.
  std::string endless;
};

/// Names the message in the output of tests.
inline std::ostream&
operator<<(std::ostream& out, const OddMessage& message)
{
  return out << message.name;
}

/// \param start_line request or status line without its line end
/// \param fields further fields of each message, each with its line end
/// \return one message for each part that a reader of HTTP may have to hold, with a part that is
/// longer than Beast can store and with one that has no end
inline std::vector<OddMessage>
odd_messages(const std::string& start_line, const std::string& fields)
{
  // Beast stores at most 65533 bytes in a field.
  const std::string huge(70000, 'x');
  const std::string head = start_line + "\r\n" + fields;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = chunked + "2\r\nok\r\n0\r\n";
  const std::string line = "X-Noise: " + std::string(1000, 'x') + "\r\n";
  return {
    { .name = "huge field in the header", .bytes = head + "X: " + huge + "\r\n\r\n" },
    { .name = "huge field name in the header", .bytes = head + huge + ": x\r\n\r\n" },
    { .name = "huge start line", .bytes = start_line + huge + "\r\n\r\n" },
    { .name = "huge field behind the last chunk", .bytes = last_chunk + "X: " + huge + "\r\n\r\n" },
    { .name = "huge field name behind the last chunk", .bytes = last_chunk + huge + ": x\r\n\r\n" },
    { .name = "field at the limit of Beast behind the last chunk",
      .bytes = last_chunk + "X: " + std::string(65534, 'x') + "\r\n\r\n" },
    { .name = "second length behind the last chunk",
      .bytes = last_chunk + "Content-Length: 2\r\n\r\n" },
    { .name = "second coding behind the last chunk",
      .bytes = last_chunk + "Transfer-Encoding: chunked\r\n\r\n" },
    { .name = "huge chunk extension", .bytes = chunked + "2;x=" + huge + "\r\nok\r\n0\r\n\r\n" },
    { .name = "chunk size beyond 64 bits",
      .bytes = chunked + "fffffffffffffffff\r\nok\r\n0\r\n\r\n" },
    { .name = "largest chunk size", .bytes = chunked + "ffffffffffffffff\r\nok" },
    { .name = "negative chunk size", .bytes = chunked + "-1\r\nok\r\n0\r\n\r\n" },
    { .name = "two lengths", .bytes = head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok" },
    { .name = "length beyond 64 bits",
      .bytes = head + "Content-Length: 99999999999999999999\r\n\r\nok" },
    { .name = "largest signed length with a part of the body",
      .bytes = head + "Content-Length: 9223372036854775807\r\n\r\nok" },
    { .name = "largest length with a part of the body",
      .bytes = head + "Content-Length: 18446744073709551615\r\n\r\nok" },
    { .name = "length of a terabyte with a part of the body",
      .bytes = head + "Content-Length: 1099511627776\r\n\r\nok" },
    { .name = "zero bytes", .bytes = std::string(100, '\0') },
    { .name = "fields without end in the header", .bytes = head, .endless = line },
    { .name = "one field without end in the header", .bytes = head + "X: ", .endless = huge },
    { .name = "start line without end", .bytes = start_line, .endless = huge },
    { .name = "fields without end behind the last chunk", .bytes = last_chunk, .endless = line },
    { .name = "one field without end behind the last chunk",
      .bytes = last_chunk + "X: ",
      .endless = huge },
    { .name = "chunk extension without end", .bytes = chunked + "2;x=", .endless = huge },
    { .name = "extension of the last chunk without end",
      .bytes = chunked + "0;x=",
      .endless = huge },
    { .name = "chunk size without end", .bytes = chunked, .endless = std::string(1000, '0') },
    { .name = "noise without end", .bytes = "", .endless = std::string(1000, '\x07') },
  };
}

/// \param fields further fields of each response, each with its line end
/// \return responses whose status line is invalid, and interim responses without a final one
inline std::vector<OddMessage>
odd_responses(const std::string& fields)
{
  const auto response = [&fields](const std::string& status) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nok";
  };
  return {
    { .name = "status 000", .bytes = response("000 OK") },
    { .name = "status 099", .bytes = response("099 OK") },
    { .name = "status 600", .bytes = response("600 OK") },
    { .name = "status 999", .bytes = response("999 OK") },
    { .name = "status of two digits", .bytes = response("20 OK") },
    { .name = "status of four digits", .bytes = response("2000 OK") },
    { .name = "negative status", .bytes = response("-20 OK") },
    { .name = "no status", .bytes = response("OK") },
    { .name = "interim responses without end",
      .bytes = "",
      .endless = "HTTP/1.1 100 Continue\r\n" + fields + "\r\n" },
  };
}

/// Bytes that a reader may take of a message without end before it closes the connection: what it
/// holds, and what fits into the buffers of both sockets (up to 6 MiB and 4 MiB by default).
inline constexpr std::size_t kMaxBytesTaken = std::size_t{ 16 } << 20;

} // namespace lovagehold
