#include "declaration_reader.h"

#include "yaml_reader.h"

namespace lovagehold {

namespace {

using namespace std::chrono_literals;

// Probes that use more than 5% of a server would add to the load that they measure.
constexpr double kMaxProbeBudget = 0.05;
constexpr double kMaxErrorBudget = 0.5;
constexpr std::chrono::milliseconds kMaxDeadline{ 3'600'000 };
constexpr std::chrono::hours kMaxKeepOutcomes{ 720 };

const std::vector<std::string> kMethods{
  "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"
};

std::optional<RequestClass>
read_treatment(YamlReader& reader, const std::string& path, const YAML::Node& node)
{
  for (const RequestClass known :
       { RequestClass::Urgent, RequestClass::Patient, RequestClass::NonIdempotent }) {
    if (node.IsScalar() && node.Scalar() == to_string(known)) {
      return known;
    }
  }
  reader.read_word(path, node, { "urgent", "patient", "non-idempotent" });
  return std::nullopt;
}

std::vector<std::string>
read_methods(YamlReader& reader, const std::string& path, const YAML::Node& node)
{
  std::vector<std::string> methods;
  reader.read_list(path, node, [&](const std::string& element_path, const YAML::Node& element) {
    if (const auto method = reader.read_word(element_path, element, kMethods)) {
      methods.push_back(*method);
    }
  });
  if (node.IsSequence() && node.size() == 0) {
    reader.report(node, path, "is empty", "name the methods or leave the key out to match all");
  }
  return methods;
}

void
read_deadline(YamlReader& reader, const std::string& path, const YAML::Node& node, KindPatch& kind)
{
  if (kind.deadline) {
    reader.report(node, path, "the deadline is given twice", "keep either deadline or deadline_ms");
  } else if (const auto deadline = reader.read_duration(path, node, 1ms, kMaxDeadline)) {
    if (deadline->count() % 1000 != 0) {
      reader.report(node, path, "has a fraction of a millisecond", "write whole milliseconds");
    }
    kind.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline);
  }
}

void
read_deadline_ms(YamlReader& reader,
                 const std::string& path,
                 const YAML::Node& node,
                 KindPatch& kind)
{
  if (kind.deadline) {
    reader.report(node, path, "the deadline is given twice", "keep either deadline or deadline_ms");
  } else if (const auto millis = reader.read_integer(path, node, 1, kMaxDeadline.count())) {
    kind.deadline = std::chrono::milliseconds(*millis);
  }
}

void
read_path(YamlReader& reader, const std::string& path, const YAML::Node& node, KindPatch& kind)
{
  const auto prefix = reader.read_string(path, node);
  if (prefix && prefix->front() != '/') {
    reader.report(node, path, "'" + *prefix + "' does not start with /", "write /" + *prefix);
  } else if (prefix) {
    kind.path_prefix = *prefix;
  }
}

KindPatch
read_kind(YamlReader& reader, const std::string& path, const YAML::Node& node)
{
  KindPatch kind;
  if (node.IsNull()) {
    kind.remove = true;
    return kind;
  }
  reader.read_map(path,
                  node,
                  { { "treat",
                      [&](const auto& key_path, const auto& value) {
                        kind.request_class = read_treatment(reader, key_path, value);
                      } },
                    { "methods",
                      [&](const auto& key_path, const auto& value) {
                        kind.methods = read_methods(reader, key_path, value);
                      } },
                    { "path",
                      [&](const auto& key_path, const auto& value) {
                        read_path(reader, key_path, value, kind);
                      } },
                    { "deadline",
                      [&](const auto& key_path, const auto& value) {
                        read_deadline(reader, key_path, value, kind);
                      } },
                    { "deadline_ms",
                      [&](const auto& key_path, const auto& value) {
                        read_deadline_ms(reader, key_path, value, kind);
                      } },
                    { "idempotent", [&](const auto& key_path, const auto& value) {
                       kind.idempotent = reader.read_boolean(key_path, value);
                     } } });
  return kind;
}

void
read_keep_outcomes(YamlReader& reader,
                   const std::string& path,
                   const YAML::Node& node,
                   ServicePatch& service)
{
  const auto keep = reader.read_duration(path, node, 1h, kMaxKeepOutcomes);
  if (!keep) {
    return;
  }
  service.keep_outcomes = std::chrono::duration_cast<std::chrono::hours>(*keep);
  if (*service.keep_outcomes != *keep) {
    reader.report(
      node, path, "is not a whole number of hours", "write whole hours, for example 24h");
  }
}

ServicePatch
read_service(YamlReader& reader, const std::string& path, const YAML::Node& node)
{
  ServicePatch service;
  if (node.IsNull()) {
    service.remove = true;
    return service;
  }
  const auto kinds = [&](const std::string& kinds_path, const YAML::Node& map) {
    reader.read_names(kinds_path, map, [&](const std::string& name, const YAML::Node& value) {
      const std::string kind_path = kinds_path + "." + name;
      if (reader.check_name(kind_path, value, name, false)) {
        KindPatch kind = read_kind(reader, kind_path, value);
        kind.name = name;
        kind.line = static_cast<unsigned>(value.Mark().line + 1);
        service.kinds.push_back(std::move(kind));
      }
    });
  };
  reader.read_map(path,
                  node,
                  { { "kinds", kinds },
                    { "probe_budget",
                      [&](const auto& key_path, const auto& value) {
                        service.probe_budget = reader.read_share(key_path, value, kMaxProbeBudget);
                      } },
                    { "probe_cost",
                      [&](const auto& key_path, const auto& value) {
                        service.probe_cost = reader.read_duration(key_path, value, 1us, 10s);
                      } },
                    { "error_budget",
                      [&](const auto& key_path, const auto& value) {
                        service.error_budget = reader.read_share(key_path, value, kMaxErrorBudget);
                      } },
                    { "keep_outcomes", [&](const auto& key_path, const auto& value) {
                       read_keep_outcomes(reader, key_path, value, service);
                     } } });
  return service;
}

} // namespace

std::vector<ServicePatch>
read_declaration(const DeclarationFile& file, std::vector<Mistake>& mistakes)
{
  std::vector<ServicePatch> services;
  YamlReader reader(file.name, mistakes);
  const auto root = reader.load(file.content);
  if (!root) {
    return services;
  }
  const auto read_services = [&](const std::string& path, const YAML::Node& map) {
    reader.read_names(path, map, [&](const std::string& name, const YAML::Node& value) {
      const std::string service_path = path + "." + name;
      if (reader.check_name(service_path, value, name, true)) {
        ServicePatch service = read_service(reader, service_path, value);
        service.name = name;
        services.push_back(std::move(service));
      }
    });
  };
  reader.read_map("", *root, { { "services", read_services } });
  return services;
}

} // namespace lovagehold
