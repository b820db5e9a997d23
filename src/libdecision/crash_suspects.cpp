#include "lovagehold/crash_suspects.h"

#include <algorithm>
#include <xxhash.h>

namespace lovagehold {

namespace {

using std::chrono::milliseconds;

// A copy of a success that other hosts report counts as new only if it is later by more than this,
// which is far above the delay of messages.
constexpr milliseconds kClearTolerance{ 500 };
// Shortest time between a crash and the next run that counts as one after it. Messages between
// hosts delay the times that they tell by about a millisecond.
constexpr milliseconds kMinGap{ 5 };
// Ages from other hosts are limited to this, so that an absurd value does not overflow a time.
constexpr std::chrono::hours kMaxAge{ 24 };

milliseconds
age_of(TimePoint time, TimePoint now)
{
  return std::max(std::chrono::duration_cast<milliseconds>(now - time), milliseconds(0));
}

TimePoint
time_of(milliseconds age, TimePoint now)
{
  return now - std::clamp<milliseconds>(age, milliseconds(0), kMaxAge);
}

} // namespace

std::uint64_t
server_key(const ServerId& server, std::uint64_t incarnation)
{
  return XXH64(server.data(), server.size(), incarnation);
}

void
CrashSuspects::add_crash(RequestFingerprint request,
                         const ServiceName& service,
                         std::uint64_t server,
                         TimePoint sent,
                         TimePoint now)
{
  Record& record = m_records[request];
  record.service = service;
  add(record, { { server, { .sent = sent, .crashed = now } } });
  limit_size();
}

// Full evidence changes only if that makes it stronger: hosts that exchange theirs would otherwise
// displace each other's runs for ever.
bool
CrashSuspects::add(Record& record, Runs runs) const
{
  std::erase_if(runs, [&](const auto& entry) {
    return record.runs.count(entry.first) > 0 ||
           (record.cleared && entry.second.crashed <= *record.cleared);
  });
  if (runs.empty()) {
    return false;
  }
  const bool was_full = record.runs.size() >= m_options.max_crashes;
  runs.insert(record.runs.begin(), record.runs.end());
  Record changed = record;
  set_runs(changed, strongest(runs));
  const auto strength = [](const Record& r) { return std::pair(r.successive, last_crash(r.runs)); };
  if (was_full && strength(changed) <= strength(record)) {
    return false;
  }
  record = std::move(changed);
  return true;
}

void
CrashSuspects::set_runs(Record& record, Runs runs) const
{
  record.runs = std::move(runs);
  record.successive = static_cast<unsigned>(successive_servers(record.runs).size());
  record.was_suspected = record.was_suspected || record.successive >= m_options.suspect_crashes;
}

// \return at most max_crashes of the runs: the successive ones, then the other ones, the latest
// first
CrashSuspects::Runs
CrashSuspects::strongest(const Runs& runs) const
{
  if (runs.size() <= m_options.max_crashes) {
    return runs;
  }
  Runs kept;
  const auto keep = [&](std::uint64_t server) {
    if (kept.size() < m_options.max_crashes) {
      kept.insert(*runs.find(server));
    }
  };
  const std::vector<std::uint64_t> successive = successive_servers(runs);
  std::for_each(successive.rbegin(), successive.rend(), keep);
  std::vector<std::uint64_t> latest_first;
  for (const auto& [server, run] : runs) {
    latest_first.push_back(server);
  }
  std::sort(latest_first.begin(), latest_first.end(), [&](std::uint64_t a, std::uint64_t b) {
    return runs.at(a).crashed > runs.at(b).crashed;
  });
  std::for_each(latest_first.begin(), latest_first.end(), keep);
  return kept;
}

// \return servers of the largest number of runs that do not overlap (interval scheduling by the
// earliest end), in the order of their crashes
std::vector<std::uint64_t>
CrashSuspects::successive_servers(const Runs& runs)
{
  std::vector<std::pair<std::uint64_t, Run>> ordered(runs.begin(), runs.end());
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    return a.second.crashed < b.second.crashed;
  });
  std::vector<std::uint64_t> successive;
  TimePoint earliest = TimePoint::min();
  for (const auto& [server, run] : ordered) {
    if (run.sent >= earliest) {
      successive.push_back(server);
      earliest = run.crashed + kMinGap;
    }
  }
  return successive;
}

bool
CrashSuspects::apply_clear(Record& record, TimePoint time) const
{
  if (record.cleared && time <= *record.cleared + kClearTolerance) {
    return false;
  }
  record.cleared = time;
  Runs later = record.runs;
  std::erase_if(later, [&](const auto& entry) { return entry.second.crashed <= time; });
  set_runs(record, std::move(later));
  return true;
}

bool
CrashSuspects::clear(RequestFingerprint request, TimePoint now)
{
  const auto found = m_records.find(request);
  return found != m_records.end() && !found->second.runs.empty() && apply_clear(found->second, now);
}

