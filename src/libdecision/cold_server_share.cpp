#include "lovagehold/cold_server_share.h"

#include <algorithm>

namespace lovagehold {

void
ColdServerShare::configure(const ColdServerShareOptions& options, TimePoint now)
{
  if (options == m_options) {
    return;
  }
  m_options = options;
  m_options.hosts = std::max<std::size_t>(options.hosts, 1);
  if (!is_enabled()) {
    m_credits.clear();
  }
  for (auto& [id, credit] : m_credits) {
    credit.configure(m_options.rate * host_part(), m_options.depth * host_part(), now);
  }
}

void
ColdServerShare::add(const ServerId& id, TimePoint now)
{
  if (is_enabled()) {
    const double limit = m_options.depth * host_part();
    m_credits.try_emplace(id, m_options.rate * host_part(), limit, limit, now);
  }
}

void
ColdServerShare::retain(const std::function<bool(const ServerId&)>& is_listed)
{
  std::erase_if(m_credits, [&](const auto& credit) { return !is_listed(credit.first); });
}

bool
ColdServerShare::take(const ServerId& id, TimePoint now, std::mt19937_64& random)
{
  const auto found = m_credits.find(id);
  return found != m_credits.end() && found->second.take(now, random);
}

Duration
ColdServerShare::refill_time() const
{
  return is_enabled() ? std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(m_options.depth / m_options.rate))
                      : Duration::zero();
}

} // namespace lovagehold
