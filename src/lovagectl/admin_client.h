#pragma once

#include "lovagehold/error.h"

#include <chrono>
#include <string>
#include <vector>

namespace lovagehold {

struct AdminQuestion
{
  std::string method = "GET";
  /// Path and query.
  std::string target;
  std::string body;
};

struct AdminAnswer
{
  unsigned status = 0;
  std::string body;
};

/// Sends one request to an admin address and waits for the answer.
/// \return Unavailable if there is no answer within the timeout.
Result<AdminAnswer> ask_admin(const std::string& address,
                              const AdminQuestion& question,
                              std::chrono::milliseconds timeout);

/// Sends the same request to all addresses at once. \return the answers in their order.
std::vector<Result<AdminAnswer>> ask_all(const std::vector<std::string>& addresses,
                                         const AdminQuestion& question,
                                         std::chrono::milliseconds timeout);

/// \return the text as part of a query.
std::string percent_encode(const std::string& text);

} // namespace lovagehold
