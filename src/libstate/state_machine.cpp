#include "lovagehold/state_machine.h"

#include "apply_results.h"
#include "claim_store.h"
#include "config_store.h"
#include "directory.h"
#include "document_codec.h"

#include <algorithm>

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr int kSnapshotVersion = 2;

// Limits on the routing changes kept for hosts that are behind; those need the whole document then.
constexpr std::size_t kKeptRoutingChanges = 256;
constexpr std::size_t kKeptChangedRoutes = 4096;

// The routing configuration: the operator's document and the latest changes of its content.
class RoutingState
{
public:
  RoutingState() = default;
  RoutingState(std::uint64_t version, std::string document)
    : m_version(version)
    , m_document(std::move(document))
  {
  }

  std::uint64_t version() const { return m_version; }
  std::string document() const { return m_document.text(); }

  std::optional<RoutingChanges> changes_since(std::uint64_t version) const
  {
    const auto first = std::find_if(m_changes.begin(), m_changes.end(), [&](const auto& change) {
      return change->base_version == version;
    });
    if (first == m_changes.end() && version != m_version) {
      return std::nullopt;
    }
    return RoutingChanges(first, m_changes.end());
  }

  ApplyResult apply(const ChangeRouting& command)
  {
    const RoutingChange& change = command.change;
    if (change.version <= m_version) {
      return accept();
    }
    if (change.base_version != m_version || !m_document.fits(command.document)) {
      return reject({ .kind = ErrorKind::Conflict,
                      .message = "routing configuration " + std::to_string(change.version) +
                                 " is based on " + std::to_string(change.base_version) +
                                 ", but version " + std::to_string(m_version) + " is in force",
                      .remedy = "send the whole configuration" });
    }
    m_document.apply(command.document);
    m_version = change.version;
    m_changes.push_back(std::make_shared<const RoutingChange>(change));
    m_changed_routes += change.size();
    while (m_changes.size() > kKeptRoutingChanges || m_changed_routes > kKeptChangedRoutes) {
      m_changed_routes -= m_changes.front()->size();
      m_changes.pop_front();
    }
    return accept();
  }

private:
  std::uint64_t m_version = 0;
  PatchedDocument m_document;
  std::deque<std::shared_ptr<const RoutingChange>> m_changes;
  /// Sum of the sizes of m_changes.
  std::size_t m_changed_routes = 0;
};

} // namespace

struct StateMachine::Impl
{
  explicit Impl(const StateMachineOptions& limits)
    : options(limits)
    , config(limits)
    , claims(limits)
    , directory(limits)
  {
  }

  StateMachineOptions options;
  std::uint64_t applied = 0;
  std::uint64_t routes_index = 0;
  ConfigStore config;
  ClaimStore claims;
  Directory directory;
  RoutingState routing;
  Evacuations evacuations;

  // Claims and outcomes don't affect where requests are sent.
  static bool changes_routes(const Command& command)
  {
    return !std::holds_alternative<ClaimKey>(command) &&
           !std::holds_alternative<RecordOutcome>(command) &&
           !std::holds_alternative<ExpireOutcomes>(command);
  }

  ApplyResult apply_one(const SubmitChange& change) { return config.submit(change, applied); }

  ApplyResult apply_one(const ClaimKey& claim)
  {
    // A claim may be proposed before its holder leaves and be committed afterwards. It would stay
    // open forever, because the claims of the holder have already been ended.
    if (!directory.may_claim(claim.holder, claim.holder_incarnation)) {
      ApplyResult result =
        reject({ .kind = ErrorKind::Conflict,
                 .message = "host " + claim.holder + " has left and can't claim keys",
                 .remedy = "send the request again; another host serves it" });
      result.claim = ClaimStatus::StoreFull;
      return result;
    }
    return claims.claim(claim);
  }

  ApplyResult apply_one(const RecordOutcome& record) { return claims.record(record); }

  ApplyResult apply_one(const JoinServer& join) { return directory.join(join.server, applied); }

  ApplyResult apply_one(const LeaveServer& leave) { return directory.leave(leave, applied); }

  // A version that is not higher is accepted as well but has no effect, so that an operator who
  // lost the result of a change and sends it again gets the same result.
  ApplyResult apply_one(const ReplaceRouting& replace)
  {
    if (replace.version > routing.version()) {
      routing = RoutingState(replace.version, replace.document);
    }
    return accept();
  }

  ApplyResult apply_one(const ChangeRouting& change) { return routing.apply(change); }

  ApplyResult apply_one(const EvacuateDomain& order)
  {
    ApplyResult result = accept();
    if (order.active) {
      result.revision = evacuations.try_emplace(order.failure_domain, applied).first->second;
    } else {
      evacuations.erase(order.failure_domain);
      result.revision = applied;
    }
    return result;
  }

  ApplyResult apply_one(const JoinHost& join)
  {
    bool new_incarnation = false;
    ApplyResult result = directory.join(join.host, applied, new_incarnation);
    if (new_incarnation) {
      claims.end_claims_of(join.host.id);
    }
    return result;
  }

