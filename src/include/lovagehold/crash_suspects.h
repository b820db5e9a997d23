#pragma once

#include "lovagehold/request_fingerprint.h"
#include "lovagehold/types.h"

#include <map>
#include <optional>
#include <vector>

namespace lovagehold {

/// \return hash of a server's incarnation
std::uint64_t server_key(const ServerId& server, std::uint64_t incarnation);

/// The servers that crashed while they ran a request, as hosts tell each other. Times are relative,
/// because hosts have no common clock.
struct CrashEvidence
{
  struct Crash
  {
    /// See server_key().
    std::uint64_t server = 0;
    /// Time since the request was sent to the server, and since the server crashed.
    std::chrono::milliseconds sent{ 0 };
    std::chrono::milliseconds crashed{ 0 };
  };

  RequestFingerprint request = 0;
  /// Service of the servers.
  ServiceName service;
  std::vector<Crash> crashes;
  /// Time since a server last ran the request to an end; nothing if none has.
  std::optional<std::chrono::milliseconds> cleared;
};

struct CrashSuspectsOptions
{
  /// Number of successive crashes from which on a request is suspected: a host no longer repeats it
  /// by itself.
  unsigned suspect_crashes = 2;
  /// Number of successive crashes from which on a request is quarantined. An ordinary request would
  /// have to meet three servers in turn that crash for another reason.
  unsigned quarantine_crashes = 3;
  /// More suspected requests of a service than this show that its servers crash for another reason;
  /// none of them is quarantined then.
  std::size_t max_suspects = 16;
  /// Duration of the first quarantine. It doubles with each further crash up to max_quarantine:
  /// servers may have been mended meanwhile, and a request that still crashes them costs one server
  /// each time.
  std::chrono::seconds quarantine{ 60 };
  std::chrono::seconds max_quarantine{ 600 };
  /// Evidence is forgotten after this time, counted from the end of a quarantine if there is one.
  std::chrono::seconds retention{ 60 };
  /// Requests with evidence, and crashes kept for each; successive ones displace others.
  std::size_t max_requests = 1024;
  std::size_t max_crashes = 16;
};

/// Collects which requests were running at servers that crashed, over all hosts, and decides which
/// of them may not be sent to servers any more. Crashes count as successive if the request was sent
/// to each server after the one before had crashed: runs that overlap may have been hit by one
/// event, such as the failure of a whole service. Evidence can be merged in any order and more than
/// once. Bounded in memory. Not thread-safe.
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectsOptions options = {})
    : m_options(options)
  {
  }

  /// A server crashed while it ran the request.
  /// \param sent when the request was sent to it
  void add_crash(RequestFingerprint request,
                 const ServiceName& service,
                 std::uint64_t server,
                 TimePoint sent,
                 TimePoint now);

  /// A server ran the request to an end, which proves that the request was not the cause.
  /// \return whether there was evidence against it
  bool clear(RequestFingerprint request, TimePoint now);

  /// Adds evidence of another host. \return whether it was new
  bool merge(const CrashEvidence& evidence, TimePoint now);

  /// \return number of servers that crashed one after the other while they ran the request
  unsigned crashes(RequestFingerprint request, TimePoint now) const;

  /// \return whether hosts may not repeat the request by themselves
  bool is_suspected(RequestFingerprint request, TimePoint now) const
  {
    return crashes(request, now) >= m_options.suspect_crashes;
  }

  /// \return when the quarantine of the request ends; nothing if it may be sent to a server
  std::optional<TimePoint> quarantined_until(RequestFingerprint request, TimePoint now) const;

  /// \return the evidence on one request
  CrashEvidence evidence(RequestFingerprint request, TimePoint now) const;

  /// \return the evidence on requests that are or were suspected
  std::vector<CrashEvidence> shared_evidence(TimePoint now) const;

  /// \return number of requests that are quarantined
  std::size_t quarantined_count(TimePoint now) const;

  /// Forgets outdated evidence.
  void expire(TimePoint now);

private:
  struct Run
  {
    TimePoint sent;
    TimePoint crashed;
  };

  /// By server.
  using Runs = std::map<std::uint64_t, Run>;

  struct Record
  {
    ServiceName service;
    Runs runs;
    std::optional<TimePoint> cleared;
    /// Number of successive crashes among the runs.
    unsigned successive = 0;
    /// The request has been suspected; hosts that know that have to learn if it is cleared.
    bool was_suspected = false;
  };

  bool add(Record& record, Runs runs) const;
  void set_runs(Record& record, Runs runs) const;
  Runs strongest(const Runs& runs) const;
  static std::vector<std::uint64_t> successive_servers(const Runs& runs);
  bool exceeds_suspects(const ServiceName& service, TimePoint now) const;
  bool apply_clear(Record& record, TimePoint time) const;
  static TimePoint last_crash(const Runs& runs);
  static TimePoint last_change(const Record& record);
  std::optional<TimePoint> quarantine_end(const Record& record) const;
  bool is_outdated(const Record& record, TimePoint now) const;
  void limit_size();
  static CrashEvidence to_evidence(RequestFingerprint request, const Record& record, TimePoint now);

  CrashSuspectsOptions m_options;
  std::map<RequestFingerprint, Record> m_records;
};

} // namespace lovagehold
