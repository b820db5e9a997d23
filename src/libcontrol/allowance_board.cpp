#include "lovagehold/allowance_board.h"

#include <algorithm>

namespace lovagehold {

namespace {

// The view is taken again after this time: once per tick of the host.
constexpr std::chrono::milliseconds kViewInterval{ 50 };

} // namespace

AllowanceBoard::AllowanceBoard(AllowanceBoardOptions options, AllowanceBoardPorts ports)
  : m_options(std::move(options))
  , m_ports(std::move(ports))
  , m_ledger(m_options.ledger)
  , m_random(m_options.seed)
{
}

void
AllowanceBoard::add_subscriber(const std::string& address, bool starting, TimePoint now)
{
  if (starting) {
    m_subscribers.erase(address);
    return;
  }
  const bool is_new = m_subscribers.insert_or_assign(address, now).second;
  if (is_new && !m_published.empty()) {
    m_ports.send(address, RestrictedAccounts{ { m_published.begin(), m_published.end() } });
  }
}

void
AllowanceBoard::refresh_view(TimePoint now)
{
  if (now - m_viewed_at >= kViewInterval) {
    m_view = m_ports.view();
    m_viewed_at = now;
  }
}

std::vector<std::string>
AllowanceBoard::responsible_for(const std::string& account) const
{
  return limiters_of(account, m_view.members);
}

// \return the other one of the control hosts that are responsible for an account; empty if there is
// none, or if this host is not one of them
std::string
AllowanceBoard::partner_of(const std::vector<std::string>& responsible) const
{
  const bool is_member =
    std::find(responsible.begin(), responsible.end(), m_options.address) != responsible.end();
  for (const std::string& host : responsible) {
    if (is_member && host != m_options.address) {
      return host;
    }
  }
  return "";
}

// \return the part of a limit that this host may grant. Hosts that can't reach it use the rest.
double
AllowanceBoard::share_of(const std::string& partner, TimePoint now)
{
  if (!m_view.in_contact) {
    return 0;
  }
  double share = 1;
  if (m_view.hosts > 0) {
    const double reached =
      static_cast<double>(m_view.reached_hosts) / static_cast<double>(m_view.hosts);
    const double lost = 1 - std::min(reached, 1.0);
    share = lost > m_options.ignored_part ? 1 - m_options.local_rate * lost : 1;
  }
  if (!partner.empty()) {
    Partner& other = m_partners[partner];
    if (now - other.used_at >= m_options.active_time) {
      other.since = now;
    }
    other.used_at = now;
    const Duration quiet = now - std::max(other.heard, other.since);
    const bool uncertain =
      quiet > m_options.silence && quiet <= m_options.silence + m_options.uncertain_time;
    share *= uncertain ? 0.5 : 1;
  }
  return share;
}

AllowanceReply::Item
AllowanceBoard::answer(const AccountRequests& requests, TimePoint now)
{
  const std::vector<std::string> responsible = responsible_for(requests.account);
  const bool is_responsible =
    std::find(responsible.begin(), responsible.end(), m_options.address) != responsible.end();
  if (!m_view.in_contact || !is_responsible) {
    return { .account = requests.account };
  }
  m_ledger.use(requests.account, requests.limit, requests.used, requests.repeated, now);
  m_ledger.set_share(requests.account, share_of(partner_of(responsible), now), now);
  AllowanceAnswer answer =
    m_ledger.query(requests.account, requests.limit, requests.wanted, now, m_random);
  m_uses[requests.account] += requests.used + answer.granted;
  m_counters.reported += requests.used;
  m_counters.granted += answer.granted;
  (answer.over ? m_counters.denied : m_counters.unknown) += requests.wanted - answer.granted;
  return { .account = requests.account, .responsible = true, .answer = answer };
}

void
AllowanceBoard::receive(const std::string& from, const AllowanceQuery& query, TimePoint now)
{
  refresh_view(now);
  AllowanceReply reply{ .id = query.id, .hosts = m_view.hosts };
  for (const AccountRequests& requests : query.accounts) {
    reply.accounts.push_back(answer(requests, now));
  }
  m_ports.send(from, reply);
}

void
AllowanceBoard::receive(const std::string& from, const AllowanceUse& use, TimePoint now)
{
  m_partners[from].heard = now;
  for (const AccountRequests& requests : use.accounts) {
    m_ledger.use(requests.account, requests.limit, requests.used, requests.repeated, now);
  }
}

void
AllowanceBoard::receive(const std::string& from, const RestrictedAccounts& message, TimePoint now)
{
  m_remote[from] = { .accounts = { message.accounts.begin(), message.accounts.end() },
                     .heard = now };
}

bool
AllowanceBoard::receive_any(const std::string& from, const ClusterMessage& message, TimePoint now)
{
  if (const auto* query = std::get_if<AllowanceQuery>(&message)) {
    receive(from, *query, now);
  } else if (const auto* use = std::get_if<AllowanceUse>(&message)) {
    receive(from, *use, now);
  } else if (const auto* restrictions = std::get_if<RestrictedAccounts>(&message)) {
    receive(from, *restrictions, now);
  } else {
    return false;
  }
  return true;
}

std::set<std::string>
AllowanceBoard::restricted() const
{
  const std::vector<std::string> own = m_ledger.restricted();
  std::set<std::string> accounts(own.begin(), own.end());
  for (const auto& [host, remote] : m_remote) {
    accounts.insert(remote.accounts.begin(), remote.accounts.end());
  }
  return accounts;
}

void
AllowanceBoard::tick(TimePoint now)
{
  std::erase_if(m_remote, [&](const auto& entry) {
    return entry.second.accounts.empty() || now - entry.second.heard >= m_options.restriction_time;
  });
  std::erase_if(m_subscribers, [&](const auto& entry) {
    return now - entry.second >= m_options.subscription_timeout;
  });
  if (m_ledger.size() == 0 && m_remote.empty() && m_published.empty()) {
    return;
  }
  refresh_view(now);
  share_uses(now);
  publish(now);
}

// Tells the other responsible control hosts of the requests, so that each can stand in for this one
// and both together stay within the limits.
void
AllowanceBoard::share_uses(TimePoint now)
{
  const bool due = now - m_shared_at >= m_options.share_interval;
  std::map<std::string, AllowanceUse> messages;
  for (const auto& [account, limit] : m_ledger.active(m_options.active_time, now)) {
    const std::string partner = partner_of(responsible_for(account));
    m_ledger.set_share(account, share_of(partner, now), now);
    if (!due || partner.empty()) {
      continue;
    }
    AllowanceUse& message = messages[partner];
    const auto uses = m_uses.find(account);
    if (uses != m_uses.end() && uses->second > 0) {
      message.accounts.push_back({ .account = account, .limit = limit, .used = uses->second });
    }
  }
  if (due) {
    m_shared_at = now;
    m_uses.clear();
    for (const auto& [partner, message] : messages) {
      m_ports.send(partner, message);
    }
  }
}

void
AllowanceBoard::publish(TimePoint now)
{
  const bool own_changed = m_ledger.update(now);
  const std::vector<std::string> own = m_ledger.restricted();
  log_changes({ own.begin(), own.end() });
  const std::set<std::string> all = restricted();
  const bool repeat = now - m_repeated_at >= m_options.repeat_interval;
  if (own_changed || (repeat && !own.empty())) {
    for (const std::string& member : m_view.members) {
      if (member != m_options.address) {
        m_ports.send(member, RestrictedAccounts{ own });
      }
    }
  }
  if (all != m_published || (repeat && !all.empty())) {
    for (const auto& [subscriber, subscribed_at] : m_subscribers) {
      m_ports.send(subscriber, RestrictedAccounts{ { all.begin(), all.end() } });
    }
  }
  if (repeat) {
    m_repeated_at = now;
  }
  m_published = all;
}

void
AllowanceBoard::log_changes(const std::set<std::string>& restricted)
{
  for (const std::string& account : restricted) {
    if (m_logged.count(account) == 0) {
      m_ports.report("account_restricted", { { "account", account } });
    }
  }
  for (const std::string& account : m_logged) {
    if (restricted.count(account) == 0) {
      m_ports.report("account_unrestricted", { { "account", account } });
    }
  }
  m_logged = restricted;
}

} // namespace lovagehold
