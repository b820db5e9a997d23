#pragma once

#include "lovagehold/error.h"

#include <string>

namespace lovagehold {

/// \return the error of a call that another control host may be able to handle
inline Error
unavailable(const std::string& message)
{
  return { .kind = ErrorKind::Unavailable,
           .message = message,
           .remedy = "retry on another control host" };
}

} // namespace lovagehold
