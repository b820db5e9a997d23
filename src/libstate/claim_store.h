#pragma once

#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>
#include <set>

namespace lovagehold {

/// Stores idempotency keys with the attempts that hold them and their outcomes. The number of
/// entries and their bytes are bounded: a granted claim reserves room for the largest response, so
/// that its outcome can always be recorded. expire() and end_claims_of() take time in proportion
/// to the number of keys that they change. Deterministic.
class ClaimStore
{
public:
  explicit ClaimStore(const StateMachineOptions& options);

  ApplyResult claim(const ClaimKey& claim);
  ApplyResult record(const RecordOutcome& record);
  /// Ends all open claims of the host with the status Unknown.
  void end_claims_of(const HostId& holder);
  /// Removes ended claims whose retention time has passed.
  void expire(WallTime now);

  std::optional<KeyStatus> status(const ServiceName& service, const std::string& key) const;
  ClaimUsage usage() const;

  nlohmann::json snapshot() const;
  /// Throws std::exception if the fields are malformed.
  void restore(const nlohmann::json& fields);

private:
  using KeyId = std::pair<ServiceName, std::string>;
  struct Entry
  {
    Digest digest{};
    std::string attempt;
    HostId holder;
    ClaimStatus status = ClaimStatus::InProgress;
    StoredResponse stored_response;
    WallTime expires{};
  };
  using Entries = std::map<KeyId, Entry>;

  static std::size_t size_of(const KeyId& id, const Entry& entry);
  void insert(KeyId id, Entry entry);
  void erase(Entries::iterator entry);
  /// Sets the status of a claim that is no longer in m_open_by_holder and schedules its expiry.
  void end_claim(Entries::iterator entry, ClaimStatus status);
  void remove_from_open(Entries::iterator entry);

  std::size_t m_max_entries;
  std::size_t m_max_bytes;
  Entries m_entries;
  std::size_t m_bytes = 0;
  // Indexes of the open claims by holder and of the ended ones by expiry; they point into
  // m_entries.
  std::map<HostId, std::set<const KeyId*>> m_open_by_holder;
  std::set<std::pair<WallTime, const KeyId*>> m_ended_by_expiry;
};

} // namespace lovagehold
