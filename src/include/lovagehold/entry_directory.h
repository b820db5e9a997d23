#pragma once

#include "lovagehold/types.h"

#include <map>
#include <string>
#include <vector>

namespace lovagehold {

/// State that an entry host announces to the control hosts.
struct EntryPresence
{
  /// "IP:port" where callers connect.
  std::string address;
  std::string failure_domain;
  bool ready = false;
};

struct EntryDirectoryOptions
{
  /// An entry host without an announcement for this time is not advertised to callers.
  std::chrono::milliseconds lease{ 1600 };
  /// Number of hosts advertised to the callers of a failure domain. With few hosts, each has enough
  /// traffic to know the servers' load and to keep connections to them open.
  std::size_t subset = 3;
  /// In a failure domain with more hosts than this, ready or not, the traffic needs them all: all
  /// ready ones are advertised.
  std::size_t large_domain = 16;
};

/// \param since_change time since the advertised addresses last changed
/// \param max_ttl upper limit in a calm system
/// \return the time for which callers may cache the addresses. It is short while they change:
/// callers that found only the first hosts to be ready after a restart of all would otherwise stay
/// with them.
std::chrono::milliseconds directory_ttl(Duration since_change, std::chrono::milliseconds max_ttl);

/// The entry hosts and their readiness; selects the ones that are advertised to callers. Not
/// thread-safe.
class EntryDirectory
{
public:
  explicit EntryDirectory(EntryDirectoryOptions options)
    : m_options(options)
  {
  }

  /// Applies an announcement. Announcements older than the last one are ignored.
  /// \return whether the host became ready or ceased to be
  bool apply_announcement(const EntryPresence& presence, TimePoint now);

  /// \return ready hosts within their lease, with the age of their last announcement
  std::vector<std::pair<EntryPresence, Duration>> ready_hosts(TimePoint now) const;

  /// \return all hosts within their lease, ready or not, with the age of their last announcement
  std::vector<std::pair<EntryPresence, Duration>> unexpired_hosts(TimePoint now) const;

  /// \return addresses for callers of the failure domain: a stable choice of its hosts, completed
  /// with hosts of other failure domains if it has too few that are ready
  std::vector<std::string> resolve(const std::string& failure_domain, TimePoint now) const;

  /// \return the result of resolve() for each failure domain with a ready host
  std::map<std::string, std::vector<std::string>> resolve_all(TimePoint now) const;

  /// \return number of hosts that are advertised to callers of any failure domain
  std::size_t advertised_count(TimePoint now) const;

  /// \return number of hosts with an announcement that has not been removed
  std::size_t size() const { return m_hosts.size(); }

  /// Removes hosts without an announcement for ten times the lease.
  void expire(TimePoint now);

private:
  struct HostRecord
  {
    EntryPresence presence;
    TimePoint announced_at;
  };

  EntryDirectoryOptions m_options;
  std::map<std::string, HostRecord> m_hosts;
};

} // namespace lovagehold
