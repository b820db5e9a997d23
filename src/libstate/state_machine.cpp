#include "lovagehold/state_machine.h"

#include "json_fields.h"
#include "lovagehold/config_parser.h"

#include <algorithm>

namespace lovagehold {

namespace {

using nlohmann::json;

using KeyId = std::pair<ServiceName, std::string>;

struct ClaimEntry
{
  Digest digest{};
  std::string attempt;
  HostId holder;
  bool holder_gone = false;
  bool done = false;
  StoredAnswer answer;
  WallTime expires{};
};

// A host that left. Kept so that late proposals of its incarnation are refused.
struct DepartedEntry
{
  std::uint64_t incarnation = 0;
  bool released = false;
  std::vector<HostId> rivals;
};

void
to_json(json& fields, const DepartedEntry& entry)
{
  fields = { entry.incarnation, entry.released, entry.rivals };
}

void
from_json(const json& fields, DepartedEntry& entry)
{
  fields.at(0).get_to(entry.incarnation);
  fields.at(1).get_to(entry.released);
  fields.at(2).get_to(entry.rivals);
}

ApplyResult
accept()
{
  ApplyResult result;
  result.accepted = true;
  return result;
}

ApplyResult
reject(Error error)
{
  ApplyResult result;
  result.error = std::move(error);
  return result;
}

std::vector<DeclarationFile>
to_files(const std::map<std::uint64_t, ChangeRecord>& changes)
{
  std::vector<DeclarationFile> files;
  files.reserve(changes.size());
  for (const auto& [number, change] : changes) {
    files.push_back({ change.file_name, change.content });
  }
  std::sort(
    files.begin(), files.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  return files;
}

} // namespace

struct StateMachine::Impl
{
  StateMachineOptions options;
  std::uint64_t applied = 0;
  std::uint64_t view = 0;
  std::uint64_t routes_index = 0;
  std::map<std::uint64_t, ChangeRecord> changes;
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  std::map<ServiceName, std::map<ServerId, ServerInfo>> servers;
  std::map<HostId, HostInfo> hosts;
  std::map<HostId, std::uint64_t> joined_views;
  std::map<HostId, DepartedEntry> departed;
  std::map<KeyId, ClaimEntry> claims;

  ApplyResult conflict(const ChangeRecord& winner) const
  {
    ApplyResult result = reject(
      { .kind = ErrorKind::Conflict,
        .message = "number " + std::to_string(winner.number) + " is taken by " + winner.file_name,
        .remedy = "rename the file to number " + std::to_string(changes.rbegin()->first + 1) });
    result.revision = winner.revision;
    result.winner_file = winner.file_name;
    result.next_free_number = changes.rbegin()->first + 1;
    return result;
  }

  ApplyResult apply_one(const SubmitChange& change)
  {
    const auto taken = changes.find(change.number);
    if (taken != changes.end()) {
      const ChangeRecord& winner = taken->second;
      if (winner.file_name != change.file_name || winner.content != change.content) {
        return conflict(winner);
      }
      ApplyResult again = accept();
      again.revision = winner.revision;
      return again;
    }
    std::map<std::uint64_t, ChangeRecord> next = changes;
    next[change.number] = { .number = change.number,
                            .revision = applied,
                            .file_name = change.file_name,
                            .content = change.content };
    MergeOutcome merged = merge_declarations(to_files(next));
    if (!merged.mistakes.empty()) {
      return reject({ .kind = ErrorKind::InvalidArgument,
                      .message = to_string(merged.mistakes.front()),
                      .remedy = "run lovagehold --check on the folder" });
    }
    merged.configuration.revision = applied;
    configuration = std::make_shared<Configuration>(std::move(merged.configuration));
    changes = std::move(next);
    routes_index = applied;
    ApplyResult result = accept();
    result.revision = applied;
    return result;
  }

  ApplyResult apply_one(const ClaimKey& claim)
  {
    ApplyResult result = accept();
    const auto found = claims.find({ claim.service, claim.key });
    if (found == claims.end()) {
      if (claims.size() >= options.claim_capacity) {
        result.claim = ClaimStatus::StoreFull;
        return result;
      }
      ClaimEntry entry{ .digest = claim.body_digest,
                        .attempt = claim.attempt,
                        .holder = claim.holder };
      entry.expires = claim.now + claim.keep;
      claims[{ claim.service, claim.key }] = std::move(entry);
      result.claim = ClaimStatus::Granted;
      return result;
    }
    const ClaimEntry& entry = found->second;
    if (entry.digest != claim.body_digest) {
      result.claim = ClaimStatus::DigestDiffers;
    } else if (entry.done) {
      result.claim = ClaimStatus::Done;
      result.answer = entry.answer;
    } else if (entry.attempt == claim.attempt) {
      result.claim = ClaimStatus::Granted;
    } else {
      result.claim = entry.holder_gone ? ClaimStatus::Unknown : ClaimStatus::InProgress;
    }
    return result;
  }

