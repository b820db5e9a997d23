#include "lovagehold/consensus_message.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

using nlohmann::json;

// Values are encoded as arrays instead of objects with named fields, because these messages and
// records make up most of the network traffic and of the log files.

static void
to_json(json& target, const Member& member)
{
  target =
    json::array({ member.id, member.host, member.address, member.voter, member.failure_domain });
}

static void
from_json(const json& source, Member& member)
{
  source.at(0).get_to(member.id);
  source.at(1).get_to(member.host);
  source.at(2).get_to(member.address);
  source.at(3).get_to(member.voter);
  if (source.size() > 4) {
    source.at(4).get_to(member.failure_domain);
  }
}

static void
to_json(json& target, const LogPosition& position)
{
  target = json::array({ position.index, position.term });
}

static void
from_json(const json& source, LogPosition& position)
{
  source.at(0).get_to(position.index);
  source.at(1).get_to(position.term);
}

static void
to_json(json& target, const LogEntry& entry)
{
  target = json::array({ entry.index,
                         entry.term,
                         static_cast<unsigned>(entry.kind),
                         json::binary(entry.payload ? *entry.payload : Bytes()) });
}

static void
from_json(const json& source, LogEntry& entry)
{
  source.at(0).get_to(entry.index);
  source.at(1).get_to(entry.term);
  entry.kind = static_cast<EntryKind>(source.at(2).get<unsigned>());
  const Bytes& payload = source.at(3).get_binary();
  entry.payload = payload.empty() ? nullptr : std::make_shared<const Bytes>(payload);
}

namespace {

// The values are stored in log files.
enum class RecordType : unsigned
{
  Vote,
  Entry,
  Snapshot,
};

json
to_fields(const VoteRequest& m)
{
  return json::array({ m.pre_vote, m.term, m.last });
}

json
to_fields(const VoteReply& m)
{
  return json::array({ m.pre_vote, m.term, m.granted });
}

json
to_fields(const AppendRequest& m)
{
  return json::array({ m.term, m.previous, m.commit, m.round, m.entries });
}

json
to_fields(const AppendReply& m)
{
  return json::array({ m.term, m.round, m.success, m.index });
}

json
to_fields(const SnapshotChunk& m)
{
  return json::array({ m.term, m.last, m.membership, m.offset, m.total, json::binary(m.data) });
}

json
to_fields(const SnapshotReply& m)
{
  return json::array({ m.term, m.index, m.received });
}

json
to_fields(const ReadRequest& m)
{
  return json::array({ m.id });
}

json
to_fields(const ReadReply& m)
{
  return json::array({ m.id, m.confirmed, m.index });
}

void
parse(const json& f, VoteRequest& m)
{
  m = { .pre_vote = f.at(0), .term = f.at(1), .last = f.at(2).get<LogPosition>() };
}

void
parse(const json& f, VoteReply& m)
{
  m = { .pre_vote = f.at(0), .term = f.at(1), .granted = f.at(2) };
}

void
parse(const json& f, AppendRequest& m)
{
  m = { .term = f.at(0),
        .previous = f.at(1).get<LogPosition>(),
        .commit = f.at(2),
        .round = f.at(3),
        .entries = f.at(4).get<std::vector<LogEntry>>() };
}

void
parse(const json& f, AppendReply& m)
{
  m = { .term = f.at(0), .round = f.at(1), .success = f.at(2), .index = f.at(3) };
}

void
parse(const json& f, SnapshotChunk& m)
{
  m = { .term = f.at(0),
        .last = f.at(1).get<LogPosition>(),
        .membership = f.at(2).get<Membership>(),
        .offset = f.at(3),
        .total = f.at(4),
        .data = f.at(5).get_binary() };
}

void
parse(const json& f, SnapshotReply& m)
{
  m = { .term = f.at(0), .index = f.at(1), .received = f.at(2) };
}

void
parse(const json& f, ReadRequest& m)
{
  m = { .id = f.at(0) };
}

void
parse(const json& f, ReadReply& m)
{
  m = { .id = f.at(0), .confirmed = f.at(1), .index = f.at(2) };
}

template<std::size_t Position = 0>
ConsensusMessage
parse_message(std::size_t type, const json& fields)
{
  if constexpr (Position < std::variant_size_v<ConsensusMessage>) {
    if (type != Position) {
      return parse_message<Position + 1>(type, fields);
    }
    std::variant_alternative_t<Position, ConsensusMessage> message;
    parse(fields, message);
    return message;
  } else {
    throw std::invalid_argument("unknown consensus message");
  }
}

json
to_record(const VoteState& vote)
{
  return json::array({ static_cast<unsigned>(RecordType::Vote), vote.term, vote.voted_for });
}

json
to_record(const LogEntry& entry)
{
  return json::array({ static_cast<unsigned>(RecordType::Entry), entry });
}

json
to_record(const SaveSnapshot& save)
{
  return json::array(
    { static_cast<unsigned>(RecordType::Snapshot), save.snapshot->last, save.drop_log });
}

LogRecord
parse_record(const json& fields)
{
  switch (static_cast<RecordType>(fields.at(0).get<unsigned>())) {
    case RecordType::Vote:
      return VoteState{ .term = fields.at(1), .voted_for = fields.at(2) };
    case RecordType::Entry:
      return fields.at(1).get<LogEntry>();
    case RecordType::Snapshot: {
      auto position = std::make_shared<StateSnapshot>();
      position->last = fields.at(1).get<LogPosition>();
      return SaveSnapshot{ .snapshot = position, .drop_log = fields.at(2) };
    }
  }
  throw std::invalid_argument("unknown log record");
}

} // namespace

Bytes
encode(const ConsensusEnvelope& envelope)
{
  return json::to_cbor(json::array(
    { envelope.from,
      envelope.to,
      envelope.message.index(),
      std::visit([](const auto& message) { return to_fields(message); }, envelope.message) }));
}

ConsensusEnvelope
decode_envelope(const Bytes& bytes)
{
  const json fields = json::from_cbor(bytes);
  return { .from = fields.at(0),
           .to = fields.at(1),
           .message = parse_message(fields.at(2).get<std::size_t>(), fields.at(3)) };
}

Bytes
encode(const Membership& membership)
{
  return json::to_cbor(json(membership));
}

Membership
decode_membership(const Bytes& bytes)
{
  return json::from_cbor(bytes).get<Membership>();
}

Bytes
encode(const std::vector<LogRecord>& records)
{
  json all = json::array();
  for (const LogRecord& record : records) {
    all.push_back(std::visit([](const auto& typed) { return to_record(typed); }, record));
  }
  return json::to_cbor(all);
}

std::vector<LogRecord>
decode_records(const Bytes& bytes)
{
  std::vector<LogRecord> records;
  for (const json& fields : json::from_cbor(bytes)) {
    records.push_back(parse_record(fields));
  }
  return records;
}

Bytes
encode(const StateSnapshot& snapshot)
{
  return json::to_cbor(
    json::array({ snapshot.last, snapshot.membership, json::binary(snapshot.state) }));
}

StateSnapshot
decode_snapshot(const Bytes& bytes)
{
  const json fields = json::from_cbor(bytes);
  return { .last = fields.at(0).get<LogPosition>(),
           .membership = fields.at(1).get<Membership>(),
           .state = fields.at(2).get_binary() };
}

} // namespace lovagehold
