#include "account_counters.h"

namespace lovagehold {

namespace {

constexpr std::array<const char*, 3> kKindNames{ "idempotent", "non_idempotent", "upload" };

} // namespace

AccountCounters::Counts&
AccountCounters::counts_of(const ClientAccount* account, const AccountTable& table)
{
  m_used = true;
  if (account == nullptr) {
    return m_anonymous;
  }
  const auto known = m_by_account.find(account->name);
  if (known != m_by_account.end()) {
    return known->second;
  }
  if (m_by_account.size() >= m_max_accounts) {
    for (auto entry = m_by_account.begin(); entry != m_by_account.end();) {
      entry = table.find(entry->first) == nullptr ? m_by_account.erase(entry) : std::next(entry);
    }
  }
  return m_by_account.size() < m_max_accounts ? m_by_account[account->name] : m_others;
}

void
AccountCounters::count_request(const ClientAccount* account,
                               RouteKind kind,
                               const AccountTable& table)
{
  ++counts_of(account, table).requests.at(static_cast<std::size_t>(kind));
}

void
AccountCounters::count_refusal(const ClientAccount* account,
                               RouteKind kind,
                               RefusalCause cause,
                               const AccountTable& table)
{
  ++counts_of(account, table)
      .refusals.at(static_cast<std::size_t>(kind))
      .at(static_cast<std::size_t>(cause));
}

void
AccountCounters::render(MetricsText& text) const
{
  if (!m_used) {
    return;
  }
  const auto for_each = [this](const auto& add) {
    add("", "none", m_anonymous);
    add("", "other", m_others);
    for (const auto& [name, counts] : m_by_account) {
      add(name, "own", counts);
    }
  };
  text.begin(
    "lovagehold_account_requests_total", "counter", "Requests by account and kind of the route.");
  for_each([&text](std::string_view name, const char* scope, const Counts& counts) {
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      if (counts.requests.at(kind) > 0) {
        text.sample({ { "account", name }, { "scope", scope }, { "kind", kKindNames.at(kind) } },
                    static_cast<double>(counts.requests.at(kind)));
      }
    }
  });
  text.begin("lovagehold_account_refused_total",
             "counter",
             "Requests that did not run, by account, kind of the route and reason.");
  for_each([&text](std::string_view name, const char* scope, const Counts& counts) {
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      for (std::size_t cause = 0; cause < kRefusalCauses; ++cause) {
        if (counts.refusals.at(kind).at(cause) > 0) {
          text.sample({ { "account", name },
                        { "scope", scope },
                        { "kind", kKindNames.at(kind) },
                        { "reason", to_string(static_cast<RefusalCause>(cause)) } },
                      static_cast<double>(counts.refusals.at(kind).at(cause)));
        }
      }
    }
  });
}

} // namespace lovagehold
