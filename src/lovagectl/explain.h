#pragma once

#include <map>
#include <string>
#include <vector>

namespace lovagehold {

/// A log line of a process.
struct LogLine
{
  std::string text;
  std::map<std::string, std::string> fields;

  /// \return the value, or an empty string
  const std::string& field(const std::string& key) const;
};

/// Parses the key=value pairs of a line; what stands before "time=" is skipped.
/// \return a line without fields if there is no "time="
LogLine parse_log_line(const std::string& line);

/// What is known about a request.
struct Explanation
{
  /// Lines about the request, and about its servers and its host shortly before, by time.
  std::vector<std::string> lines;
  /// The cause in one sentence; empty if no line names the request.
  std::string cause;
};

/// Follows a request through the lines of many processes.
/// \param id of the request \param lines in any order
Explanation explain_request(const std::string& id, const std::vector<LogLine>& lines);

} // namespace lovagehold
