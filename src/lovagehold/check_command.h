#pragma once

#include <string>

namespace lovagehold {

/// Exit codes of lovagehold.
enum ExitCode : int
{
  ExitDone = 0,
  ExitRefused = 1,  ///< invalid input, or the process can't start
  ExitWrongUse = 2, ///< the command line is invalid or names a file that can't be read
};

/// Validates settings and declarations and prints every mistake.
/// \param settings file, or empty
/// \param declarations folder, or empty
/// \return an exit code
int check_files(const std::string& settings, const std::string& declarations);

/// Validates files of the users' platform and prints every mistake.
/// \param settings settings file of a process, or empty
/// \param routing routing configuration, or empty
int check_site_files(const std::string& settings, const std::string& routing);

} // namespace lovagehold
