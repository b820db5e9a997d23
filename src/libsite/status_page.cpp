#include "status_page.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

using nlohmann::json;

namespace {

// An acknowledged change is in force at all hosts within this time.
constexpr std::chrono::milliseconds kStaleAge{ 2000 };

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
    page["state_age_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(status.state_age).count();
  }
  return { .body = page.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace lovagehold
