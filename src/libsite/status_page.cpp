#include "status_page.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

using nlohmann::json;

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
  const json page = { { "host", status.host },   { "revision", status.version },
                      { "ready", status.ready }, { "stale", false },
                      { "hosts", hosts },        { "services", services } };
  return { .body = page.dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace lovagehold
