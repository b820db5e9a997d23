#include "claim_store.h"

#include "apply_results.h"
#include "json_fields.h"

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxContentTypeBytes = 256;
// Reserved by an open claim for the response to be stored.
constexpr std::size_t kReservedBytes = kMaxStoredBodyBytes + kMaxContentTypeBytes;

StoredResponse
limit_size(StoredResponse response)
{
  if (response.truncated || response.body.size() > kMaxStoredBodyBytes) {
    response.body.clear();
    response.truncated = true;
  }
  if (response.content_type.size() > kMaxContentTypeBytes) {
    response.content_type.clear();
  }
  return response;
}

bool
equal(const StoredResponse& a, const StoredResponse& b)
{
  return a.status == b.status && a.content_type == b.content_type && a.body == b.body &&
         a.truncated == b.truncated;
}

} // namespace

ClaimStore::ClaimStore(const StateMachineOptions& options)
  : m_max_entries(options.claim_capacity)
  , m_max_bytes(options.max_claim_bytes)
{
}

std::size_t
ClaimStore::size_of(const KeyId& id, const Entry& entry)
{
  const std::size_t names =
    id.first.size() + id.second.size() + entry.attempt.size() + entry.holder.size();
  const bool open = entry.status == ClaimStatus::InProgress;
  return names +
         (open ? kReservedBytes
               : entry.stored_response.body.size() + entry.stored_response.content_type.size());
}

void
ClaimStore::insert(KeyId id, Entry entry)
{
  const auto inserted = m_entries.emplace(std::move(id), std::move(entry)).first;
  m_bytes += size_of(inserted->first, inserted->second);
  if (inserted->second.status == ClaimStatus::InProgress) {
    m_open_by_holder[inserted->second.holder].insert(&inserted->first);
  } else {
    m_ended_by_expiry.emplace(inserted->second.expires, &inserted->first);
  }
}

void
ClaimStore::erase(Entries::iterator entry)
{
  m_bytes -= size_of(entry->first, entry->second);
  m_ended_by_expiry.erase({ entry->second.expires, &entry->first });
  m_entries.erase(entry);
}

void
ClaimStore::remove_from_open(Entries::iterator entry)
{
  const auto holder_claims = m_open_by_holder.find(entry->second.holder);
  holder_claims->second.erase(&entry->first);
  if (holder_claims->second.empty()) {
    m_open_by_holder.erase(holder_claims);
  }
}

void
ClaimStore::end_claim(Entries::iterator entry, ClaimStatus status)
{
  m_bytes -= size_of(entry->first, entry->second);
  entry->second.status = status;
  m_bytes += size_of(entry->first, entry->second);
  m_ended_by_expiry.emplace(entry->second.expires, &entry->first);
}

ApplyResult
ClaimStore::claim(const ClaimKey& claim)
{
  ApplyResult result = accept();
  const auto found = m_entries.find({ claim.service, claim.key });
  if (found != m_entries.end()) {
    const Entry& entry = found->second;
    result.claim = entry.status;
    if (entry.digest != claim.body_digest) {
      result.claim = ClaimStatus::DigestDiffers;
    } else if (entry.status == ClaimStatus::Done) {
      result.stored_response = entry.stored_response;
    } else if (entry.status == ClaimStatus::InProgress && entry.attempt == claim.attempt) {
      result.claim = ClaimStatus::Granted;
    }
    return result;
  }
  KeyId id{ claim.service, claim.key };
  Entry entry{ .digest = claim.body_digest,
               .attempt = claim.attempt,
               .holder = claim.holder,
               .expires = claim.now + claim.retention };
  if (m_entries.size() >= m_max_entries || m_bytes + size_of(id, entry) > m_max_bytes) {
    result.claim = ClaimStatus::StoreFull;
    return result;
  }
  insert(std::move(id), std::move(entry));
  result.claim = ClaimStatus::Granted;
  return result;
}

