#include "state_oracle.h"

#include "lovagehold/config_parser.h"

namespace lovagehold::testing_oracle {

namespace {

ApplyResult
refused(ErrorKind kind)
{
  ApplyResult result;
  result.error = Error{ .kind = kind };
  return result;
}

ApplyResult
accepted()
{
  ApplyResult result;
  result.accepted = true;
  return result;
}

} // namespace

ApplyResult
Oracle::apply(std::uint64_t index, const Command& command)
{
  m_index = index;
  return std::visit([this](const auto& typed) { return apply_one(typed); }, command);
}

ApplyResult
Oracle::apply_one(const ReplaceRouting& replace)
{
  if (replace.version > m_routing.version) {
    m_routing = replace;
  }
  return accepted();
}

ApplyResult
Oracle::apply_one(const ChangeRouting& change)
{
  if (change.change.version <= m_routing.version) {
    return accepted();
  }
  if (change.change.base_version != m_routing.version) {
    return {};
  }
  PatchedDocument document(m_routing.document);
  document.apply(change.document);
  m_routing = { .version = change.change.version, .document = document.text() };
  return accepted();
}

ApplyResult
Oracle::apply_one(const EvacuateDomain& order)
{
  ApplyResult result = accepted();
  result.revision = m_index;
  if (!order.active) {
    evacuations[order.failure_domain] = 0;
  } else if (std::uint64_t& index = evacuations[order.failure_domain]; index == 0) {
    index = m_index;
  } else {
    result.revision = index;
  }
  return result;
}

Configuration
Oracle::configuration() const
{
  std::vector<DeclarationFile> files;
  for (const auto& [number, change] : m_changes) {
    files.push_back({ change.file_name, change.content });
  }
  Configuration merged = merge_declarations(files).configuration;
  merged.revision = m_revision;
  return merged;
}

ApplyResult
Oracle::apply_one(const SubmitChange& change)
{
  const auto used = m_changes.find(change.number);
  const bool known = used != m_changes.end() &&
                     (m_recent.count(change.number) + m_remembered.count(change.number)) != 0;
  if (known && used->second.file_name == change.file_name &&
      used->second.content == change.content) {
    ApplyResult repeated = accepted();
    repeated.revision = used->second.revision;
    return repeated;
  }
  if (known || change.number <= m_folded_through) {
    ApplyResult conflict = refused(ErrorKind::Conflict);
    conflict.next_free_number = m_changes.rbegin()->first + 1;
    conflict.winner_file = known ? used->second.file_name : "";
    conflict.revision = known ? used->second.revision : 0;
    return conflict;
  }
  m_changes[change.number] = { change.file_name, change.content, m_index };
  std::vector<DeclarationFile> recent{ { change.file_name, change.content } };
  for (const std::uint64_t number : m_recent) {
    recent.push_back({ m_changes[number].file_name, m_changes[number].content });
  }
  if (!merge_declarations(recent).mistakes.empty()) {
    m_changes.erase(change.number);
    return refused(ErrorKind::InvalidArgument);
  }
  m_revision = m_index;
  m_recent.insert(change.number);
  if (m_recent.size() > kSmallLimits.history_count) {
    m_folded_through = *m_recent.begin();
    m_remembered.insert(m_folded_through);
    m_recent.erase(m_recent.begin());
  }
  if (m_remembered.size() > kSmallLimits.folded_count) {
    m_remembered.erase(m_remembered.begin());
  }
  ApplyResult result = accepted();
  result.revision = m_index;
  return result;
}

ApplyResult
Oracle::apply_one(const ClaimKey& claim)
{
  ApplyResult result = accepted();
  const auto host = hosts.find(claim.holder);
  if (host != hosts.end() ? claim.holder_incarnation < host->second
                          : m_left_hosts.count(claim.holder) != 0) {
    result = refused(ErrorKind::Conflict);
    result.claim = ClaimStatus::StoreFull;
    return result;
  }
  const auto found = m_claims.find(claim.key);
  if (found == m_claims.end()) {
    std::size_t open = 0;
    for (const auto& [key, entry] : m_claims) {
      open += entry.status == ClaimStatus::InProgress ? 1 : 0;
    }
    // Only two open claims fit into max_claim_bytes: each reserves room for the largest response,
    // and the names count as well. The stored responses of the test are too short to matter.
    if (m_claims.size() >= kSmallLimits.claim_capacity || open >= 2) {
      result.claim = ClaimStatus::StoreFull;
      return result;
    }
    m_claims[claim.key] = { .digest = claim.body_digest,
                            .attempt = claim.attempt,
                            .holder = claim.holder,
                            .expires = claim.now + claim.retention };
    result.claim = ClaimStatus::Granted;
  } else if (found->second.digest != claim.body_digest) {
    result.claim = ClaimStatus::DigestDiffers;
  } else if (found->second.status == ClaimStatus::InProgress &&
             found->second.attempt == claim.attempt) {
    result.claim = ClaimStatus::Granted;
  } else {
    result.claim = found->second.status;
    if (result.claim == ClaimStatus::Done) {
      result.stored_response = found->second.stored_response;
    }
  }
  return result;
}

ApplyResult
Oracle::apply_one(const RecordOutcome& record)
{
  const auto found = m_claims.find(record.key);
  if (found == m_claims.end()) {
    return refused(ErrorKind::NotFound);
  }
  Claim& claim = found->second;
  const bool holds = claim.attempt == record.attempt;
  if (holds && claim.status == ClaimStatus::Done && record.outcome == OutcomeKind::Done &&
      claim.stored_response.status == record.stored_response.status) {
    return accepted();
  }
  if (!holds || claim.status != ClaimStatus::InProgress) {
    return refused(ErrorKind::Conflict);
  }
  if (record.outcome == OutcomeKind::NotRun) {
    m_claims.erase(found);
  } else {
    const bool done = record.outcome == OutcomeKind::Done;
    claim.status = done ? ClaimStatus::Done : ClaimStatus::Unknown;
    claim.stored_response = record.stored_response;
  }
  return accepted();
}

ApplyResult
Oracle::apply_one(const JoinServer& join)
{
  const ServerId& id = join.server.id;
  const auto departure = m_left_servers.find(id);
  const bool outdated = departure != m_left_servers.end() && join.server.incarnation != 0 &&
                        join.server.incarnation <= departure->second;
  if (outdated || (servers.count(id) != 0 && servers[id] > join.server.incarnation)) {
    return refused(ErrorKind::Conflict);
  }
  servers[id] = join.server.incarnation;
  return accepted();
}

ApplyResult
Oracle::apply_one(const LeaveServer& leave)
{
  const auto found = servers.find(leave.id);
  auto& left_incarnation = m_left_servers[leave.id];
  if (found != servers.end() && found->second <= leave.incarnation) {
    left_incarnation = std::max(left_incarnation, found->second);
    servers.erase(found);
  }
  if (leave.incarnation != std::numeric_limits<std::uint64_t>::max()) {
    left_incarnation = std::max(left_incarnation, leave.incarnation);
  }
  return accepted();
}

ApplyResult
Oracle::apply_one(const JoinHost& join)
{
  const HostInfo& host = join.host;
  const bool joined = hosts.count(host.id) != 0;
  if ((joined && hosts[host.id] > host.incarnation) ||
      (m_left_hosts.count(host.id) != 0 && m_left_hosts[host.id] >= host.incarnation)) {
    return refused(ErrorKind::Conflict);
  }
  if (!joined || hosts[host.id] < host.incarnation) {
    end_claims_of(host.id);
  }
  hosts[host.id] = host.incarnation;
  return accepted();
}

ApplyResult
Oracle::apply_one(const LeaveHost& leave)
{
  const auto found = hosts.find(leave.id);
  if (found == hosts.end() || found->second <= leave.incarnation) {
    m_left_hosts[leave.id] = std::max(m_left_hosts[leave.id], leave.incarnation);
  }
  if (found != hosts.end() && found->second <= leave.incarnation) {
    hosts.erase(found);
    end_claims_of(leave.id);
  }
  return accepted();
}

ApplyResult
Oracle::apply_one(const ExpireOutcomes& expire)
{
  for (auto entry = m_claims.begin(); entry != m_claims.end();) {
    const bool expired =
      entry->second.status != ClaimStatus::InProgress && entry->second.expires <= expire.now;
    entry = expired ? m_claims.erase(entry) : std::next(entry);
  }
  return accepted();
}

void
Oracle::end_claims_of(const HostId& host)
{
  for (auto& [key, claim] : m_claims) {
    if (claim.holder == host && claim.status == ClaimStatus::InProgress) {
      claim.status = ClaimStatus::Unknown;
    }
  }
}

std::optional<KeyStatus>
Oracle::key_status(const std::string& key) const
{
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return std::nullopt;
  }
  return KeyStatus{ .status = found->second.status, .attempt = found->second.attempt };
}

} // namespace lovagehold::testing_oracle
