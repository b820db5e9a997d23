#include "lovagehold/entry_directory.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace lovagehold {

namespace {

// Maximum number of addresses that callers accept in one response.
constexpr std::size_t kMaxAddresses = 64;

std::uint64_t
rank(const std::string& failure_domain, const std::string& address)
{
  const std::string key = failure_domain + "|" + address;
  return XXH64(key.data(), key.size(), 0);
}

} // namespace

bool
EntryDirectory::heard(const EntryPresence& presence, TimePoint now)
{
  Known& known = m_hosts[presence.address];
  if (known.heard > now) {
    return false;
  }
  const bool was_ready = known.presence.ready && now - known.heard < m_options.lease;
  known = { .presence = presence, .heard = now };
  return was_ready != presence.ready;
}

std::vector<std::pair<EntryPresence, Duration>>
EntryDirectory::known(TimePoint now) const
{
  std::vector<std::pair<EntryPresence, Duration>> hosts;
  for (const auto& [address, known] : m_hosts) {
    if (now - known.heard < m_options.lease) {
      hosts.emplace_back(known.presence, now - known.heard);
    }
  }
  return hosts;
}

std::vector<std::pair<EntryPresence, Duration>>
EntryDirectory::live(TimePoint now) const
{
  auto hosts = known(now);
  std::erase_if(hosts, [](const auto& host) { return !host.first.ready; });
  return hosts;
}

std::vector<std::string>
EntryDirectory::resolve(const std::string& failure_domain, TimePoint now) const
{
  struct Candidate
  {
    bool remote = false;
    std::uint64_t rank = 0;
    std::string address;
  };
  std::vector<Candidate> candidates;
  for (const auto& [presence, age] : live(now)) {
    candidates.push_back({ .remote = presence.failure_domain != failure_domain,
                           .rank = rank(failure_domain, presence.address),
                           .address = presence.address });
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.remote, a.rank) < std::tie(b.remote, b.rank);
  });
  const auto near = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [](const Candidate& host) { return !host.remote; }));
  const std::size_t count =
    std::min(near > m_options.large_domain ? near : m_options.subset, kMaxAddresses);
  std::vector<std::string> addresses;
  for (const Candidate& candidate : candidates) {
    if (addresses.size() < count) {
      addresses.push_back(candidate.address);
    }
  }
  return addresses;
}

std::size_t
EntryDirectory::named(TimePoint now) const
{
  std::set<std::string> addresses;
  for (const auto& [domain, named] : resolve_all(now)) {
    addresses.insert(named.begin(), named.end());
  }
  return addresses.size();
}

std::map<std::string, std::vector<std::string>>
EntryDirectory::resolve_all(TimePoint now) const
{
  std::map<std::string, std::vector<std::string>> answers;
  for (const auto& [presence, age] : live(now)) {
    if (answers.count(presence.failure_domain) == 0) {
      answers[presence.failure_domain] = resolve(presence.failure_domain, now);
    }
  }
  return answers;
}

void
EntryDirectory::expire(TimePoint now)
{
  std::erase_if(
    m_hosts, [&](const auto& entry) { return now - entry.second.heard >= 10 * m_options.lease; });
}

} // namespace lovagehold
