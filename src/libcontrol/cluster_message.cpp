#include "lovagehold/cluster_message.h"

#include "libstate/json_fields.h"

namespace lovagehold {

namespace {

using nlohmann::json;

json
to_fields(const Propose& message)
{
  return { { "t", "propose" }, { "id", message.id }, { "command", json::binary(message.command) } };
}

json
to_fields(const ProposeReply& message)
{
  json fields = { { "t", "propose_reply" }, { "id", message.id }, { "decided", message.decided } };
  const std::optional<Error> error =
    message.decided ? message.result.error : std::optional<Error>(message.error);
  if (error) {
    fields["error"] = { static_cast<int>(error->kind), error->message, error->remedy };
  }
  if (message.decided) {
    const ApplyResult& result = message.result;
    fields["accepted"] = result.accepted;
    fields["claim"] = static_cast<int>(result.claim);
    fields["revision"] = result.revision;
    fields["winner"] = result.winner_file;
    fields["next"] = result.next_free_number;
    if (result.answer) {
      fields["answer"] = *result.answer;
    }
  }
  return fields;
}

json
to_fields(const Subscribe& message)
{
  return { { "t", "subscribe" }, { "from", message.from_index } };
}

json
to_fields(const Entries& message)
{
  json commands = json::array();
  for (const Bytes& command : message.commands) {
    commands.push_back(json::binary(command));
  }
  return { { "t", "entries" },
           { "first", message.first_index },
           { "commands", std::move(commands) } };
}

json
to_fields(const SnapshotTransfer& message)
{
  return { { "t", "snapshot" },
           { "index", message.index },
           { "state", json::binary(message.state) } };
}

json
to_fields(const Append& message)
{
  return { { "t", "append" },
           { "index", message.index },
           { "command", json::binary(message.command) } };
}

json
to_fields(const AppendAck& message)
{
  return { { "t", "append_ack" }, { "index", message.index } };
}

json
to_fields(const ServerRenewal& message)
{
  return { { "t", "renewal" },
           { "service", message.service },
           { "id", message.id },
           { "incarnation", message.incarnation } };
}

// Heartbeats are the most frequent control messages, so their fields are not named.
json
to_fields(const Heartbeat& message)
{
  return {
    { "t", "hb" },
    { "v",
      { message.host, message.incarnation, message.sequence, message.view, message.stable_view } }
  };
}

json
to_fields(const HeartbeatReply& message)
{
  return { { "t", "hr" },
           { "v",
             { message.sequence, message.lease.count(), message.stable_view, message.leader } } };
}

Bytes
get_bytes(const json& value)
{
  return value.get_binary();
}

ProposeReply
parse_reply(const json& fields)
{
  ProposeReply reply;
  fields.at("id").get_to(reply.id);
  fields.at("decided").get_to(reply.decided);
  if (fields.contains("error")) {
    const json& parts = fields.at("error");
    Error error{ .kind = static_cast<ErrorKind>(parts.at(0).get<int>()),
                 .message = parts.at(1).get<std::string>(),
                 .remedy = parts.at(2).get<std::string>() };
    if (reply.decided) {
      reply.result.error = error;
    }
    reply.error = std::move(error);
  }
  if (reply.decided) {
    fields.at("accepted").get_to(reply.result.accepted);
    reply.result.claim = static_cast<ClaimStatus>(fields.at("claim").get<int>());
    fields.at("revision").get_to(reply.result.revision);
    fields.at("winner").get_to(reply.result.winner_file);
    fields.at("next").get_to(reply.result.next_free_number);
    if (fields.contains("answer")) {
      reply.result.answer = fields.at("answer").get<StoredAnswer>();
    }
  }
  return reply;
}

Entries
parse_entries(const json& fields)
{
  Entries entries;
  fields.at("first").get_to(entries.first_index);
  for (const json& command : fields.at("commands")) {
    entries.commands.push_back(get_bytes(command));
  }
  return entries;
}

Heartbeat
parse_heartbeat(const json& values)
{
  return { .host = values.at(0).get<std::string>(),
           .incarnation = values.at(1).get<std::uint64_t>(),
           .sequence = values.at(2).get<std::uint64_t>(),
           .view = values.at(3).get<std::uint64_t>(),
           .stable_view = values.at(4).get<std::uint64_t>() };
}

HeartbeatReply
parse_heartbeat_reply(const json& values)
{
  return { .sequence = values.at(0).get<std::uint64_t>(),
           .lease = std::chrono::milliseconds(values.at(1).get<std::int64_t>()),
           .stable_view = values.at(2).get<std::uint64_t>(),
           .leader = values.at(3).get<std::string>() };
}

ClusterMessage
parse_message(const json& fields)
{
  const auto type = fields.at("t").get<std::string>();
  if (type == "propose") {
    return Propose{ .id = fields.at("id").get<std::uint64_t>(),
                    .command = get_bytes(fields.at("command")) };
  }
  if (type == "propose_reply") {
    return parse_reply(fields);
  }
  if (type == "subscribe") {
    return Subscribe{ .from_index = fields.at("from").get<std::uint64_t>() };
  }
  if (type == "entries") {
    return parse_entries(fields);
  }
  if (type == "snapshot") {
    return SnapshotTransfer{ .index = fields.at("index").get<std::uint64_t>(),
                             .state = get_bytes(fields.at("state")) };
  }
  if (type == "append") {
    return Append{ .index = fields.at("index").get<std::uint64_t>(),
                   .command = get_bytes(fields.at("command")) };
  }
  if (type == "append_ack") {
    return AppendAck{ .index = fields.at("index").get<std::uint64_t>() };
  }
  if (type == "renewal") {
    return ServerRenewal{ .service = fields.at("service").get<std::string>(),
                          .id = fields.at("id").get<std::string>(),
                          .incarnation = fields.at("incarnation").get<std::uint64_t>() };
  }
  if (type == "hb") {
    return parse_heartbeat(fields.at("v"));
  }
  if (type == "hr") {
    return parse_heartbeat_reply(fields.at("v"));
  }
  throw std::invalid_argument("unknown message type '" + type + "'");
}

} // namespace

Bytes
encode(const ClusterMessage& message)
{
  return json::to_cbor(std::visit([](const auto& typed) { return to_fields(typed); }, message));
}

Bytes
encode(const ClusterMessage& message, const HybridTime& time)
{
  json fields = std::visit([](const auto& typed) { return to_fields(typed); }, message);
  fields["h"] = { time.millis, time.counter };
  return json::to_cbor(fields);
}

Result<Envelope>
decode_envelope(const Bytes& bytes)
{
  try {
    const json fields = json::from_cbor(bytes);
    Envelope envelope{ .time = {}, .message = parse_message(fields) };
    if (fields.contains("h")) {
      fields.at("h").at(0).get_to(envelope.time.millis);
      fields.at("h").at(1).get_to(envelope.time.counter);
    }
    return envelope;
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a cluster message: ") + exception.what(),
                  .remedy = "check that all hosts run compatible versions" };
  }
}

Result<ClusterMessage>
decode_message(const Bytes& bytes)
{
  Result<Envelope> envelope = decode_envelope(bytes);
  if (envelope.has_error()) {
    return envelope.error();
  }
  return std::move(envelope.value().message);
}

} // namespace lovagehold
