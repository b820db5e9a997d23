#pragma once

#include "lovagehold/error.h"

#include <chrono>
#include <string>
#include <vector>

namespace lovagehold {

struct AdminHttpRequest
{
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
};

struct AdminHttpResponse
{
  unsigned status = 0;
  std::string body;
};

/// Sends a request to an admin address and waits for the response.
/// \return Unavailable if there is no response within the timeout
Result<AdminHttpResponse> send_admin_request(const std::string& address,
                                             const AdminHttpRequest& request,
                                             std::chrono::milliseconds timeout);

/// Sends the same request to all addresses concurrently.
/// \return the responses in the order of the addresses
std::vector<Result<AdminHttpResponse>> send_to_all(const std::vector<std::string>& addresses,
                                                   const AdminHttpRequest& request,
                                                   std::chrono::milliseconds timeout);

/// \return the text percent-encoded for use in a query
std::string percent_encode(const std::string& text);

} // namespace lovagehold
