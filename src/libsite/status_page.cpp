#include "status_page.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

using nlohmann::json;

namespace {

// An acknowledged change is in force at all hosts within this time.
constexpr std::chrono::milliseconds kStaleAge{ 2000 };

std::int64_t
to_milliseconds(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json
group_fields(const GroupStatus& group)
{
  json members = json::array();
  for (const MemberState& state : group.members) {
    json fields = { { "address", state.member.address },
                    { "failure_domain", state.member.failure_domain },
                    { "voter", state.member.voter } };
    if (group.leads) {
      fields["answers"] = state.answers;
      fields["missing_entries"] = state.missing_entries;
    }
    members.push_back(std::move(fields));
  }
  json fields = { { "address", group.address },
                  { "leads", group.leads },
                  { "term", group.term },
                  { "members", std::move(members) },
                  { "losses_wanted", group.wanted_losses },
                  { "outside_ms", to_milliseconds(group.outside) },
                  { "joining", group.joining } };
  if (group.tolerance) {
    const auto losses_left = group.tolerance->losses_left;
    fields["losses_left"] = losses_left ? json(*losses_left) : json();
    fields["critical_domains"] = group.tolerance->critical_domains;
    fields["shortfalls"] = group.tolerance->shortfalls;
  }
  return fields;
}

} // namespace

std::string
with_port_of(const std::string& address, const std::string& port_source)
{
  return address.substr(0, address.rfind(':')) + port_source.substr(port_source.rfind(':'));
}

AdminResponse
make_status_page(const SiteStatus& status)
{
  json hosts = json::array();
  for (const KnownHost& host : status.hosts) {
    hosts.push_back({ { "id", host.id },
                      { "failure_domain", host.failure_domain },
                      { "admin", host.status_address } });
  }
  json services = json::object();
  for (const GatewayServiceStatus& service : status.services) {
    services[service.name] = { { "servers", service.servers },
                               { "in_flight", service.in_progress } };
  }
  json page = { { "host", status.host },   { "revision", status.version },
                { "ready", status.ready }, { "stale", status.state_age > kStaleAge },
                { "hosts", hosts },        { "services", services } };
  if (status.state_age != Duration::max()) {
    page["state_age_ms"] = to_milliseconds(status.state_age);
  }
  if (!status.restricted_accounts.empty()) {
    page["restricted_accounts"] = status.restricted_accounts;
  }
  if (status.group) {
    page["group"] = group_fields(*status.group);
  }
  if (!status.evacuations.empty()) {
    page["evacuations"] = status.evacuations;
  }
  return { .body = page.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace lovagehold
