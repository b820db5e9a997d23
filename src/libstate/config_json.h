#pragma once

#include "lovagehold/declaration.h"

#include <nlohmann/json.hpp>

/// JSON representation of the merged configuration, for snapshots and operators.
namespace lovagehold {

void to_json(nlohmann::json& json, const RequestKind& kind);
void from_json(const nlohmann::json& json, RequestKind& kind);
void to_json(nlohmann::json& json, const ServiceDeclaration& service);
void from_json(const nlohmann::json& json, ServiceDeclaration& service);
void to_json(nlohmann::json& json, const Configuration& configuration);
void from_json(const nlohmann::json& json, Configuration& configuration);

} // namespace lovagehold
