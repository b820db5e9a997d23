#include "lovagehold/error.h"

namespace lovagehold {

const char*
to_string(ErrorKind kind)
{
  switch (kind) {
    case ErrorKind::InvalidArgument:
      return "invalid_argument";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::NotFound:
      return "not_found";
    case ErrorKind::NotLeader:
      return "not_leader";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::Corrupt:
      return "corrupt";
    case ErrorKind::Storage:
      return "storage";
    case ErrorKind::Protocol:
      return "protocol";
  }
  return "unknown";
}

} // namespace lovagehold
