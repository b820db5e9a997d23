#pragma once

#include "lovagehold/document_patch.h"
#include "lovagehold/routing_change.h"

#include <algorithm>
#include <nlohmann/json.hpp>

/// JSON representation of routing changes: arrays, as they are sent to every host.
namespace lovagehold {

inline void
to_json(nlohmann::json& json, const RouteTarget& target)
{
  json = { target.service, target.weight };
}

inline void
from_json(const nlohmann::json& json, RouteTarget& target)
{
  json.at(0).get_to(target.service);
  json.at(1).get_to(target.weight);
}

inline void
to_json(nlohmann::json& json, const Route& route)
{
  json = { route.name,         route.path_prefix,     static_cast<int>(route.kind),
           route.targets,      route.timeout.count(), route.target_latency.count(),
           route.max_attempts, route.priority };
  // Left out if not set, so that messages without open routes are the same as before there were
  // any.
  if (route.open) {
    json.push_back(true);
  }
}

inline void
from_json(const nlohmann::json& json, Route& route)
{
  json.at(0).get_to(route.name);
  json.at(1).get_to(route.path_prefix);
  const int kind = json.at(2).get<int>();
  if (kind < 0 || kind > static_cast<int>(RouteKind::Upload)) {
    throw std::invalid_argument("unknown kind of route " + std::to_string(kind));
  }
  route.kind = static_cast<RouteKind>(kind);
  json.at(3).get_to(route.targets);
  route.timeout = std::chrono::milliseconds(json.at(4).get<std::int64_t>());
  route.target_latency = std::chrono::milliseconds(json.at(5).get<std::int64_t>());
  json.at(6).get_to(route.max_attempts);
  json.at(7).get_to(route.priority);
  route.open = json.size() > 8 && json.at(8).get<bool>();
}

inline void
to_json(nlohmann::json& json, const VirtualHost& host)
{
  json = { host.name, host.routes };
}

inline void
from_json(const nlohmann::json& json, VirtualHost& host)
{
  json.at(0).get_to(host.name);
  json.at(1).get_to(host.routes);
}

inline void
to_json(nlohmann::json& json, const RouteKey& key)
{
  json = { key.host, key.path_prefix };
}

inline void
from_json(const nlohmann::json& json, RouteKey& key)
{
  json.at(0).get_to(key.host);
  json.at(1).get_to(key.path_prefix);
}

inline void
to_json(nlohmann::json& json, const RoutedService& service)
{
  json = { service.name, service.health_path, service.max_connections };
  if (service.warmup.count() > 0 || service.warmup_rate > 0) {
    json.push_back(service.warmup.count());
    json.push_back(service.warmup_rate);
  }
}

inline void
from_json(const nlohmann::json& json, RoutedService& service)
{
  json.at(0).get_to(service.name);
  json.at(1).get_to(service.health_path);
  json.at(2).get_to(service.max_connections);
  if (json.size() > 4) {
    service.warmup = std::chrono::milliseconds(json.at(3).get<std::int64_t>());
    json.at(4).get_to(service.warmup_rate);
  }
}

inline void
to_json(nlohmann::json& json, const ClientAccount& account)
{
  nlohmann::json keys = nlohmann::json::array();
  for (const KeyDigest& key : account.keys) {
    keys.push_back(nlohmann::json::binary({ key.begin(), key.end() }));
  }
  json =
    nlohmann::json::array({ account.name, std::move(keys), nullptr, account.rate, account.burst });
  if (account.priority) {
    json.at(2) = *account.priority;
  }
}

inline void
from_json(const nlohmann::json& json, ClientAccount& account)
{
  json.at(0).get_to(account.name);
  for (const nlohmann::json& key : json.at(1)) {
    const auto& bytes = key.get_binary();
    KeyDigest digest{};
    if (bytes.size() != digest.size()) {
      throw std::invalid_argument("the digest of an account key has the wrong size");
    }
    std::copy(bytes.begin(), bytes.end(), digest.begin());
    account.keys.push_back(digest);
  }
  if (!json.at(2).is_null()) {
    account.priority = json.at(2).get<unsigned>();
  }
  json.at(3).get_to(account.rate);
  json.at(4).get_to(account.burst);
}

inline void
to_json(nlohmann::json& json, const RequestLimits& limits)
{
  json = { limits.header_bytes,
           limits.body_bytes,
           limits.header_timeout.count(),
           limits.idle_timeout.count() };
}

inline void
from_json(const nlohmann::json& json, RequestLimits& limits)
{
  json.at(0).get_to(limits.header_bytes);
  json.at(1).get_to(limits.body_bytes);
  limits.header_timeout = std::chrono::milliseconds(json.at(2).get<std::int64_t>());
  limits.idle_timeout = std::chrono::milliseconds(json.at(3).get<std::int64_t>());
}

inline void
to_json(nlohmann::json& json, const RoutingChange& change)
{
  json = { { "base", change.base_version }, { "version", change.version },
           { "hosts", change.hosts },       { "removed", change.removed_routes },
           { "services", change.services }, { "removed_services", change.removed_services } };
  if (change.limits) {
    json["limits"] = *change.limits;
  }
  if (change.requires_key) {
    json["requires_key"] = *change.requires_key;
  }
  if (!change.accounts.empty()) {
    json["accounts"] = change.accounts;
  }
  if (!change.removed_accounts.empty()) {
    json["removed_accounts"] = change.removed_accounts;
  }
}

inline void
from_json(const nlohmann::json& json, RoutingChange& change)
{
  json.at("base").get_to(change.base_version);
  json.at("version").get_to(change.version);
  json.at("hosts").get_to(change.hosts);
  json.at("removed").get_to(change.removed_routes);
  json.at("services").get_to(change.services);
  json.at("removed_services").get_to(change.removed_services);
  if (json.contains("limits")) {
    change.limits = json.at("limits").get<RequestLimits>();
  }
  if (json.contains("requires_key")) {
    change.requires_key = json.at("requires_key").get<bool>();
  }
  if (json.contains("accounts")) {
    json.at("accounts").get_to(change.accounts);
  }
  if (json.contains("removed_accounts")) {
    json.at("removed_accounts").get_to(change.removed_accounts);
  }
}

inline void
to_json(nlohmann::json& json, const DocumentPatch& patch)
{
  nlohmann::json parts = nlohmann::json::array();
  for (const DocumentPatch::Part& part : patch.parts) {
    // Documents need not be valid text, so the bytes are encoded as a CBOR byte string.
    parts.push_back({ part.offset,
                      part.size,
                      nlohmann::json::binary({ part.inserted.begin(), part.inserted.end() }) });
  }
  json = { { "size", patch.base_size }, { "parts", std::move(parts) } };
}

inline void
from_json(const nlohmann::json& json, DocumentPatch& patch)
{
  json.at("size").get_to(patch.base_size);
  for (const nlohmann::json& fields : json.at("parts")) {
    const auto& inserted = fields.at(2).get_binary();
    patch.parts.push_back({ .offset = fields.at(0).get<std::uint64_t>(),
                            .size = fields.at(1).get<std::uint64_t>(),
                            .inserted = { inserted.begin(), inserted.end() } });
  }
}

} // namespace lovagehold
