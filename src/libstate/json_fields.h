#pragma once

#include "lovagehold/command.h"

#include <nlohmann/json.hpp>

/// JSON representation of the shared value types. They are sent and stored as CBOR.
namespace lovagehold {

inline void
to_json(nlohmann::json& json, const ServerInfo& server)
{
  json = { { "service", server.service },         { "id", server.id },
           { "address", server.address },         { "slots", server.slots },
           { "connections", server.connections }, { "incarnation", server.incarnation },
           { "domain", server.failure_domain },   { "warmup_ms", server.warmup.count() } };
  if (server.warmup_renewals > 0) {
    json["warmup_renewals"] = server.warmup_renewals;
  }
}

inline void
from_json(const nlohmann::json& json, ServerInfo& server)
{
  json.at("service").get_to(server.service);
  json.at("id").get_to(server.id);
  json.at("address").get_to(server.address);
  server.slots = json.value("slots", server.slots);
  server.connections = json.value("connections", server.connections);
  server.incarnation = json.value("incarnation", server.incarnation);
  server.failure_domain = json.value("domain", "");
  server.warmup = std::chrono::milliseconds(json.value("warmup_ms", std::int64_t{ 0 }));
  server.warmup_renewals = json.value("warmup_renewals", std::uint64_t{ 0 });
}

inline void
to_json(nlohmann::json& json, const HostInfo& host)
{
  json = { { "id", host.id },
           { "incarnation", host.incarnation },
           { "failure_domain", host.failure_domain },
           { "callers", host.caller_address },
           { "cluster", host.cluster_address },
           { "admin", host.admin_address } };
}

inline void
from_json(const nlohmann::json& json, HostInfo& host)
{
  json.at("id").get_to(host.id);
  json.at("incarnation").get_to(host.incarnation);
  json.at("failure_domain").get_to(host.failure_domain);
  json.at("callers").get_to(host.caller_address);
  json.at("cluster").get_to(host.cluster_address);
  json.at("admin").get_to(host.admin_address);
}

inline void
to_json(nlohmann::json& json, const StoredResponse& response)
{
  // Bodies need not be valid text, so they are encoded as CBOR byte strings.
  json = { { "status", response.status },
           { "type", response.content_type },
           { "body", nlohmann::json::binary({ response.body.begin(), response.body.end() }) },
           { "truncated", response.truncated } };
}

inline void
from_json(const nlohmann::json& json, StoredResponse& response)
{
  json.at("status").get_to(response.status);
  json.at("type").get_to(response.content_type);
  const auto& body = json.at("body").get_binary();
  response.body.assign(body.begin(), body.end());
  json.at("truncated").get_to(response.truncated);
}

inline void
to_json(nlohmann::json& json, const Error& error)
{
  json = { static_cast<int>(error.kind), error.message, error.remedy };
}

inline void
from_json(const nlohmann::json& json, Error& error)
{
  error.kind = static_cast<ErrorKind>(json.at(0).get<int>());
  json.at(1).get_to(error.message);
  json.at(2).get_to(error.remedy);
}

inline void
to_json(nlohmann::json& json, const ApplyResult& result)
{
  json = { { "accepted", result.accepted },
           { "claim", static_cast<int>(result.claim) },
           { "revision", result.revision },
           { "winner", result.winner_file },
           { "next", result.next_free_number } };
  if (result.error) {
    json["error"] = *result.error;
  }
  if (result.stored_response) {
    json["answer"] = *result.stored_response;
  }
}

inline void
from_json(const nlohmann::json& json, ApplyResult& result)
{
  json.at("accepted").get_to(result.accepted);
  result.claim = static_cast<ClaimStatus>(json.at("claim").get<int>());
  json.at("revision").get_to(result.revision);
  json.at("winner").get_to(result.winner_file);
  json.at("next").get_to(result.next_free_number);
  if (json.contains("error")) {
    result.error = json.at("error").get<Error>();
  }
  if (json.contains("answer")) {
    result.stored_response = json.at("answer").get<StoredResponse>();
  }
}

} // namespace lovagehold
