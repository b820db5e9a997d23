#pragma once

#include "bounded_reader.h"

#include <string>

namespace lovagehold {

/// Error response to a request that is rejected before it is routed.
struct RequestFault
{
  boost::beast::http::status status = boost::beast::http::status::bad_request;
  std::string error;
  std::string remedy;
};

/// \return the error response to a request that could not be read or parsed.
RequestFault describe_parse_error(const boost::system::error_code& error);

} // namespace lovagehold
