#pragma once

#include "lovagehold/state_machine.h"

#include <nlohmann/json.hpp>
#include <set>

namespace lovagehold {

/// Idempotency keys, the attempts that hold them and the outcomes. Entries and stored bytes are
/// bounded: room for the largest outcome is reserved when a key is granted, so that an outcome can
/// always be recorded. Expiry and the end of a holder cost time in proportion to the keys that they
/// concern. Deterministic.
class ClaimStore
{
public:
  explicit ClaimStore(const StateMachineOptions& options);

  ApplyResult claim(const ClaimKey& claim);
  ApplyResult record(const RecordOutcome& record);
  /// Marks all open claims of the host as unknown.
  void mark_holder_gone(const HostId& holder);
  /// Removes ended claims whose retention time is over.
  void expire(WallTime now);

  std::optional<KeyStatus> status(const ServiceName& service, const std::string& key) const;
  ClaimUsage usage() const;

  nlohmann::json snapshot() const;
  /// Throws if the fields are no snapshot.
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
  void end(Entries::iterator entry, ClaimStatus status);
  void close(Entries::iterator entry);

  std::size_t m_capacity;
  std::size_t m_byte_limit;
  Entries m_entries;
  std::size_t m_bytes = 0;
  // Keys by the holder of an open claim and ended ones by expiry; they point into m_entries.
  std::map<HostId, std::set<const KeyId*>> m_open;
  std::set<std::pair<WallTime, const KeyId*>> m_expiry;
};

} // namespace lovagehold
