#include "document_codec.h"
#include "json_fields.h"
#include "routing_json.h"

namespace lovagehold {

namespace {

using nlohmann::json;

std::int64_t
to_millis(WallTime time)
{
  return time.time_since_epoch().count();
}

WallTime
from_millis(const json& value)
{
  return WallTime(std::chrono::milliseconds(value.get<std::int64_t>()));
}

json
to_fields(const SubmitChange& change)
{
  return { { "t", "change" },
           { "number", change.number },
           { "file", change.file_name },
           { "content", change.content } };
}

json
to_fields(const ClaimKey& claim)
{
  const Bytes digest(claim.body_digest.begin(), claim.body_digest.end());
  return { { "t", "claim" },
           { "service", claim.service },
           { "key", claim.key },
           { "digest", json::binary(digest) },
           { "attempt", claim.attempt },
           { "holder", claim.holder },
           { "holder_inc", claim.holder_incarnation },
           { "now", to_millis(claim.now) },
           { "keep_h", claim.retention.count() } };
}

json
to_fields(const RecordOutcome& record)
{
  return { { "t", "outcome" },
           { "service", record.service },
           { "key", record.key },
           { "attempt", record.attempt },
           { "outcome", static_cast<int>(record.outcome) },
           { "answer", record.stored_response },
           { "now", to_millis(record.now) } };
}

json
to_fields(const JoinServer& join)
{
  return { { "t", "server_join" }, { "server", join.server } };
}

json
to_fields(const LeaveServer& leave)
{
  return { { "t", "server_leave" },
           { "service", leave.service },
           { "id", leave.id },
           { "incarnation", leave.incarnation },
           { "expired", leave.expired } };
}

json
to_fields(const ReplaceRouting& replace)
{
  return { { "t", "routing" },
           { "version", replace.version },
           { "document", json::binary(pack_document(replace.document)) } };
}

json
to_fields(const ChangeRouting& change)
{
  return { { "t", "routing_change" },
           { "change", change.change },
           { "document", change.document } };
}

json
to_fields(const EvacuateDomain& order)
{
  return { { "t", "evacuate" }, { "domain", order.failure_domain }, { "active", order.active } };
}

json
to_fields(const JoinHost& join)
{
  return { { "t", "host_join" }, { "host", join.host } };
}

json
to_fields(const LeaveHost& leave)
{
  return { { "t", "host_leave" },
           { "id", leave.id },
           { "incarnation", leave.incarnation },
           { "released", leave.released },
           { "acknowledged", leave.acknowledged } };
}

json
to_fields(const ExpireOutcomes& expire)
{
  return { { "t", "expire" }, { "now", to_millis(expire.now) } };
}

ClaimKey
parse_claim(const json& fields)
{
  ClaimKey claim;
  fields.at("service").get_to(claim.service);
  fields.at("key").get_to(claim.key);
  const auto& digest = fields.at("digest").get_binary();
  if (digest.size() != claim.body_digest.size()) {
    throw std::invalid_argument("digest has the wrong size");
  }
  std::copy(digest.begin(), digest.end(), claim.body_digest.begin());
  fields.at("attempt").get_to(claim.attempt);
  fields.at("holder").get_to(claim.holder);
  claim.holder_incarnation = fields.value("holder_inc", claim.holder_incarnation);
  claim.now = from_millis(fields.at("now"));
  claim.retention = std::chrono::hours(fields.at("keep_h").get<std::int64_t>());
  return claim;
}

RecordOutcome
parse_outcome(const json& fields)
{
  RecordOutcome record;
  fields.at("service").get_to(record.service);
  fields.at("key").get_to(record.key);
  fields.at("attempt").get_to(record.attempt);
  const int outcome = fields.at("outcome").get<int>();
  if (outcome < 0 || outcome > static_cast<int>(OutcomeKind::Unknown)) {
    throw std::invalid_argument("unknown outcome " + std::to_string(outcome));
  }
  record.outcome = static_cast<OutcomeKind>(outcome);
  fields.at("answer").get_to(record.stored_response);
  record.now = from_millis(fields.at("now"));
  return record;
}

Command
parse_command(const json& fields)
{
  const auto type = fields.at("t").get<std::string>();
  if (type == "change") {
    return SubmitChange{ .number = fields.at("number").get<std::uint64_t>(),
                         .file_name = fields.at("file").get<std::string>(),
                         .content = fields.at("content").get<std::string>() };
  }
  if (type == "claim") {
    return parse_claim(fields);
  }
  if (type == "outcome") {
    return parse_outcome(fields);
  }
  if (type == "server_join") {
    return JoinServer{ fields.at("server").get<ServerInfo>() };
  }
  if (type == "server_leave") {
    return LeaveServer{ .service = fields.at("service").get<std::string>(),
                        .id = fields.at("id").get<std::string>(),
                        .incarnation = fields.at("incarnation").get<std::uint64_t>(),
                        .expired = fields.value("expired", false) };
  }
  if (type == "routing") {
    return ReplaceRouting{ .version = fields.at("version").get<std::uint64_t>(),
                           .document = unpack_document(fields.at("document").get_binary()) };
  }
  if (type == "routing_change") {
    return ChangeRouting{ .change = fields.at("change").get<RoutingChange>(),
                          .document = fields.at("document").get<DocumentPatch>() };
  }
  if (type == "evacuate") {
    return EvacuateDomain{ .failure_domain = fields.at("domain").get<std::string>(),
                           .active = fields.at("active").get<bool>() };
  }
  if (type == "host_join") {
    return JoinHost{ fields.at("host").get<HostInfo>() };
  }
  if (type == "host_leave") {
    return LeaveHost{ .id = fields.at("id").get<std::string>(),
                      .incarnation = fields.at("incarnation").get<std::uint64_t>(),
                      .released = fields.at("released").get<bool>(),
                      .acknowledged = fields.at("acknowledged").get<std::uint64_t>() };
  }
  if (type == "expire") {
    return ExpireOutcomes{ .now = from_millis(fields.at("now")) };
  }
  throw std::invalid_argument("unknown command type '" + type + "'");
}

} // namespace

Bytes
encode(const Command& command)
{
  return json::to_cbor(std::visit([](const auto& typed) { return to_fields(typed); }, command));
}

Result<Command>
decode_command(const Bytes& bytes)
{
  try {
    return parse_command(json::from_cbor(bytes));
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a command: ") + exception.what(),
                  .remedy = "check that all hosts run compatible versions" };
  }
}

} // namespace lovagehold
