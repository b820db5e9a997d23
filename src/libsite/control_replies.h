#pragma once

#include "lovagehold/error.h"
#include "lovagehold/replica.h"

#include <functional>
#include <string>

namespace lovagehold {

/// \return the error for a call that another control host may be able to serve
inline Error
unavailable(const std::string& message)
{
  return { .kind = ErrorKind::Unavailable,
           .message = message,
           .remedy = "retry on another control host" };
}

/// Calls \p done once, possibly before it returns: with true when the local state contains
/// everything acknowledged before this call, or with false if that cannot be confirmed, or not in
/// time.
inline void
confirm_state(Replica& replica, const std::function<void(bool confirmed)>& done)
{
  replica.confirm_leadership(
    [done](std::optional<TimePoint> requested_at) { done(requested_at.has_value()); });
}

} // namespace lovagehold
