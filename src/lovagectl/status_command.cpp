#include "commands.h"
#include "evacuation_summary.h"
#include "group_report.h"

#include <algorithm>
#include <iostream>

namespace lovagehold {

namespace {

using nlohmann::json;

std::string
describe_state(const HostPage& host, std::uint64_t latest)
{
  if (!host.responded) {
    return "not heard from";
  }
  if (!host.page.value("ready", false)) {
    return "not ready";
  }
  if (host.page.value("stale", false)) {
    return "stale";
  }
  return host.page.value("revision", std::uint64_t{ 0 }) < latest ? "behind" : "ready";
}

// \return the time since which the host may lack acknowledged changes; "-" if it doesn't tell
std::string
describe_age(const HostPage& host)
{
  if (!host.responded || !host.page.contains("state_age_ms")) {
    return "-";
  }
  return std::to_string(host.page.value("state_age_ms", std::int64_t{ 0 })) + " ms";
}

} // namespace

int
status_command(const Invocation& invocation)
{
  const auto hosts = fetch_from_hosts(invocation.admin, "/status");
  if (hosts.has_error()) {
    return report(hosts.error());
  }
  std::uint64_t latest = 0;
  for (const HostPage& host : hosts.value()) {
    if (host.responded) {
      latest = std::max(latest, host.page.value("revision", std::uint64_t{ 0 }));
    }
  }
  json page = { { "revision", latest }, { "hosts", json::array() } };
  const json group = merge_group_pages(hosts.value());
  if (!group.is_null()) {
    page["group"] = group;
  }
  const json evacuations = merge_evacuation_pages(hosts.value());
  if (!evacuations.empty()) {
    page["evacuations"] = evacuations;
  }
  const std::set<std::string> restricted = restricted_accounts(hosts.value());
  if (!restricted.empty()) {
    page["restricted_accounts"] = restricted;
  }
  std::vector<std::vector<std::string>> rows{
    { "HOST", "DOMAIN", "REVISION", "STATE", "STATE AGE", "SERVICES OWNED", "IN FLIGHT" }
  };
  for (const HostPage& host : hosts.value()) {
    const std::string state = describe_state(host, latest);
    std::size_t owned = 0;
    std::size_t in_flight = 0;
    if (host.responded) {
      for (const auto& [name, service] : host.page["services"].items()) {
        ++owned;
        in_flight += service.value("in_flight", std::size_t{ 0 });
      }
    }
    const std::string revision =
      host.responded ? std::to_string(host.page.value("revision", std::uint64_t{ 0 })) : "-";
    page["hosts"].push_back({ { "host", host.id },
                              { "failure_domain", host.failure_domain },
                              { "state", state },
                              { "status", host.responded ? host.page : json() } });
    rows.push_back({ host.id,
                     host.failure_domain.empty() ? "-" : host.failure_domain,
                     revision,
                     state,
                     describe_age(host),
                     host.responded ? std::to_string(owned) : "-",
                     host.responded ? std::to_string(in_flight) : "-" });
  }
  if (invocation.as_json) {
    std::cout << page.dump(2) << "\n";
  } else {
    print_table(rows);
    for (const std::string& line : describe_group(group)) {
      std::cout << line << "\n";
    }
    for (const std::string& line : describe_evacuations(evacuations)) {
      std::cout << line << "\n";
    }
    for (const std::string& line : describe_restrictions(restricted)) {
      std::cout << line << "\n";
    }
  }
  return kExitSuccess;
}

} // namespace lovagehold
