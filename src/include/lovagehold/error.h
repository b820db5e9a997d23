#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace lovagehold {

/// What went wrong, in terms a caller of the function can act on.
enum class ErrorKind
{
  InvalidArgument, ///< the input breaks a rule; sending it again can't succeed
  Conflict,        ///< another change was accepted first
  NotFound,
  NotLeader,   ///< this replica can't decide; ask the leader
  Unavailable, ///< no quorum, no route or no capacity right now
  Timeout,     ///< no answer in time; the effect is not known
  Corrupt,     ///< stored data failed its checksum
  Storage,     ///< the disk refused a read, a write or a sync
  Protocol,    ///< the peer broke the protocol
};

/// An error whose message says what happened and whose remedy says what to do about it.
struct Error
{
  ErrorKind kind = ErrorKind::InvalidArgument;
  std::string message;
  std::string remedy;
};

/// Value or Error. Reading the wrong one terminates the process.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// \return a stable lower-case name, used in logs and answers.
const char* to_string(ErrorKind kind);

} // namespace lovagehold
