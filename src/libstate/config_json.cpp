#include "config_json.h"

namespace lovagehold {

using nlohmann::json;

void
to_json(json& json, const RequestKind& kind)
{
  json = { { "name", kind.name },
           { "treat", to_string(kind.request_class) },
           { "methods", kind.methods },
           { "path", kind.path_prefix },
           { "deadline_ms", kind.deadline.count() },
           { "idempotent", kind.idempotent } };
}

void
from_json(const json& json, RequestKind& kind)
{
  json.at("name").get_to(kind.name);
  const auto treat = json.at("treat").get<std::string>();
  for (const RequestClass known :
       { RequestClass::Urgent, RequestClass::Patient, RequestClass::NonIdempotent }) {
    if (treat == to_string(known)) {
      kind.request_class = known;
    }
  }
  json.at("methods").get_to(kind.methods);
  json.at("path").get_to(kind.path_prefix);
  kind.deadline = std::chrono::milliseconds(json.at("deadline_ms").get<std::int64_t>());
  json.at("idempotent").get_to(kind.idempotent);
}

void
to_json(json& json, const ServiceDeclaration& service)
{
  json = { { "kinds", service.kinds },
           { "probe_budget", service.probe_budget },
           { "probe_cost_us", service.probe_cost.count() },
           { "error_budget", service.error_budget },
           { "keep_outcomes_h", service.keep_outcomes.count() } };
}

void
from_json(const json& json, ServiceDeclaration& service)
{
  json.at("kinds").get_to(service.kinds);
  json.at("probe_budget").get_to(service.probe_budget);
  service.probe_cost = std::chrono::microseconds(json.at("probe_cost_us").get<std::int64_t>());
  json.at("error_budget").get_to(service.error_budget);
  service.keep_outcomes = std::chrono::hours(json.at("keep_outcomes_h").get<std::int64_t>());
}

void
to_json(json& json, const Configuration& configuration)
{
  json = { { "revision", configuration.revision }, { "services", configuration.services } };
}

void
from_json(const json& json, Configuration& configuration)
{
  json.at("revision").get_to(configuration.revision);
  json.at("services").get_to(configuration.services);
  for (auto& [name, service] : configuration.services) {
    service.name = name;
  }
}

} // namespace lovagehold
