#pragma once

#include <string>

namespace lovagehold {

/// Exit codes of both programs.
enum ExitCode : int
{
  ExitDone = 0,
  ExitRefused = 1,      ///< the input or the change has mistakes, or the process can't start
  ExitWrongUse = 2,     ///< the command line is wrong or names a file that can't be read
  ExitNotReachable = 3, ///< no host answered
};

/// Checks settings and declarations and prints every mistake; starts nothing.
/// \param settings file, or empty
/// \param declarations folder, or empty
/// \return an exit code
int check_files(const std::string& settings, const std::string& declarations);

/// The same for files of the users' platform.
/// \param settings settings file of a process, or empty
/// \param routing routing configuration, or empty
int check_site_files(const std::string& settings, const std::string& routing);

} // namespace lovagehold
