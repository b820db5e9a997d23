#include "lovagehold/cluster_message.h"

#include "libstate/json_fields.h"

#include <cmath>
#include <xxhash.h>

namespace lovagehold {

namespace {

using nlohmann::json;

json
to_array(const EntryPresence& presence)
{
  return { presence.address, presence.failure_domain, presence.ready };
}

EntryPresence
parse_presence(const json& fields)
{
  return { .address = fields.at(0), .failure_domain = fields.at(1), .ready = fields.at(2) };
}

json
to_fields(const Propose& message)
{
  return { { "t", "propose" },
           { "client", message.client },
           { "id", message.id },
           { "lowest", message.lowest_pending },
           { "command", json::binary(message.command) } };
}

json
to_fields(const ProposeReply& message)
{
  json fields = { { "t", "propose_reply" }, { "id", message.id }, { "decided", message.decided } };
  if (message.decided) {
    fields["result"] = message.result;
  } else {
    fields["error"] = message.error;
    fields["leader"] = message.leader_address;
  }
  return fields;
}

json
to_fields(const Subscribe& message)
{
  json fields = { { "t", "subscribe" },
                  { "from", message.from_index },
                  { "confirm", message.confirm },
                  { "snapshot", message.snapshot_index },
                  { "offset", message.snapshot_offset } };
  if (message.presence) {
    fields["entry"] = to_array(*message.presence);
    fields["directory"] = message.directory_version;
  }
  if (message.accepts_source) {
    fields["accepts_source"] = true;
  }
  if (message.request > 0) {
    fields["request"] = message.request;
  }
  return fields;
}

json
to_fields(const Entries& message)
{
  json payloads = json::array();
  for (const Bytes& payload : message.payloads) {
    payloads.push_back(json::binary(payload));
  }
  json fields = { { "t", "entries" },
                  { "first", message.first_index },
                  { "confirmed", message.confirmed },
                  { "payloads", std::move(payloads) } };
  for (const ControlAddress& control : message.control) {
    fields["control"].push_back({ control.address, control.failure_domain });
  }
  if (message.entry_hosts > 0) {
    fields["entry_hosts"] = message.entry_hosts;
  }
  if (!message.source.empty()) {
    fields["source"] = message.source;
  }
  if (message.answers > 0) {
    fields["answers"] = message.answers;
  }
  if (message.lag) {
    fields["lag"] = message.lag->count();
  }
  return fields;
}

json
to_fields(const SourceQuery& message)
{
  return { { "t", "source_query" }, { "request", message.request } };
}

json
to_fields(const SourceStatus& message)
{
  return { { "t", "source_status" },
           { "v", { message.answers, message.applied_index, message.lag.count() } } };
}

json
to_fields(const EntryHosts& message)
{
  json hosts = json::array();
  for (const EntryHosts::ReportedHost& reported : message.hosts) {
    hosts.push_back({ to_array(reported.presence), reported.age.count() });
  }
  return { { "t", "entry_hosts" }, { "hosts", std::move(hosts) } };
}

json
to_fields(const EntryAddresses& message)
{
  return { { "t", "entry_addresses" },
           { "version", message.version },
           { "domains", message.by_domain } };
}

json
to_fields(const SnapshotTransfer& message)
{
  return { { "t", "snapshot" },
           { "index", message.index },
           { "offset", message.offset },
           { "total", message.total },
           { "state", json::binary(message.state) } };
}

json
to_fields(const JoinGroup& message)
{
  return { { "t", "join" },
           { "id", message.member.id },
           { "host", message.member.host },
           { "address", message.member.address },
           { "domain", message.member.failure_domain },
           { "empty", message.empty },
           { "nonce", message.nonce },
           { "heard", message.first_host_nonce } };
}

json
to_fields(const GroupContacts& contacts)
{
  return { { "t", "contacts" }, { "leader", contacts.leader }, { "members", contacts.members } };
}

json
to_fields(const ConsensusEnvelope& envelope)
{
  return { { "t", "consensus" }, { "envelope", json::binary(encode(envelope)) } };
}

json
to_fields(const ServerRenewal& message)
{
  return { { "t", "renewal" },
           { "service", message.service },
           { "id", message.id },
           { "incarnation", message.incarnation } };
}

json
to_fields(const ServerRenewals& message)
{
  json renewals = json::array();
  for (const ServerRenewal& renewal : message.renewals) {
    renewals.push_back({ renewal.service, renewal.id, renewal.incarnation });
  }
  return { { "t", "renewals" }, { "v", std::move(renewals) } };
}

// Heartbeats are the most frequent control messages. Their fields are an array without names to
// keep them small.
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

json
to_fields(const PermitRequest& message)
{
  json candidates = json::array();
  for (const LimitedServer& server : message.query.candidates) {
    candidates.push_back({ server.id, server.incarnation, server.limit, server.age.count() });
  }
  return {
    { "t", "permit" },
    { "v",
      { message.id, message.query.service, message.query.max_wait.count(), std::move(candidates) } }
  };
}

json
to_fields(const CrashReports& message)
{
  json reports = json::array();
  for (const CrashEvidence& evidence : message.evidence) {
    json crashes = json::array();
    for (const CrashEvidence::Crash& crash : evidence.crashes) {
      crashes.push_back({ crash.server, crash.sent.count(), crash.crashed.count() });
    }
    reports.push_back({ evidence.request,
                        evidence.service,
                        std::move(crashes),
                        evidence.cleared ? json(evidence.cleared->count()) : json() });
  }
  return { { "t", "crashes" }, { "v", std::move(reports) } };
}

json
to_array(const AccountRequests& requests)
{
  const AllowanceLimit& limit = requests.limit;
  return { requests.account, limit.rate,        limit.burst,    limit.version,
           requests.used,    requests.repeated, requests.wanted };
}

json
to_array(const std::vector<AccountRequests>& accounts)
{
  json values = json::array();
  for (const AccountRequests& requests : accounts) {
    values.push_back(to_array(requests));
  }
  return values;
}

json
to_fields(const AllowanceQuery& message)
{
  return { { "t", "aq" }, { "v", { message.id, to_array(message.accounts) } } };
}

json
to_fields(const AllowanceReply& message)
{
  json items = json::array();
  for (const AllowanceReply::Item& item : message.accounts) {
    const AllowanceAnswer& answer = item.answer;
    items.push_back({ item.account,
                      item.responsible,
                      answer.granted,
                      answer.over,
                      answer.wait.count(),
                      answer.retry.count(),
                      answer.restricted });
  }
  return { { "t", "ar" }, { "v", { message.id, message.hosts, std::move(items) } } };
}

json
to_fields(const AllowanceUse& message)
{
  return { { "t", "au" }, { "v", to_array(message.accounts) } };
}

json
to_fields(const RestrictedAccounts& message)
{
  return { { "t", "restricted" }, { "v", message.accounts } };
}

json
to_fields(const PermitReply& message)
{
  return { { "t", "permit_reply" },
           { "v", { message.id, message.answer.server, message.answer.wait.count() } } };
}

// Numbers that aren't whole are sent in thousandths, as CBOR needs 9 bytes for most others.
std::int64_t
to_thousandths(double value)
{
  return std::llround(value * 1000);
}

double
parse_thousandths(const json& value)
{
  return static_cast<double>(value.get<std::int64_t>()) / 1000;
}

json
to_array(const ServiceName& service, const DomainServiceLoad& load)
{
  json attempts = json::array();
  for (const auto& [domain, count] : load.attempts) {
    attempts.push_back({ domain, to_thousandths(count.attempts), to_thousandths(count.failed) });
  }
  return { service,
           std::llround(load.hosts),
           std::llround(load.listed),
           std::llround(load.unusable),
           std::llround(load.usable),
           std::llround(load.busy),
           to_thousandths(load.demand),
           to_thousandths(load.requests),
           std::llround(load.bytes),
           load.age.count(),
           std::move(attempts) };
}

json
to_fields(const DomainLoad& message)
{
  json domains = json::array();
  for (const auto& [domain, services] : message.loads) {
    json loads = json::array();
    for (const auto& [service, load] : services) {
      loads.push_back(to_array(service, load));
    }
    domains.push_back({ domain, std::move(loads) });
  }
  return { { "t", "load" }, { "v", { message.combined, std::move(domains) } } };
}

// Stands for a receiver with spare capacity among the shares of a sender.
constexpr double kSpare = -0.001;

std::set<std::string>
senders_of(const ServiceShares& shares)
{
  std::set<std::string> senders;
  for (const auto& [sender, row] : shares.leaving) {
    senders.insert(sender);
  }
  for (const auto& [sender, row] : shares.spare) {
    senders.insert(sender);
  }
  return senders;
}

// Failure domains are named once and referred to by their position, and a share is a number of
// thousandths.
json
to_fields(const DomainShares& message)
{
  json names = json::array();
  const auto position = [&names](const std::string& domain) {
    const auto found = std::find(names.begin(), names.end(), domain);
    const auto index = found - names.begin();
    if (found == names.end()) {
      names.push_back(domain);
    }
    return index;
  };
  json services = json::array();
  for (const ServiceShares& shares : message.services) {
    json domains = json::array();
    for (const std::string& domain : shares.domains) {
      domains.push_back(position(domain));
    }
    json rows = json::array();
    for (const std::string& sender : senders_of(shares)) {
      json fields = { position(sender) };
      const auto add = [&](const std::string& receiver, double share) {
        fields.push_back(position(receiver));
        fields.push_back(to_thousandths(share));
      };
      if (const auto row = shares.leaving.find(sender); row != shares.leaving.end()) {
        for (const auto& [receiver, share] : row->second) {
          add(receiver, share);
        }
      }
      if (const auto row = shares.spare.find(sender); row != shares.spare.end()) {
        for (const std::string& receiver : row->second) {
          add(receiver, kSpare);
        }
      }
      rows.push_back(std::move(fields));
    }
    services.push_back({ shares.service, std::move(domains), std::move(rows) });
  }
  return { { "t", "shares" },
           { "v", { message.term, message.age.count(), std::move(names), std::move(services) } } };
}

std::chrono::milliseconds
parse_milliseconds(const json& value)
{
  return std::chrono::milliseconds(value.get<std::int64_t>());
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
  if (reply.decided) {
    fields.at("result").get_to(reply.result);
  } else {
    fields.at("error").get_to(reply.error);
    fields.at("leader").get_to(reply.leader_address);
  }
  return reply;
}

JoinGroup
parse_join(const json& fields)
{
  JoinGroup join;
  fields.at("id").get_to(join.member.id);
  fields.at("host").get_to(join.member.host);
  fields.at("address").get_to(join.member.address);
  join.member.failure_domain = fields.value("domain", "");
  fields.at("empty").get_to(join.empty);
  fields.at("nonce").get_to(join.nonce);
  fields.at("heard").get_to(join.first_host_nonce);
  return join;
}

Entries
parse_entries(const json& fields)
{
  Entries entries;
  fields.at("first").get_to(entries.first_index);
  fields.at("confirmed").get_to(entries.confirmed);
  for (const json& payload : fields.at("payloads")) {
    entries.payloads.push_back(get_bytes(payload));
  }
  entries.entry_hosts = fields.value("entry_hosts", entries.entry_hosts);
  entries.source = fields.value("source", "");
  entries.answers = fields.value("answers", entries.answers);
  if (fields.contains("lag")) {
    entries.lag = parse_milliseconds(fields.at("lag"));
  }
  if (fields.contains("control")) {
    for (const json& control : fields.at("control")) {
      entries.control.push_back({ .address = control.at(0), .failure_domain = control.at(1) });
    }
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

PermitRequest
parse_permit_request(const json& values)
{
  PermitRequest request{ .id = values.at(0).get<std::uint64_t>() };
  request.query = { .service = values.at(1).get<std::string>(),
                    .max_wait = parse_milliseconds(values.at(2)) };
  for (const json& server : values.at(3)) {
    request.query.candidates.push_back({ .id = server.at(0).get<std::string>(),
                                         .incarnation = server.at(1).get<std::uint64_t>(),
                                         .limit = server.at(2).get<double>(),
                                         .age = parse_milliseconds(server.at(3)) });
  }
  return request;
}

CrashReports
parse_crash_reports(const json& values)
{
  CrashReports reports;
  for (const json& value : values) {
    CrashEvidence evidence{ .request = value.at(0).get<std::uint64_t>(),
                            .service = value.at(1).get<std::string>() };
    for (const json& crash : value.at(2)) {
      evidence.crashes.push_back({ .server = crash.at(0).get<std::uint64_t>(),
                                   .sent = parse_milliseconds(crash.at(1)),
                                   .crashed = parse_milliseconds(crash.at(2)) });
    }
    if (!value.at(3).is_null()) {
      evidence.cleared = parse_milliseconds(value.at(3));
    }
    reports.evidence.push_back(std::move(evidence));
  }
  return reports;
}

std::vector<AccountRequests>
parse_account_requests(const json& values)
{
  std::vector<AccountRequests> accounts;
  for (const json& value : values) {
    accounts.push_back({ .account = value.at(0).get<std::string>(),
                         .limit = { .rate = value.at(1).get<double>(),
                                    .burst = value.at(2).get<double>(),
                                    .version = value.at(3).get<std::uint64_t>() },
                         .used = value.at(4).get<unsigned>(),
                         .repeated = value.at(5).get<unsigned>(),
                         .wanted = value.at(6).get<unsigned>() });
  }
  return accounts;
}

AllowanceReply
parse_allowance_reply(const json& values)
{
  AllowanceReply reply{ .id = values.at(0).get<std::uint64_t>(),
                        .hosts = values.at(1).get<std::uint64_t>() };
  for (const json& item : values.at(2)) {
    reply.accounts.push_back({ .account = item.at(0).get<std::string>(),
                               .responsible = item.at(1).get<bool>(),
                               .answer = { .granted = item.at(2).get<unsigned>(),
                                           .over = item.at(3).get<bool>(),
                                           .wait = parse_milliseconds(item.at(4)),
                                           .retry = parse_milliseconds(item.at(5)),
                                           .restricted = item.at(6).get<bool>() } });
  }
  return reply;
}

PermitReply
parse_permit_reply(const json& values)
{
  return { .id = values.at(0).get<std::uint64_t>(),
           .answer = { .server = values.at(1).get<std::string>(),
                       .wait = parse_milliseconds(values.at(2)) } };
}

DomainServiceLoad
parse_load(const json& values)
{
  DomainServiceLoad load{ .hosts = values.at(1).get<double>(),
                          .listed = values.at(2).get<double>(),
                          .unusable = values.at(3).get<double>(),
                          .usable = values.at(4).get<double>(),
                          .busy = values.at(5).get<double>(),
                          .demand = parse_thousandths(values.at(6)),
                          .requests = parse_thousandths(values.at(7)),
                          .bytes = values.at(8).get<double>() };
  load.age = parse_milliseconds(values.at(9));
  for (const json& count : values.at(10)) {
    load.attempts[count.at(0).get<std::string>()] = { .attempts = parse_thousandths(count.at(1)),
                                                      .failed = parse_thousandths(count.at(2)) };
  }
  return load;
}

DomainLoad
parse_domain_load(const json& values)
{
  DomainLoad message{ .combined = values.at(0).get<bool>() };
  for (const json& domain : values.at(1)) {
    auto& services = message.loads[domain.at(0).get<std::string>()];
    for (const json& load : domain.at(1)) {
      services[load.at(0).get<std::string>()] = parse_load(load);
    }
  }
  return message;
}

DomainShares
parse_domain_shares(const json& values)
{
  DomainShares message{ .term = values.at(0).get<std::uint64_t>(),
                        .age = parse_milliseconds(values.at(1)) };
  const auto names = values.at(2).get<std::vector<std::string>>();
  const auto name = [&names](const json& position) {
    return names.at(position.get<std::size_t>());
  };
  for (const json& service : values.at(3)) {
    ServiceShares shares{ .service = service.at(0).get<std::string>() };
    for (const json& domain : service.at(1)) {
      shares.domains.push_back(name(domain));
    }
    for (const json& row : service.at(2)) {
      const std::string sender = name(row.at(0));
      for (std::size_t i = 1; i < row.size(); i += 2) {
        const double share = parse_thousandths(row.at(i + 1));
        if (share > 0) {
          shares.leaving[sender][name(row.at(i))] = share;
        } else if (share < 0) {
          shares.spare[sender].insert(name(row.at(i)));
        }
      }
    }
    message.services.push_back(std::move(shares));
  }
  return message;
}

ClusterMessage
parse_message(const json& fields)
{
  const auto type = fields.at("t").get<std::string>();
  if (type == "propose") {
    return Propose{ .client = fields.at("client").get<std::uint64_t>(),
                    .id = fields.at("id").get<std::uint64_t>(),
                    .lowest_pending = fields.at("lowest").get<std::uint64_t>(),
                    .command = get_bytes(fields.at("command")) };
  }
  if (type == "propose_reply") {
    return parse_reply(fields);
  }
  if (type == "subscribe") {
    Subscribe subscribe{ .from_index = fields.at("from").get<std::uint64_t>(),
                         .confirm = fields.at("confirm").get<bool>(),
                         .snapshot_index = fields.at("snapshot").get<std::uint64_t>(),
                         .snapshot_offset = fields.at("offset").get<std::uint64_t>() };
    subscribe.accepts_source = fields.value("accepts_source", false);
    subscribe.request = fields.value("request", subscribe.request);
    if (fields.contains("entry")) {
      subscribe.presence = parse_presence(fields.at("entry"));
      subscribe.directory_version = fields.value("directory", std::uint64_t{ 0 });
    }
    return subscribe;
  }
  if (type == "entries") {
    return parse_entries(fields);
  }
  if (type == "source_query") {
    return SourceQuery{ .request = fields.at("request").get<std::uint64_t>() };
  }
  if (type == "source_status") {
    const json& values = fields.at("v");
    return SourceStatus{ .answers = values.at(0).get<std::uint64_t>(),
                         .applied_index = values.at(1).get<std::uint64_t>(),
                         .lag = parse_milliseconds(values.at(2)) };
  }
  if (type == "snapshot") {
    return SnapshotTransfer{ .index = fields.at("index").get<std::uint64_t>(),
                             .offset = fields.at("offset").get<std::uint64_t>(),
                             .total = fields.at("total").get<std::uint64_t>(),
                             .state = get_bytes(fields.at("state")) };
  }
  if (type == "join") {
    return parse_join(fields);
  }
  if (type == "contacts") {
    return GroupContacts{ .leader = fields.at("leader").get<std::string>(),
                          .members = fields.at("members").get<std::vector<std::string>>() };
  }
  if (type == "consensus") {
    return decode_envelope(get_bytes(fields.at("envelope")));
  }
  if (type == "renewal") {
    return ServerRenewal{ .service = fields.at("service").get<std::string>(),
                          .id = fields.at("id").get<std::string>(),
                          .incarnation = fields.at("incarnation").get<std::uint64_t>() };
  }
  if (type == "renewals") {
    ServerRenewals message;
    for (const json& renewal : fields.at("v")) {
      message.renewals.push_back({ .service = renewal.at(0).get<std::string>(),
                                   .id = renewal.at(1).get<std::string>(),
                                   .incarnation = renewal.at(2).get<std::uint64_t>() });
    }
    return message;
  }
  if (type == "entry_addresses") {
    EntryAddresses message{ .version = fields.at("version").get<std::uint64_t>() };
    fields.at("domains").get_to(message.by_domain);
    return message;
  }
  if (type == "entry_hosts") {
    EntryHosts message;
    for (const json& reported : fields.at("hosts")) {
      message.hosts.push_back(
        { .presence = parse_presence(reported.at(0)),
          .age = std::chrono::milliseconds(reported.at(1).get<std::int64_t>()) });
    }
    return message;
  }
  if (type == "permit") {
    return parse_permit_request(fields.at("v"));
  }
  if (type == "permit_reply") {
    return parse_permit_reply(fields.at("v"));
  }
  if (type == "aq") {
    const json& values = fields.at("v");
    return AllowanceQuery{ .id = values.at(0).get<std::uint64_t>(),
                           .accounts = parse_account_requests(values.at(1)) };
  }
  if (type == "ar") {
    return parse_allowance_reply(fields.at("v"));
  }
  if (type == "au") {
    return AllowanceUse{ .accounts = parse_account_requests(fields.at("v")) };
  }
  if (type == "restricted") {
    return RestrictedAccounts{ .accounts = fields.at("v").get<std::vector<std::string>>() };
  }
  if (type == "crashes") {
    return parse_crash_reports(fields.at("v"));
  }
  if (type == "load") {
    return parse_domain_load(fields.at("v"));
  }
  if (type == "shares") {
    return parse_domain_shares(fields.at("v"));
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

std::uint64_t
version_of(const EntryAddresses& addresses)
{
  const std::string text =
    json(addresses.by_domain).dump(-1, ' ', false, json::error_handler_t::replace);
  return XXH64(text.data(), text.size(), 1);
}

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

Result<StampedMessage>
decode_stamped_message(const Bytes& bytes)
{
  try {
    const json fields = json::from_cbor(bytes);
    StampedMessage stamped{ .time = {}, .message = parse_message(fields) };
    if (fields.contains("h")) {
      fields.at("h").at(0).get_to(stamped.time.millis);
      fields.at("h").at(1).get_to(stamped.time.counter);
    }
    return stamped;
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a cluster message: ") + exception.what(),
                  .remedy = "check that all hosts run compatible versions" };
  }
}

Result<ClusterMessage>
decode_message(const Bytes& bytes)
{
  Result<StampedMessage> stamped = decode_stamped_message(bytes);
  if (stamped.has_error()) {
    return stamped.error();
  }
  return std::move(stamped.value().message);
}

} // namespace lovagehold
