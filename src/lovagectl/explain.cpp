#include "explain.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace lovagehold {

namespace {

// Lines about a request's servers and host are included from this long before the request's line.
constexpr int kContextSeconds = 10;

// One attempt at a server, parsed from the "attempts" field of the request's line:
// server:end:timems:costN:ageN:loadrunning/waiting/slots/slowdown
struct Attempt
{
  std::string server;
  std::string result;
  std::string time;
  std::string age;
  std::string load;
};

std::vector<std::string>
split(const std::string& text, char separator)
{
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

std::string
strip_prefix(const std::string& text, const std::string& prefix)
{
  return text.compare(0, prefix.size(), prefix) == 0 ? text.substr(prefix.size()) : text;
}

std::vector<Attempt>
parse_attempts(const std::string& text)
{
  std::vector<Attempt> attempts;
  for (const std::string& part : split(text, ',')) {
    const std::vector<std::string> fields = split(part, ':');
    if (fields.size() == 6) {
      attempts.push_back({ .server = fields[0],
                           .result = fields[1],
                           .time = fields[2],
                           .age = strip_prefix(fields[4], "age"),
                           .load = strip_prefix(fields[5], "load") });
    }
  }
  return attempts;
}

std::string
describe_choice(const Attempt& attempt)
{
  const std::vector<std::string> load = split(attempt.load, '/');
  if (attempt.age == "-" || load.size() != 4) {
    return "its load was not known when it was chosen";
  }
  return "when it was chosen it had reported, " + attempt.age + " ms before, " + load[0] +
         " running and " + load[1] + " waiting requests for " + load[2] +
         " slots, and that work took " + load[3] + "% of the usual time";
}

std::string
list_servers(const std::vector<Attempt>& attempts)
{
  std::string names;
  for (const Attempt& attempt : attempts) {
    names += (names.empty() ? "" : ", ") + attempt.server + " (" + attempt.result + " after " +
             attempt.time + ")";
  }
  return names;
}

std::string
explain_refusal(const LogLine& line, const std::vector<Attempt>& attempts)
{
  if (attempts.empty() && !line.field("detail").empty()) {
    return "refused by " + line.field("host") + " for lack of room: " + line.field("reason") +
           " (" + line.field("detail") + "); the request did not run.";
  }
  if (attempts.empty()) {
    return "refused by " + line.field("host") +
           " before any server was tried: " + line.field("reason") + "; the request did not run.";
  }
  return "refused by " + line.field("host") + " for lack of room: " + line.field("reason") +
         "; tried " + list_servers(attempts) + ", of the retry budget " +
         line.field("budget_left") + " was left; the request did not run.";
}

std::string
explain_lost_response(const std::vector<Attempt>& attempts)
{
  const Attempt& last = attempts.back();
  return "it is unknown whether the request ran: the response of " + last.server +
         " was lost or broken " + last.time + " after the request was sent (" + last.result +
         "), and a request of this route may not be sent again, or no attempt was left.";
}

std::string
explain_late_response(const LogLine& line, const std::vector<Attempt>& attempts)
{
  const auto slowest =
    std::max_element(attempts.begin(), attempts.end(), [](const Attempt& a, const Attempt& b) {
      return std::atoi(a.time.c_str()) < std::atoi(b.time.c_str());
    });
  return "late because of a slow server: " + slowest->server + " took " + slowest->time + " of " +
         line.field("ms") + " ms (timeout of the route " + line.field("timeout_ms") + " ms); " +
         describe_choice(*slowest) + ".";
}

std::string
find_cause(const LogLine& line)
{
  const std::string& status = line.field("status");
  const std::vector<Attempt> attempts = parse_attempts(line.field("attempts"));
  if (status == "503" || status == "404" || attempts.empty()) {
    return explain_refusal(line, attempts);
  }
  if (status == "502") {
    return explain_lost_response(attempts);
  }
  if (status == "caller_left") {
    return "the caller disconnected after " + line.field("ms") + " ms, while " +
           list_servers(attempts) + " had the request.";
  }
  if (status.compare(0, 1, "5") == 0 && status != "504") {
    return "server " + attempts.back().server + " answered " + status + ".";
  }
  return explain_late_response(line, attempts);
}

bool
is_context_line(const LogLine& line, const std::set<std::string>& servers, const std::string& host)
{
  static const std::set<std::string> kHostEvents{
    "starting", "stopped", "readiness", "shutdown_begins", "routing_in_force"
  };
  const bool is_host_event =
    line.field("host") == host && kHostEvents.count(line.field("event")) > 0;
  return is_host_event || servers.count(line.field("server")) > 0;
}

// Subtracts seconds from an ISO 8601 time, down to the start of its day. All times have the same
// time zone, so that they can be compared as strings.
std::string
seconds_before(const std::string& time, int seconds)
{
  const std::vector<std::string> parts = split(time.substr(time.find('T') + 1), ':');
  if (parts.size() != 3) {
    return time;
  }
  const int second_of_day = std::max(
    0, std::stoi(parts[0]) * 3600 + std::stoi(parts[1]) * 60 + std::stoi(parts[2]) - seconds);
  char text[16];
  std::snprintf(text,
                sizeof(text),
                "%02d:%02d:%02d",
                second_of_day / 3600,
                second_of_day / 60 % 60,
                second_of_day % 60);
  return time.substr(0, time.find('T') + 1) + text;
}

} // namespace

const std::string&
LogLine::field(const std::string& key) const
{
  static const std::string kNone;
  const auto found = fields.find(key);
  return found == fields.end() ? kNone : found->second;
}

LogLine
parse_log_line(const std::string& line)
{
  LogLine parsed;
  std::size_t position = line.find("time=");
  if (position == std::string::npos) {
    return parsed;
  }
  parsed.text = line.substr(position);
  while (position < line.size()) {
    const std::size_t equals = line.find('=', position);
    if (equals == std::string::npos) {
      break;
    }
    const std::string key = line.substr(position, equals - position);
    std::string value;
    position = equals + 1;
    if (position < line.size() && line[position] == '"') {
      for (++position; position < line.size() && line[position] != '"'; ++position) {
        position += line[position] == '\\' && position + 1 < line.size() ? 1 : 0;
        value += line[position];
      }
      ++position;
    } else {
      const std::size_t end = std::min(line.find(' ', position), line.size());
      value = line.substr(position, end - position);
      position = end;
    }
    parsed.fields[key] = value;
    ++position;
  }
  return parsed;
}

Explanation
explain_request(const std::string& id, const std::vector<LogLine>& lines)
{
  Explanation explanation;
  std::vector<const LogLine*> selected;
  for (const LogLine& line : lines) {
    if (line.field("id") != id) {
      continue;
    }
    selected.push_back(&line);
    explanation.cause = find_cause(line);
    std::set<std::string> servers;
    for (const Attempt& attempt : parse_attempts(line.field("attempts"))) {
      servers.insert(attempt.server);
    }
    const std::string& end = line.field("time");
    const std::string start = seconds_before(end, kContextSeconds);
    for (const LogLine& other : lines) {
      const std::string& time = other.field("time");
      if (time >= start && time <= end && is_context_line(other, servers, line.field("host"))) {
        selected.push_back(&other);
      }
    }
  }
  std::sort(selected.begin(), selected.end(), [](const LogLine* a, const LogLine* b) {
    return a->field("time") < b->field("time");
  });
  for (const LogLine* line : selected) {
    explanation.lines.push_back(line->text);
  }
  return explanation;
}

} // namespace lovagehold