  ApplyResult apply_one(const LeaveHost& leave)
  {
    bool has_left = false;
    ApplyResult result = directory.leave(leave, applied, has_left);
    if (has_left) {
      claims.end_claims_of(leave.id);
    }
    return result;
  }

  ApplyResult apply_one(const ExpireOutcomes& expire)
  {
    claims.expire(expire.now);
    return accept();
  }
};

StateMachine::StateMachine(StateMachineOptions options)
  : m_impl(std::make_unique<Impl>(options))
{
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
  ApplyResult result =
    std::visit([this](const auto& typed) { return m_impl->apply_one(typed); }, command);
  if (result.accepted && Impl::changes_routes(command)) {
    m_impl->routes_index = index;
  }
  return result;
}

void
StateMachine::skip(std::uint64_t index)
{
  m_impl->applied = std::max(m_impl->applied, index);
}

std::uint64_t
StateMachine::applied_index() const
{
  return m_impl->applied;
}

std::shared_ptr<const Configuration>
StateMachine::configuration() const
{
  return m_impl->config.configuration();
}

std::uint64_t
StateMachine::routing_version() const
{
  return m_impl->routing.version();
}

std::string
StateMachine::routing_document() const
{
  return m_impl->routing.document();
}

std::optional<RoutingChanges>
StateMachine::routing_changes_since(std::uint64_t version) const
{
  return m_impl->routing.changes_since(version);
}

const Evacuations&
StateMachine::evacuations() const
{
  return m_impl->evacuations;
}

std::vector<FoldedChange>
StateMachine::folded_changes() const
{
  std::vector<FoldedChange> changes;
  changes.reserve(m_impl->config.folded().size());
  for (const auto& [number, change] : m_impl->config.folded()) {
    changes.push_back(change);
  }
  return changes;
}

const Origins&
StateMachine::origins() const
{
  return m_impl->config.origins();
}

std::optional<std::uint64_t>
StateMachine::folded_through() const
{
  return m_impl->config.folded_through();
}

std::uint64_t
StateMachine::next_free_number() const
{
  return m_impl->config.next_free_number();
}

std::vector<ChangeRecord>
StateMachine::changes() const
{
  return m_impl->config.changes();
}

std::vector<ServerInfo>
StateMachine::servers(const ServiceName& service) const
{
  return m_impl->directory.servers(service);
}

std::vector<ServerInfo>
StateMachine::all_servers() const
{
  return m_impl->directory.all_servers();
}

std::optional<std::set<ServiceName>>
StateMachine::services_changed_since(std::uint64_t index) const
{
  return m_impl->directory.changed_since(index);
}

std::uint64_t
StateMachine::servers_index() const
{
  return m_impl->directory.servers_index();
}

bool
StateMachine::has_left(const ServiceName& service,
                       const ServerId& id,
                       std::uint64_t incarnation) const
{
  return m_impl->directory.has_left(service, id, incarnation);
}

std::vector<HostInfo>
StateMachine::hosts() const
{
  return m_impl->directory.hosts();
}

std::optional<KeyStatus>
StateMachine::key_status(const ServiceName& service, const std::string& key) const
{
  return m_impl->claims.status(service, key);
}

ClaimUsage
StateMachine::claim_usage() const
{
  return m_impl->claims.usage();
}

std::uint64_t
StateMachine::view() const
{
  return m_impl->directory.view();
}

std::uint64_t
StateMachine::routes_index() const
{
  return m_impl->routes_index;
}

MembershipView
StateMachine::membership() const
{
  return m_impl->directory.membership();
}

Bytes
StateMachine::snapshot() const
{
  json fields = { { "version", kSnapshotVersion },
                  { "applied", m_impl->applied },
                  { "config", m_impl->config.snapshot() },
                  { "claims", m_impl->claims.snapshot() },
                  { "directory", m_impl->directory.snapshot() },
                  { "routing",
                    { m_impl->routing.version(),
                      json::binary(pack_document(m_impl->routing.document())) } } };
  if (!m_impl->evacuations.empty()) {
    fields["evacuations"] = m_impl->evacuations;
  }
  return json::to_cbor(fields);
}

Result<void>
StateMachine::restore(const Bytes& snapshot)
{
  auto next = std::make_unique<Impl>(m_impl->options);
  try {
    const json fields = json::from_cbor(snapshot);
    if (fields.at("version").get<int>() != kSnapshotVersion) {
      throw std::invalid_argument("its version is not " + std::to_string(kSnapshotVersion));
    }
    fields.at("applied").get_to(next->applied);
    next->routes_index = next->applied;
    next->config.restore(fields.at("config"));
    next->claims.restore(fields.at("claims"));
    next->directory.restore(fields.at("directory"), next->applied);
    if (fields.contains("routing")) {
      next->routing = RoutingState(fields.at("routing").at(0).get<std::uint64_t>(),
                                   unpack_document(fields.at("routing").at(1).get_binary()));
    }
    if (fields.contains("evacuations")) {
      fields.at("evacuations").get_to(next->evacuations);
    }
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a snapshot: ") + exception.what(),
                  .remedy = "fetch the snapshot again; all hosts must run compatible versions" };
  }
  m_impl = std::move(next);
  return boost::outcome_v2::success();
}

} // namespace lovagehold
