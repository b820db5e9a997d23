#include "lovagehold/config_parser.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace lovagehold {

namespace {

RequestKind
parse_kind(const std::string& name, const YAML::Node& node)
{
  RequestKind kind;
  kind.name = name;
  const std::string treat = node["treat"].as<std::string>("urgent");
  if (treat == "patient") {
    kind.request_class = RequestClass::Patient;
  } else if (treat == "non-idempotent") {
    kind.request_class = RequestClass::NonIdempotent;
    kind.idempotent = false;
  }
  if (node["methods"]) {
    kind.methods = node["methods"].as<std::vector<std::string>>();
  }
  kind.path_prefix = node["path"].as<std::string>("/");
  kind.deadline = std::chrono::milliseconds(node["deadline_ms"].as<unsigned>(1000));
  return kind;
}

void
merge_service(Configuration& configuration, const std::string& name, const YAML::Node& node)
{
  if (node.IsNull()) {
    configuration.services.erase(name);
    return;
  }
  ServiceDeclaration& service = configuration.services[name];
  service.name = name;
  for (const auto& entry : node["kinds"]) {
    const auto kind_name = entry.first.as<std::string>();
    auto& kinds = service.kinds;
    kinds.erase(std::remove_if(kinds.begin(),
                               kinds.end(),
                               [&](const RequestKind& kind) { return kind.name == kind_name; }),
                kinds.end());
    if (!entry.second.IsNull()) {
      kinds.push_back(parse_kind(kind_name, entry.second));
    }
  }
}

} // namespace

std::string
to_string(const Mistake& mistake)
{
  return mistake.file + ":" + std::to_string(mistake.line) + ": " + mistake.key + ": " +
         mistake.message + "; " + mistake.remedy;
}

Result<std::uint64_t>
change_number(const std::string& file_name)
{
  const std::size_t digits = file_name.find_first_not_of("0123456789");
  const bool is_yaml =
    file_name.size() > 5 && file_name.compare(file_name.size() - 5, 5, ".yaml") == 0;
  if (digits == 0 || digits == std::string::npos || digits > 18 || !is_yaml) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = "file name '" + file_name + "' has no change number",
                  .remedy = "name it NUMBER-WHAT.yaml, for example 0012-slot-desk.yaml" };
  }
  return std::stoull(file_name.substr(0, digits));
}

MergeOutcome
merge_declarations(const std::vector<DeclarationFile>& files)
{
  MergeOutcome outcome;
  for (const DeclarationFile& file : files) {
    try {
      const YAML::Node root = YAML::Load(file.content);
      for (const auto& entry : root["services"]) {
        merge_service(outcome.configuration, entry.first.as<std::string>(), entry.second);
      }
    } catch (const YAML::Exception& exception) {
      outcome.mistakes.push_back({ .file = file.name,
                                   .line = static_cast<unsigned>(exception.mark.line + 1),
                                   .message = exception.msg,
                                   .remedy = "correct the YAML" });
    }
  }
  return outcome;
}

} // namespace lovagehold
