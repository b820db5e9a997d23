#include "lovagehold/entry_directory.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace lovagehold {

namespace {

// Maximum number of addresses that callers accept in one response.
constexpr std::size_t kMaxAddresses = 64;
// Hosts that start together are ready within this time of each other.
constexpr std::chrono::milliseconds kUnsettledTime{ 2000 };
constexpr std::chrono::milliseconds kUnsettledTtl{ 600 };

std::uint64_t
rank(const std::string& failure_domain, const std::string& address)
{
  const std::string key = failure_domain + "|" + address;
  return XXH64(key.data(), key.size(), 0);
}

} // namespace

std::chrono::milliseconds
directory_ttl(Duration since_change, std::chrono::milliseconds max_ttl)
{
  return since_change < kUnsettledTime ? std::min(kUnsettledTtl, max_ttl) : max_ttl;
}

bool
EntryDirectory::apply_announcement(const EntryPresence& presence, TimePoint now)
{
  HostRecord& record = m_hosts[presence.address];
  if (record.announced_at > now) {
    return false;
  }
  const bool was_ready = record.presence.ready && now - record.announced_at < m_options.lease;
  record = { .presence = presence, .announced_at = now };
  return was_ready != presence.ready;
}

std::vector<std::pair<EntryPresence, Duration>>
EntryDirectory::unexpired_hosts(TimePoint now) const
{
  std::vector<std::pair<EntryPresence, Duration>> hosts;
  for (const auto& [address, record] : m_hosts) {
    if (now - record.announced_at < m_options.lease) {
      hosts.emplace_back(record.presence, now - record.announced_at);
    }
  }
  return hosts;
}

std::vector<std::pair<EntryPresence, Duration>>
EntryDirectory::ready_hosts(TimePoint now) const
{
  auto hosts = unexpired_hosts(now);
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
  for (const auto& [presence, age] : ready_hosts(now)) {
    candidates.push_back({ .remote = presence.failure_domain != failure_domain,
                           .rank = rank(failure_domain, presence.address),
                           .address = presence.address });
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.remote, a.rank) < std::tie(b.remote, b.rank);
  });
  const auto ready_count = static_cast<std::size_t>(std::count_if(
    candidates.begin(), candidates.end(), [](const Candidate& host) { return !host.remote; }));
  const auto known = unexpired_hosts(now);
  const auto known_count =
    static_cast<std::size_t>(std::count_if(known.begin(), known.end(), [&](const auto& host) {
      return host.first.failure_domain == failure_domain;
    }));
  const std::size_t wanted = known_count > m_options.large_domain
                               ? std::max(ready_count, m_options.large_domain)
                               : m_options.subset;
  const std::size_t count = std::min(wanted, kMaxAddresses);
  std::vector<std::string> addresses;
  for (const Candidate& candidate : candidates) {
    if (addresses.size() < count) {
      addresses.push_back(candidate.address);
    }
  }
  return addresses;
}

std::size_t
EntryDirectory::advertised_count(TimePoint now) const
{
  std::set<std::string> addresses;
  for (const auto& [domain, domain_addresses] : resolve_all(now)) {
    addresses.insert(domain_addresses.begin(), domain_addresses.end());
  }
  return addresses.size();
}

std::map<std::string, std::vector<std::string>>
EntryDirectory::resolve_all(TimePoint now) const
{
  std::map<std::string, std::vector<std::string>> addresses_by_domain;
  for (const auto& [presence, age] : ready_hosts(now)) {
    if (addresses_by_domain.count(presence.failure_domain) == 0) {
      addresses_by_domain[presence.failure_domain] = resolve(presence.failure_domain, now);
    }
  }
  return addresses_by_domain;
}

void
EntryDirectory::expire(TimePoint now)
{
  std::erase_if(m_hosts, [&](const auto& entry) {
    return now - entry.second.announced_at >= 10 * m_options.lease;
  });
}

} // namespace lovagehold