ApplyResult
ClaimStore::record(const RecordOutcome& record)
{
  const auto found = m_entries.find({ record.service, record.key });
  if (found == m_entries.end()) {
    return reject({ .kind = ErrorKind::NotFound,
                    .message = "key " + record.key + " of " + record.service + " is not claimed",
                    .remedy = "claim the key before the request is sent" });
  }
  Entry& entry = found->second;
  const StoredResponse response = limit_size(record.stored_response);
  // A client that lost the result of its command sends the same outcome again; it is accepted
  // again.
  const bool repeated = record.outcome == OutcomeKind::Done && entry.status == ClaimStatus::Done &&
                        equal(response, entry.stored_response);
  if (entry.attempt == record.attempt && repeated) {
    return accept();
  }
  if (entry.attempt != record.attempt || entry.status != ClaimStatus::InProgress) {
    return reject({ .kind = ErrorKind::Conflict,
                    .message = "attempt " + record.attempt + " does not hold key " + record.key,
                    .remedy = "ask for the status of the key" });
  }
  remove_from_open(found);
  if (record.outcome == OutcomeKind::NotRun) {
    erase(found);
  } else if (record.outcome == OutcomeKind::Unknown) {
    end_claim(found, ClaimStatus::Unknown);
  } else {
    m_bytes -= size_of(found->first, entry);
    entry.stored_response = response;
    m_bytes += size_of(found->first, entry);
    end_claim(found, ClaimStatus::Done);
  }
  return accept();
}

void
ClaimStore::end_claims_of(const HostId& holder)
{
  const auto holder_claims = m_open_by_holder.find(holder);
  if (holder_claims == m_open_by_holder.end()) {
    return;
  }
  for (const KeyId* id : holder_claims->second) {
    end_claim(m_entries.find(*id), ClaimStatus::Unknown);
  }
  m_open_by_holder.erase(holder_claims);
}

void
ClaimStore::expire(WallTime now)
{
  while (!m_ended_by_expiry.empty() && m_ended_by_expiry.begin()->first <= now) {
    erase(m_entries.find(*m_ended_by_expiry.begin()->second));
  }
}

std::optional<KeyStatus>
ClaimStore::status(const ServiceName& service, const std::string& key) const
{
  const auto found = m_entries.find({ service, key });
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  KeyStatus status{ .status = entry.status, .attempt = entry.attempt };
  if (entry.status == ClaimStatus::Done) {
    status.stored_response = entry.stored_response;
  }
  return status;
}

ClaimUsage
ClaimStore::usage() const
{
  ClaimUsage usage{ .entries = m_entries.size(), .bytes = m_bytes };
  for (const auto& [holder, keys] : m_open_by_holder) {
    usage.open += keys.size();
  }
  return usage;
}

json
ClaimStore::snapshot() const
{
  json claims = json::array();
  for (const auto& [id, entry] : m_entries) {
    const Bytes digest(entry.digest.begin(), entry.digest.end());
    claims.push_back({ id.first,
                       id.second,
                       json::binary(digest),
                       entry.attempt,
                       entry.holder,
                       static_cast<int>(entry.status),
                       entry.stored_response,
                       entry.expires.time_since_epoch().count() });
  }
  return claims;
}

void
ClaimStore::restore(const json& fields)
{
  for (const json& claim : fields) {
    Entry entry;
    const auto& digest = claim.at(2).get_binary();
    if (digest.size() != entry.digest.size()) {
      throw std::invalid_argument("digest has the wrong size");
    }
    std::copy(digest.begin(), digest.end(), entry.digest.begin());
    claim.at(3).get_to(entry.attempt);
    claim.at(4).get_to(entry.holder);
    entry.status = static_cast<ClaimStatus>(claim.at(5).get<int>());
    claim.at(6).get_to(entry.stored_response);
    entry.expires = WallTime(std::chrono::milliseconds(claim.at(7).get<std::int64_t>()));
    insert({ claim.at(0).get<std::string>(), claim.at(1).get<std::string>() }, std::move(entry));
  }
}

} // namespace lovagehold
