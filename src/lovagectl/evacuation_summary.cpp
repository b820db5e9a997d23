#include "evacuation_summary.h"

#include <algorithm>
#include <map>

namespace lovagehold {

using nlohmann::json;

namespace {

// Log index of the order by failure domain.
using Orders = std::map<std::string, std::uint64_t>;

Orders
orders_of(const HostPage& host)
{
  return host.responded ? host.page.value("evacuations", Orders()) : Orders();
}

// \return the page of the leader with the newest term, or null
const HostPage*
find_leader(const std::vector<HostPage>& hosts)
{
  const HostPage* leader = nullptr;
  std::uint64_t newest_term = 0;
  for (const HostPage& host : hosts) {
    const json group = host.responded ? host.page.value("group", json::object()) : json::object();
    const std::uint64_t term = group.value("term", std::uint64_t{ 0 });
    if (group.value("leads", false) && term >= newest_term) {
      newest_term = term;
      leader = &host;
    }
  }
  return leader;
}

// A host may have applied a later order of the same domain than the leader's page shows.
bool
follows(const HostPage& host, const std::string& domain, std::uint64_t index, bool withdrawn)
{
  const Orders orders = orders_of(host);
  const auto found = orders.find(domain);
  if (withdrawn) {
    return host.responded && found == orders.end();
  }
  return found != orders.end() && found->second >= index;
}

} // namespace

json
merge_evacuation_pages(const std::vector<HostPage>& hosts)
{
  const HostPage* leader = find_leader(hosts);
  const Orders in_force = leader != nullptr ? orders_of(*leader) : Orders();
  // The latest order of each domain.
  Orders all = in_force;
  for (const HostPage& host : hosts) {
    for (const auto& [domain, index] : orders_of(host)) {
      if (!in_force.contains(domain)) {
        all[domain] = std::max(all[domain], index);
      }
    }
  }
  json merged = json::array();
  for (const auto& [domain, index] : all) {
    const bool withdrawn = leader != nullptr && !in_force.contains(domain);
    std::vector<std::string> behind;
    for (const HostPage& host : hosts) {
      if (!follows(host, domain, index, withdrawn)) {
        behind.push_back(host.id);
      }
    }
    merged.push_back({ { "domain", domain },
                       { "index", index },
                       { "withdrawn", withdrawn },
                       { "hosts", hosts.size() },
                       { "following", hosts.size() - behind.size() },
                       { "behind", behind } });
  }
  return merged;
}

std::vector<std::string>
describe_evacuations(const json& evacuations)
{
  std::vector<std::string> lines;
  for (const json& evacuation : evacuations) {
    if (lines.empty()) {
      lines.emplace_back();
    }
    std::string line = "evacuated: " + evacuation.value("domain", "") + ", order " +
                       std::to_string(evacuation.value("index", std::uint64_t{ 0 })) +
                       (evacuation.value("withdrawn", false) ? ", withdrawn" : "") + ": " +
                       std::to_string(evacuation.value("following", std::size_t{ 0 })) + " of " +
                       std::to_string(evacuation.value("hosts", std::size_t{ 0 })) +
                       " hosts follow";
    const char* separator = "; not: ";
    for (const auto& name : evacuation.value("behind", std::vector<std::string>())) {
      line += separator + name;
      separator = ", ";
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

} // namespace lovagehold
