#include "request_fault.h"

namespace lovagehold {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace

RequestFault
describe_parse_error(const boost::system::error_code& error)
{
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return { .status = http::status::request_header_fields_too_large,
             .error = "the header is too large",
             .remedy = "send fewer or shorter headers" };
  }
  if (error == http::error::body_limit) {
    return { .status = http::status::payload_too_large,
             .error = "the body is too large",
             .remedy = "send the body in several requests" };
  }
  if (error == beast::error::timeout) {
    return { .status = http::status::request_timeout,
             .error = "the request did not arrive in time",
             .remedy = "send the whole request without pauses" };
  }
  return { .error = "the request is malformed: " + error.message(),
           .remedy = "send a valid HTTP/1.1 request with CRLF line ends" };
}

} // namespace lovagehold
