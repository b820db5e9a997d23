#include "lovagehold/settings.h"

#include <yaml-cpp/yaml.h>

namespace lovagehold {

SettingsOutcome
parse_settings(const std::string& file, const std::string& content)
{
  SettingsOutcome outcome;
  Settings& settings = outcome.settings;
  try {
    const YAML::Node root = YAML::Load(content);
    settings.host = root["host"].as<std::string>();
    settings.failure_domain = root["failure_domain"].as<std::string>();
    for (const auto& role : root["roles"]) {
      const auto name = role.as<std::string>();
      settings.entry_role = settings.entry_role || name == "entry";
      settings.control_role = settings.control_role || name == "control";
    }
    settings.caller_address = root["listen"]["callers"].as<std::string>("");
    settings.cluster_address = root["listen"]["cluster"].as<std::string>();
    settings.admin_address = root["listen"]["admin"].as<std::string>();
    settings.data_folder = root["data_folder"].as<std::string>("");
    settings.threads = root["threads"].as<unsigned>(settings.threads);
    settings.log_level = root["log_level"].as<std::string>(settings.log_level);
    settings.shutdown_grace = std::chrono::milliseconds(
      static_cast<std::int64_t>(root["shutdown_grace"].as<double>(10) * 1000));
    for (const auto& peer : root["control"]) {
      settings.control_peers.push_back(
        { peer["id"].as<std::string>(), peer["address"].as<std::string>() });
    }
  } catch (const YAML::Exception& exception) {
    outcome.mistakes.push_back({ .file = file,
                                 .line = static_cast<unsigned>(exception.mark.line + 1),
                                 .message = exception.msg,
                                 .remedy = "compare with examples/" });
  }
  return outcome;
}

} // namespace lovagehold
