#include "commands.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace lovagehold {

using nlohmann::json;

int
report(const Error& error)
{
  std::cerr << "lovagectl: " << error.message << "; " << error.remedy << "\n";
  const bool unreachable = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Timeout;
  return unreachable ? kExitNotReachable : kExitRefused;
}

Error
to_error(const AdminAnswer& answer)
{
  const json fields = json::parse(answer.body, nullptr, false);
  Error error{ .kind = answer.status == 503 ? ErrorKind::Unavailable : ErrorKind::InvalidArgument,
               .message = "the host answered with status " + std::to_string(answer.status),
               .remedy = "use lovagectl of the same version as the hosts" };
  if (fields.is_object()) {
    error.message = fields.value("error", error.message);
    error.remedy = fields.value("remedy", error.remedy);
  }
  return error;
}

Result<json>
fetch_page(const std::string& admin, const std::string& target)
{
  const Result<AdminAnswer> answer = ask_admin(admin, { .target = target }, kAnswerTimeout);
  if (answer.has_error()) {
    return answer.error();
  }
  json page = json::parse(answer.value().body, nullptr, false);
  if (answer.value().status != 200 || page.is_discarded()) {
    return to_error(answer.value());
  }
  return page;
}

Result<std::vector<HostAnswer>>
ask_hosts(const std::string& admin, const std::string& target)
{
  const Result<json> first = fetch_page(admin, "/status");
  if (first.has_error()) {
    return first.error();
  }
  std::vector<HostAnswer> hosts;
  std::vector<std::string> addresses;
  for (const json& host : first.value().value("hosts", json::array())) {
    hosts.push_back(
      { .id = host.value("id", ""), .failure_domain = host.value("failure_domain", "") });
    addresses.push_back(host.value("admin", ""));
  }
  // A control host is not among the joined hosts, but it has answered.
  const std::string self = first.value().value("host", "");
  const bool listed =
    std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id == self; });
  if (!listed) {
    hosts.push_back({ .id = self });
    addresses.push_back(admin);
  }
  const auto answers = ask_all(addresses, { .target = target }, kHostTimeout);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    if (answers[i].has_value() && answers[i].value().status == 200) {
      hosts[i].page = json::parse(answers[i].value().body, nullptr, false);
      hosts[i].answered = !hosts[i].page.is_discarded();
    }
  }
  return hosts;
}

void
print_table(const std::vector<std::vector<std::string>>& rows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      std::cout << std::left << std::setw(last ? 0 : static_cast<int>(widths[i] + 2)) << row[i];
    }
    std::cout << "\n";
  }
}

} // namespace lovagehold