bool
CrashSuspects::merge(const CrashEvidence& evidence, TimePoint now)
{
  const bool known = m_records.count(evidence.request) > 0;
  if (!known && evidence.crashes.empty()) {
    return false;
  }
  Record& record = m_records[evidence.request];
  record.service = evidence.service;
  const bool cleared = evidence.cleared && apply_clear(record, time_of(*evidence.cleared, now));
  Runs runs;
  for (const CrashEvidence::Crash& crash : evidence.crashes) {
    runs[crash.server] = { .sent = time_of(std::max(crash.sent, crash.crashed), now),
                           .crashed = time_of(crash.crashed, now) };
  }
  const bool changed = add(record, std::move(runs)) || cleared;
  limit_size();
  return changed;
}

unsigned
CrashSuspects::crashes(RequestFingerprint request, TimePoint now) const
{
  const auto found = m_records.find(request);
  if (found == m_records.end() || is_outdated(found->second, now)) {
    return 0;
  }
  return found->second.successive;
}

std::optional<TimePoint>
CrashSuspects::quarantined_until(RequestFingerprint request, TimePoint now) const
{
  const auto found = m_records.find(request);
  const auto end = found == m_records.end() ? std::nullopt : quarantine_end(found->second);
  const bool quarantined = end && now < *end && !exceeds_suspects(found->second.service, now);
  return quarantined ? end : std::nullopt;
}

bool
CrashSuspects::exceeds_suspects(const ServiceName& service, TimePoint now) const
{
  const auto suspects = std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
    const Record& record = entry.second;
    return record.service == service && record.successive >= m_options.suspect_crashes &&
           !is_outdated(record, now);
  });
  return static_cast<std::size_t>(suspects) > m_options.max_suspects;
}

TimePoint
CrashSuspects::last_crash(const Runs& runs)
{
  TimePoint last = TimePoint::min();
  for (const auto& [server, run] : runs) {
    last = std::max(last, run.crashed);
  }
  return last;
}

TimePoint
CrashSuspects::last_change(const Record& record)
{
  return std::max(record.cleared.value_or(TimePoint::min()), last_crash(record.runs));
}

std::optional<TimePoint>
CrashSuspects::quarantine_end(const Record& record) const
{
  if (record.successive < m_options.quarantine_crashes) {
    return std::nullopt;
  }
  const unsigned further = record.successive - m_options.quarantine_crashes;
  auto duration = m_options.quarantine;
  for (unsigned i = 0; i < further && duration < m_options.max_quarantine; ++i) {
    duration *= 2;
  }
  return last_change(record) + std::min(duration, m_options.max_quarantine);
}

bool
CrashSuspects::is_outdated(const Record& record, TimePoint now) const
{
  return now - quarantine_end(record).value_or(last_change(record)) >= m_options.retention;
}

CrashEvidence
CrashSuspects::to_evidence(RequestFingerprint request, const Record& record, TimePoint now)
{
  CrashEvidence evidence{ .request = request, .service = record.service };
  evidence.crashes.reserve(record.runs.size());
  for (const auto& [server, run] : record.runs) {
    evidence.crashes.push_back(
      { .server = server, .sent = age_of(run.sent, now), .crashed = age_of(run.crashed, now) });
  }
  if (record.cleared) {
    evidence.cleared = age_of(*record.cleared, now);
  }
  return evidence;
}

CrashEvidence
CrashSuspects::evidence(RequestFingerprint request, TimePoint now) const
{
  const auto found = m_records.find(request);
  return found == m_records.end() ? CrashEvidence{ .request = request }
                                  : to_evidence(request, found->second, now);
}

std::vector<CrashEvidence>
CrashSuspects::shared_evidence(TimePoint now) const
{
  std::vector<CrashEvidence> all;
  for (const auto& [request, record] : m_records) {
    if (record.was_suspected && !is_outdated(record, now)) {
      all.push_back(to_evidence(request, record, now));
    }
  }
  return all;
}

std::size_t
CrashSuspects::quarantined_count(TimePoint now) const
{
  return static_cast<std::size_t>(
    std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
      return quarantined_until(entry.first, now).has_value();
    }));
}

void
CrashSuspects::expire(TimePoint now)
{
  std::erase_if(m_records, [&](const auto& entry) { return is_outdated(entry.second, now); });
}

// The requests with the fewest crashes go first, the older ones of these before the others: a crash
// of many servers at once must not displace the evidence on a request that crashes them in turn.
void
CrashSuspects::limit_size()
{
  if (m_records.size() <= m_options.max_requests) {
    return;
  }
  const auto weakest =
    std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
      return std::pair(a.second.successive, last_change(a.second)) <
             std::pair(b.second.successive, last_change(b.second));
    });
  m_records.erase(weakest);
}

} // namespace lovagehold
