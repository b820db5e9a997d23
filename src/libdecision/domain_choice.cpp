#include "lovagehold/domain_choice.h"

#include <algorithm>

namespace lovagehold {

namespace {

// Weight of the latest report in the moving average of a domain's load, as in ServerSelector.
constexpr double kMeanBusySmoothing = 0.1;

} // namespace

void
DomainChoice::set(const ServiceShares& shares, const std::string& home, TimePoint as_of)
{
  m_home = home;
  m_domains = shares.domains;
  const auto row = shares.leaving.find(home);
  m_leaving = row == shares.leaving.end() ? std::map<std::string, double>{} : row->second;
  const auto spare = shares.spare.find(home);
  m_spare = spare == shares.spare.end() ? std::set<std::string>{} : spare->second;
  // Without a decision for the home each request chooses for itself.
  const bool decided = std::find(m_domains.begin(), m_domains.end(), home) != m_domains.end();
  m_as_of = decided ? std::optional(as_of) : std::nullopt;
}

std::string
DomainChoice::draw(std::mt19937_64& random) const
{
  if (m_leaving.empty()) {
    return m_home;
  }
  double left = std::uniform_real_distribution<double>(0, 1)(random);
  for (const auto& [domain, share] : m_leaving) {
    left -= share;
    if (left < 0) {
      return domain;
    }
  }
  return m_home;
}

bool
DomainChoice::permits(const std::string& domain) const
{
  return domain == m_home || sends_to(domain) ||
         std::find(m_domains.begin(), m_domains.end(), domain) == m_domains.end();
}

void
DomainChoice::add_report(const std::string& domain, double busy)
{
  double& mean = m_mean_busy[domain];
  mean += kMeanBusySmoothing * (busy - mean);
}

double
DomainChoice::mean_busy(const std::string& domain) const
{
  const auto found = m_mean_busy.find(domain);
  return found == m_mean_busy.end() ? 0 : found->second;
}

void
DomainChoice::add_attempt(const std::string& domain, Duration elapsed, bool judged, bool failed)
{
  ++m_total[domain];
  ++m_requests;
  m_seconds += std::chrono::duration<double>(elapsed).count();
  if (judged) {
    ++m_attempts[domain].attempts;
    m_attempts[domain].failed += failed ? 1 : 0;
  }
}

DomainServiceLoad
DomainChoice::take_traffic(TimePoint now)
{
  DomainServiceLoad load;
  const double elapsed = m_taken_at ? std::chrono::duration<double>(now - *m_taken_at).count() : 0;
  if (elapsed > 0) {
    load.demand = m_seconds / elapsed;
    load.requests = m_requests / elapsed;
    load.bytes = m_bytes / elapsed;
    for (const auto& [domain, count] : m_attempts) {
      load.attempts[domain] = { .attempts = count.attempts / elapsed,
                                .failed = count.failed / elapsed };
    }
  }
  m_taken_at = now;
  m_attempts.clear();
  m_seconds = m_requests = m_bytes = 0;
  return load;
}

} // namespace lovagehold
