#pragma once

#include "lovagehold/error.h"

#include <chrono>
#include <string>

namespace lovagehold {

struct AdminAnswer
{
  unsigned status = 0;
  std::string body;
};

/// Sends one request to an admin address and waits for the answer.
/// \return Unavailable if there is no answer within the timeout.
Result<AdminAnswer> ask_admin(const std::string& address,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              std::chrono::milliseconds timeout);

} // namespace lovagehold