  ApplyResult apply_one(const RecordOutcome& record)
  {
    const auto found = claims.find({ record.service, record.key });
    if (found == claims.end() || found->second.attempt != record.attempt || found->second.done) {
      return reject({ .kind = ErrorKind::Conflict,
                      .message = "attempt " + record.attempt + " does not hold key " + record.key,
                      .remedy = "ask for the status of the key" });
    }
    if (record.outcome == OutcomeKind::NotRun) {
      claims.erase(found);
      return accept();
    }
    found->second.done = true;
    found->second.answer = record.answer;
    return accept();
  }

  ApplyResult apply_one(const JoinServer& join)
  {
    ServerInfo& entry = servers[join.server.service][join.server.id];
    if (entry.incarnation > join.server.incarnation) {
      return reject({ .kind = ErrorKind::Conflict,
                      .message = "a newer incarnation of server " + join.server.id + " has joined",
                      .remedy = "announce with a larger incarnation" });
    }
    entry = join.server;
    routes_index = applied;
    return accept();
  }

  ApplyResult apply_one(const LeaveServer& leave)
  {
    auto& of_service = servers[leave.service];
    const auto found = of_service.find(leave.id);
    if (found != of_service.end() && found->second.incarnation <= leave.incarnation) {
      of_service.erase(found);
      routes_index = applied;
    }
    return accept();
  }

  ApplyResult apply_one(const JoinHost& join)
  {
    const auto present = hosts.find(join.host.id);
    if (present != hosts.end() && present->second == join.host) {
      return accept();
    }
    const auto left = departed.find(join.host.id);
    // A proposal of an ended session that arrives late must not count as the host's return.
    const bool stale =
      (present != hosts.end() && present->second.incarnation >= join.host.incarnation) ||
      (left != departed.end() && left->second.incarnation >= join.host.incarnation);
    if (stale) {
      return reject({ .kind = ErrorKind::Conflict,
                      .message = "this incarnation of host " + join.host.id + " has ended",
                      .remedy = "join with a larger incarnation" });
    }
    mark_holder_gone(join.host.id);
    hosts[join.host.id] = join.host;
    joined_views[join.host.id] = applied;
    departed.erase(join.host.id);
    view = routes_index = applied;
    return accept();
  }

  ApplyResult apply_one(const LeaveHost& leave)
  {
    const auto left = departed.find(leave.id);
    if (left != departed.end() && left->second.incarnation == leave.incarnation) {
      if (leave.released && !left->second.released) {
        left->second.released = true;
        left->second.rivals.clear();
        view = routes_index = applied;
      }
      return accept();
    }
    const auto found = hosts.find(leave.id);
    if (found == hosts.end() || found->second.incarnation > leave.incarnation) {
      return accept();
    }
    DepartedEntry entry{ .incarnation = found->second.incarnation, .released = leave.released };
    const std::uint64_t known = std::max(leave.acknowledged, joined_views[leave.id]);
    hosts.erase(found);
    joined_views.erase(leave.id);
    if (!leave.released) {
      for (const auto& [id, joined] : joined_views) {
        if (joined <= known && !hosts.at(id).caller_address.empty()) {
          entry.rivals.push_back(id);
        }
      }
    }
    departed[leave.id] = std::move(entry);
    mark_holder_gone(leave.id);
    view = routes_index = applied;
    return accept();
  }

  ApplyResult apply_one(const ExpireOutcomes& expire)
  {
    for (auto entry = claims.begin(); entry != claims.end();) {
      const bool ended = entry->second.done || entry->second.holder_gone;
      entry = ended && entry->second.expires <= expire.now ? claims.erase(entry) : std::next(entry);
    }
    return accept();
  }

