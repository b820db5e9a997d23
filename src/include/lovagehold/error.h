#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace lovagehold {

/// Error categories, chosen by what the calling function can do about them.
enum class ErrorKind
{
  InvalidArgument, ///< invalid input; retrying it unchanged can't succeed
  Conflict,        ///< another change was accepted first
  NotFound,
  NotLeader,   ///< this replica is not the leader; ask the leader
  Unavailable, ///< no quorum, no route or no capacity right now
  Timeout,     ///< no response in time; whether the operation took effect is unknown
  Corrupt,     ///< stored data failed its checksum
  Storage,     ///< a read, write or sync of the disk failed
  Protocol,    ///< the peer violated the protocol
};

/// An error: the message says what happened, the remedy what the operator or caller can do.
struct Error
{
  ErrorKind kind = ErrorKind::InvalidArgument;
  std::string message;
  std::string remedy;
};

/// Value or Error. Accessing the one that is not present terminates the process.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// \return a stable lower-case name, used in log lines and responses.
const char* to_string(ErrorKind kind);

} // namespace lovagehold
