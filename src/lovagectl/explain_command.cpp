#include "commands.h"
#include "explain.h"

#include <fstream>
#include <iostream>

namespace lovagehold {

namespace {

void
read_lines(std::istream& stream, std::vector<LogLine>& lines)
{
  for (std::string text; std::getline(stream, text);) {
    LogLine line = parse_log_line(text);
    if (!line.fields.empty()) {
      lines.push_back(std::move(line));
    }
  }
}

} // namespace

int
explain_command(const Invocation& invocation)
{
  const std::string& id = invocation.operands.front();
  std::vector<LogLine> lines;
  for (std::size_t i = 1; i < invocation.operands.size(); ++i) {
    std::ifstream file(invocation.operands[i]);
    if (!file) {
      std::cerr << "lovagectl: " << invocation.operands[i]
                << " can't be read; give log files that exist\n";
      return kExitUsageError;
    }
    read_lines(file, lines);
  }
  if (invocation.operands.size() == 1) {
    read_lines(std::cin, lines);
  }
  const Explanation explanation = explain_request(id, lines);
  if (explanation.cause.empty()) {
    std::cerr << "lovagectl: no log line mentions request " << id
              << "; read the logs of all entry hosts, and look for log_suppressed\n";
    return kExitRefused;
  }
  for (const std::string& line : explanation.lines) {
    std::cout << line << "\n";
  }
  std::cout << "cause: " << explanation.cause << "\n";
  return kExitSuccess;
}

} // namespace lovagehold