  void mark_holder_gone(const HostId& host)
  {
    for (auto& [key, entry] : claims) {
      entry.holder_gone = entry.holder_gone || (!entry.done && entry.holder == host);
    }
  }
};

StateMachine::StateMachine(StateMachineOptions options)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = options;
}

StateMachine::~StateMachine() = default;
StateMachine::StateMachine(StateMachine&&) noexcept = default;
StateMachine& StateMachine::operator=(StateMachine&&) noexcept = default;

ApplyResult
StateMachine::apply(std::uint64_t index, const Command& command)
{
  if (index <= m_impl->applied) {
    return {};
  }
  m_impl->applied = index;
  return std::visit([this](const auto& typed) { return m_impl->apply_one(typed); }, command);
}

std::uint64_t
StateMachine::applied_index() const
{
  return m_impl->applied;
}

std::shared_ptr<const Configuration>
StateMachine::configuration() const
{
  return m_impl->configuration;
}

std::vector<ChangeRecord>
StateMachine::changes() const
{
  std::vector<ChangeRecord> records;
  for (const auto& [number, change] : m_impl->changes) {
    records.push_back(change);
  }
  return records;
}

std::vector<ServerInfo>
StateMachine::servers(const ServiceName& service) const
{
  std::vector<ServerInfo> found;
  const auto of_service = m_impl->servers.find(service);
  if (of_service != m_impl->servers.end()) {
    for (const auto& [id, server] : of_service->second) {
      found.push_back(server);
    }
  }
  return found;
}

std::vector<ServerInfo>
StateMachine::all_servers() const
{
  std::vector<ServerInfo> all;
  for (const auto& [service, of_service] : m_impl->servers) {
    for (const auto& [id, server] : of_service) {
      all.push_back(server);
    }
  }
  return all;
}

std::vector<HostInfo>
StateMachine::hosts() const
{
  std::vector<HostInfo> live;
  for (const auto& [id, host] : m_impl->hosts) {
    live.push_back(host);
  }
  return live;
}

std::optional<KeyStatus>
StateMachine::key_status(const ServiceName& service, const std::string& key) const
{
  const auto found = m_impl->claims.find({ service, key });
  if (found == m_impl->claims.end()) {
    return std::nullopt;
  }
  KeyStatus status{ .status = ClaimStatus::InProgress, .attempt = found->second.attempt };
  if (found->second.done) {
    status.status = ClaimStatus::Done;
    status.answer = found->second.answer;
  } else if (found->second.holder_gone) {
    status.status = ClaimStatus::Unknown;
  }
  return status;
}

std::uint64_t
StateMachine::view() const
{
  return m_impl->view;
}

bool
StateMachine::left_released(const HostId& id) const
{
  const auto found = m_impl->departed.find(id);
  return found != m_impl->departed.end() && found->second.released;
}

std::uint64_t
StateMachine::routes_index() const
{
  return m_impl->routes_index;
}

Membership
StateMachine::membership() const
{
  Membership membership{ .view = m_impl->view };
  for (const auto& [id, host] : m_impl->hosts) {
    membership.members.push_back({ host, m_impl->joined_views.at(id) });
  }
  for (const auto& [id, entry] : m_impl->departed) {
    if (!entry.released) {
      membership.unreleased.push_back({ id, entry.incarnation, entry.rivals });
    }
  }
  return membership;
}

Bytes
StateMachine::snapshot() const
{
  json changes = json::array();
  for (const auto& [number, change] : m_impl->changes) {
    changes.push_back({ number, change.revision, change.file_name, change.content });
  }
  json claims = json::array();
  for (const auto& [key, entry] : m_impl->claims) {
    const Bytes digest(entry.digest.begin(), entry.digest.end());
    claims.push_back({ key.first,
                       key.second,
                       json::binary(digest),
                       entry.attempt,
                       entry.holder,
                       entry.holder_gone,
                       entry.done,
                       entry.answer,
                       entry.expires.time_since_epoch().count() });
  }
  const json whole = { { "applied", m_impl->applied },
                       { "view", m_impl->view },
                       { "changes", changes },
                       { "servers", all_servers() },
                       { "hosts", hosts() },
                       { "joined", m_impl->joined_views },
                       { "departed", m_impl->departed },
                       { "claims", std::move(claims) } };
  return json::to_cbor(whole);
}

Result<void>
StateMachine::restore(const Bytes& snapshot)
{
  auto next = std::make_unique<Impl>();
  next->options = m_impl->options;
  try {
    const json whole = json::from_cbor(snapshot);
    whole.at("applied").get_to(next->applied);
    whole.at("view").get_to(next->view);
    next->routes_index = next->applied;
    std::uint64_t revision = 0;
    for (const json& change : whole.at("changes")) {
      ChangeRecord record{ .number = change.at(0), .revision = change.at(1) };
      change.at(2).get_to(record.file_name);
      change.at(3).get_to(record.content);
      revision = std::max(revision, record.revision);
      next->changes[record.number] = record;
    }
    MergeOutcome merged = merge_declarations(to_files(next->changes));
    merged.configuration.revision = revision;
    next->configuration = std::make_shared<Configuration>(std::move(merged.configuration));
    for (const auto& server : whole.at("servers").get<std::vector<ServerInfo>>()) {
      next->servers[server.service][server.id] = server;
    }
    for (const auto& host : whole.at("hosts").get<std::vector<HostInfo>>()) {
      next->hosts[host.id] = host;
    }
    whole.at("joined").get_to(next->joined_views);
    whole.at("departed").get_to(next->departed);
    for (const json& claim : whole.at("claims")) {
      ClaimEntry entry;
      const auto& digest = claim.at(2).get_binary();
      std::copy_n(
        digest.begin(), std::min(digest.size(), entry.digest.size()), entry.digest.begin());
      claim.at(3).get_to(entry.attempt);
      claim.at(4).get_to(entry.holder);
      claim.at(5).get_to(entry.holder_gone);
      claim.at(6).get_to(entry.done);
      claim.at(7).get_to(entry.answer);
      entry.expires = WallTime(std::chrono::milliseconds(claim.at(8).get<std::int64_t>()));
      next->claims[{ claim.at(0).get<std::string>(), claim.at(1).get<std::string>() }] = entry;
    }
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a snapshot: ") + exception.what(),
                  .remedy = "fetch the snapshot again" };
  }
  m_impl = std::move(next);
  return boost::outcome_v2::success();
}

} // namespace lovagehold
