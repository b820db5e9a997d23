#include "group_report.h"

#include <map>

namespace lovagehold {

using nlohmann::json;

namespace {

std::string
join(const std::vector<std::string>& items)
{
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

std::vector<std::string>
strings_of(const json& object, const char* key)
{
  return object.value(key, std::vector<std::string>());
}

std::string
describe_losses(const json& group)
{
  if (!group.contains("leader")) {
    return "no leader answers, so the losses left are not known";
  }
  const std::string wanted = std::to_string(group.value("losses_wanted", std::size_t{ 0 }));
  const json left = group.value("losses_left", json());
  std::string text = left.is_null()
                       ? "no majority answers, of " + wanted + " losses wanted"
                       : std::to_string(left.get<std::size_t>()) + " of " + wanted + " losses left";
  const std::string shortfalls = join(strings_of(group, "shortfalls"));
  return text + (shortfalls.empty() ? "" : ": " + shortfalls);
}

std::string
list_members(const json& group, bool voters)
{
  std::vector<std::string> addresses;
  for (const json& member : group.value("members", json::array())) {
    if (member.value("voter", false) == voters) {
      addresses.push_back(member.value("address", "") +
                          (member.value("answers", true) ? "" : " (no answer)"));
    }
  }
  return addresses.empty() ? "none" : join(addresses);
}

std::string
list_outside(const json& group)
{
  std::vector<std::string> hosts;
  for (const json& host : group.value("outside", json::array())) {
    const std::string address = host.value("address", "");
    hosts.push_back(host.contains("outside_ms")
                      ? address + " (" +
                          std::to_string(host.value("outside_ms", std::int64_t{ 0 }) / 1000) + " s)"
                      : address + " (asks to join)");
  }
  return join(hosts);
}

} // namespace

json
merge_group_pages(const std::vector<HostPage>& hosts)
{
  json merged;
  std::uint64_t newest_term = 0;
  // By address.
  std::map<std::string, json> outside;
  for (const HostPage& host : hosts) {
    if (!host.responded || !host.page.contains("group")) {
      continue;
    }
    const json& group = host.page["group"];
    if (merged.is_null()) {
      merged = json::object();
    }
    for (const std::string& address : strings_of(group, "joining")) {
      outside.try_emplace(address, json{ { "address", address } });
    }
    if (group.value("outside_ms", std::int64_t{ 0 }) > 0) {
      const std::string address = group.value("address", host.id);
      outside[address] = { { "address", address }, { "outside_ms", group["outside_ms"] } };
    }
    const std::uint64_t term = group.value("term", std::uint64_t{ 0 });
    if (group.value("leads", false) && term >= newest_term) {
      newest_term = term;
      merged = group;
      merged["leader"] = group.value("address", host.id);
    }
  }
  if (!merged.is_null()) {
    merged["outside"] = json::array();
    for (const auto& [address, host] : outside) {
      merged["outside"].push_back(host);
    }
  }
  return merged;
}

std::vector<std::string>
describe_group(const json& group)
{
  if (group.is_null()) {
    return {};
  }
  std::vector<std::string> lines{ "", "group:    " + describe_losses(group) };
  if (group.contains("leader")) {
    lines.push_back("leader:   " + group.value("leader", "") + ", term " +
                    std::to_string(group.value("term", std::uint64_t{ 0 })));
    lines.push_back("voters:   " + list_members(group, true));
    lines.push_back("learners: " + list_members(group, false));
  }
  const std::string outside = list_outside(group);
  lines.push_back("outside:  " + (outside.empty() ? "none" : outside));
  std::string behind;
  std::uint64_t most_missing = 0;
  for (const json& member : group.value("members", json::array())) {
    const std::uint64_t missing = member.value("missing_entries", std::uint64_t{ 0 });
    if (missing > most_missing) {
      most_missing = missing;
      behind = member.value("address", "");
    }
  }
  if (most_missing > 0) {
    lines.push_back("behind:   " + behind + " lacks " + std::to_string(most_missing) + " entries");
  }
  const std::string critical = join(strings_of(group, "critical_domains"));
  if (!critical.empty()) {
    lines.push_back("critical: the loss of failure domain " + critical + " ends the majority");
  }
  return lines;
}

std::set<std::string>
restricted_accounts(const std::vector<HostPage>& hosts)
{
  std::set<std::string> accounts;
  for (const HostPage& host : hosts) {
    if (host.responded && host.page.contains("restricted_accounts")) {
      for (const json& account : host.page["restricted_accounts"]) {
        accounts.insert(account.get<std::string>());
      }
    }
  }
  return accounts;
}

std::vector<std::string>
describe_restrictions(const std::set<std::string>& accounts)
{
  if (accounts.empty()) {
    return {};
  }
  std::string line = "accounts near or over their allowance:";
  for (const std::string& account : accounts) {
    line += " " + account;
  }
  return { line };
}

} // namespace lovagehold
