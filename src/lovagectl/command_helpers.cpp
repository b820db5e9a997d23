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
  return unreachable ? kExitUnreachable : kExitRefused;
}

Error
to_error(const AdminHttpResponse& response)
{
  const json fields = json::parse(response.body, nullptr, false);
  Error error{ .kind = response.status == 503 ? ErrorKind::Unavailable : ErrorKind::InvalidArgument,
               .message = "the host answered with status " + std::to_string(response.status),
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
  const Result<AdminHttpResponse> response =
    send_admin_request(admin, { .target = target }, kRequestTimeout);
  if (response.has_error()) {
    return response.error();
  }
  json page = json::parse(response.value().body, nullptr, false);
  if (response.value().status != 200 || page.is_discarded()) {
    return to_error(response.value());
  }
  return page;
}

Result<std::vector<HostPage>>
fetch_from_hosts(const std::string& admin, const std::string& target)
{
  const Result<json> first = fetch_page(admin, "/status");
  if (first.has_error()) {
    return first.error();
  }
  std::vector<HostPage> hosts;
  std::vector<std::string> addresses;
  for (const json& host : first.value().value("hosts", json::array())) {
    hosts.push_back(
      { .id = host.value("id", ""), .failure_domain = host.value("failure_domain", "") });
    addresses.push_back(host.value("admin", ""));
  }
  // A host with only the control role is not among the joined hosts, but it has responded.
  const std::string self = first.value().value("host", "");
  const bool listed =
    std::any_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id == self; });
  if (!listed) {
    hosts.push_back({ .id = self });
    addresses.push_back(admin);
  }
  const auto responses = send_to_all(addresses, { .target = target }, kPerHostTimeout);
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (responses[i].has_value() && responses[i].value().status == 200) {
      hosts[i].page = json::parse(responses[i].value().body, nullptr, false);
      hosts[i].responded = !hosts[i].page.is_discarded();
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
