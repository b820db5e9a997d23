#pragma once

#include "lovagehold/types.h"

#include <map>
#include <string>
#include <vector>

namespace lovagehold {

/// What an entry host says about itself to control.
struct EntryPresence
{
  /// "IP:port" where callers connect.
  std::string address;
  std::string failure_domain;
  bool ready = false;
};

struct EntryDirectoryOptions
{
  /// An entry host that was not heard of for this time is not named to callers.
  std::chrono::milliseconds lease{ 1600 };
  /// Hosts named to the callers of a failure domain at least. Few hosts with much traffic each know
  /// the servers' load better and keep connections to them.
  std::size_t subset = 3;
  /// A failure domain with more hosts than this has them because the traffic needs them: all are
  /// named.
  std::size_t large_domain = 16;
};

/// The entry hosts that callers may use. Not thread-safe.
class EntryDirectory
{
public:
  explicit EntryDirectory(EntryDirectoryOptions options)
    : m_options(options)
  {
  }

  /// \return whether what callers are told changes
  bool heard(const EntryPresence& presence, TimePoint now);

  /// \return ready hosts that have been heard of, with the time since then
  std::vector<std::pair<EntryPresence, Duration>> live(TimePoint now) const;

  /// \return all hosts within their lease, ready or not
  std::vector<std::pair<EntryPresence, Duration>> known(TimePoint now) const;

  /// \return addresses for callers of the failure domain: a stable choice of its hosts, filled up
  /// from the others
  std::vector<std::string> resolve(const std::string& failure_domain, TimePoint now) const;

  /// \return the answers for all failure domains with a ready host
  std::map<std::string, std::vector<std::string>> resolve_all(TimePoint now) const;

  /// \return hosts that are named to callers of any failure domain
  std::size_t named(TimePoint now) const;

  /// Removes hosts that have not been heard of for long.
  void expire(TimePoint now);

private:
  struct Known
  {
    EntryPresence presence;
    TimePoint heard;
  };

  EntryDirectoryOptions m_options;
  std::map<std::string, Known> m_hosts;
};

} // namespace lovagehold
