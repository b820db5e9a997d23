#pragma once

#include <map>
#include <string>
#include <vector>

namespace lovagehold {

/// A parsed log line.
struct LogLine
{
  std::string text;
  std::map<std::string, std::string> fields;

  /// \return the value, or an empty string
  const std::string& field(const std::string& key) const;
};

/// Parses the key=value pairs of a line, skipping text before "time=".
/// \return a line without fields if there is no "time="
LogLine parse_log_line(const std::string& line);

/// The log lines about a request and the cause of its outcome.
struct Explanation
{
  /// Lines about the request, and earlier ones about its servers and its host, sorted by time.
  std::vector<std::string> lines;
  /// The cause in one sentence; empty if no line has the id of the request.
  std::string cause;
};

/// Finds the cause of the outcome of a request in the logs of many processes.
/// \param id of the request \param lines in any order
Explanation explain_request(const std::string& id, const std::vector<LogLine>& lines);

} // namespace lovagehold
