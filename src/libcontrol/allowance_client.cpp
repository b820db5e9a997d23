#include "lovagehold/allowance_client.h"

#include <algorithm>

namespace lovagehold {

namespace {

// How often accounts without requests are looked for.
constexpr std::chrono::seconds kExpireInterval{ 10 };

using Outcome = AllowanceDecision::Outcome;

} // namespace

AllowanceClient::AllowanceClient(Send send, AllowanceClientOptions options)
  : m_send(std::move(send))
  , m_options(std::move(options))
  , m_gate(m_options.gate)
  , m_random(m_options.seed)
{
}

void
AllowanceClient::Account::wait_again()
{
  std::vector<Handler> all = std::exchange(asked, {});
  all.insert(
    all.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
  waiting = std::move(all);
}

void
AllowanceClient::set_members(std::vector<std::string> members)
{
  m_selection.set_members(std::move(members));
}

void
AllowanceClient::set_hosts(std::size_t hosts)
{
  m_advertised_hosts = hosts;
  update_hosts();
}

// In small failure domains fewer hosts are advertised than may get requests.
void
AllowanceClient::update_hosts()
{
  m_gate.set_hosts(std::max(m_advertised_hosts, m_known_hosts));
}

void
AllowanceClient::request(const std::shared_ptr<const ClientAccount>& account,
                         std::uint64_t version,
                         Handler handler,
                         TimePoint now)
{
  if (now - m_expired_at >= kExpireInterval) {
    expire(now);
  }
  Account& state = m_accounts[account->name];
  state.account = account;
  state.version = version;
  state.last_request = now;
  state.waiting.push_back(std::move(handler));
  decide_waiting(account->name, now);
}

// Decides about the waiting requests of an account, as far as that needs no answer that is
// outstanding.
void
AllowanceClient::decide_waiting(const std::string& name, TimePoint now)
{
  Account& state = m_accounts[name];
  std::vector<Handler> undecided;
  for (Handler& handler : std::exchange(state.waiting, {})) {
    switch (m_gate.decide(*state.account, now)) {
      case AllowanceVerdict::Admit:
        ++m_counters.admitted;
        ++state.unsent;
        m_unsent.insert(name);
        handler({});
        break;
      case AllowanceVerdict::Deny:
        ++m_counters.denied_again;
        deny(name, handler, now);
        break;
      case AllowanceVerdict::Ask:
        undecided.push_back(std::move(handler));
        break;
    }
  }
  // A handler may have added requests.
  state.waiting.insert(state.waiting.begin(),
                       std::make_move_iterator(undecided.begin()),
                       std::make_move_iterator(undecided.end()));
  // One question at a time, which then asks for all requests that have arrived meanwhile: a host
  // with a backlog would otherwise send a message for each of them.
  if (!state.waiting.empty() && state.asked.empty()) {
    ask(name, now);
  }
  send_reports(now);
}

void
AllowanceClient::deny(const std::string& name, const Handler& handler, TimePoint now)
{
  const AllowanceGate::Denial denial = m_gate.denial(name, now, m_random);
  handler({ .outcome = denial.over ? Outcome::Denied : Outcome::Unknown, .retry = denial.retry });
}

AccountRequests
AllowanceClient::take_unsent(const std::string& name, Account& state)
{
  return { .account = name,
           .limit = { .rate = state.account->rate,
                      .burst = state.account->burst,
                      .version = state.version },
           .used = std::exchange(state.unsent, 0),
           .repeated = std::exchange(state.repeated, 0) };
}

// Without contact to control, the question goes through another entry host at once: waiting for the
// control hosts would cost each caller two timeouts.
std::optional<AllowanceClient::Target>
AllowanceClient::select_target(const std::string& name, TimePoint now)
{
  if (m_options.peer && !m_gate.in_contact(now)) {
    m_peer = m_peer.empty() ? m_options.peer() : m_peer;
    if (!m_peer.empty()) {
      return Target{ .address = m_peer, .relayed = true };
    }
  }
  const std::string limiter = m_selection.select(name, now);
  return limiter.empty() ? std::nullopt : std::optional(Target{ .address = limiter });
}

void
AllowanceClient::ask(const std::string& name, TimePoint now)
{
  const auto target = select_target(name, now);
  if (!target) {
    give_up(name, now);
    return;
  }
  Account& state = m_accounts[name];
  state.asked = std::exchange(state.waiting, {});
  AccountRequests requests = take_unsent(name, state);
  requests.wanted = static_cast<unsigned>(state.asked.size());
  m_unsent.erase(name);
  send(*target, { std::move(requests) }, now);
}

void
AllowanceClient::send(const Target& target, std::vector<AccountRequests> accounts, TimePoint now)
{
  const std::uint64_t id = m_numbers.next();
  const AllowanceQuery query{ .id = id, .accounts = accounts };
  m_sent[id] = { .target = target,
                 .accounts = std::move(accounts),
                 .expires = now + m_options.timeout };
  ++m_counters.queries;
  m_counters.relayed += target.relayed ? 1 : 0;
  m_send(target.address, query);
}

void
AllowanceClient::send_reports(TimePoint now)
{
  m_next_report = TimePoint::max();
  std::map<std::string, std::vector<AccountRequests>> reports;
  for (const std::string& name : std::set<std::string>(m_unsent)) {
    const auto target = select_target(name, now);
    if (!target) {
      give_up(name, now);
      continue;
    }
    const TimePoint due = m_report_at[target->address];
    if (now < due) {
      m_next_report = std::min(m_next_report, due);
      continue;
    }
    m_unsent.erase(name);
    if (target->relayed) {
      // Accounts have different control hosts, so a message to another entry host holds one.
      send(*target, { take_unsent(name, m_accounts[name]) }, now);
    } else {
      reports[target->address].push_back(take_unsent(name, m_accounts[name]));
    }
  }
  for (auto& [limiter, accounts] : reports) {
    m_report_at[limiter] = now + m_options.report_interval;
    send({ .address = limiter }, std::move(accounts), now);
  }
}

// No control host answers: what was admitted can't be reported, and the rest is decided locally.
void
AllowanceClient::give_up(const std::string& name, TimePoint now)
{
  m_gate.unanswered(name);
  Account& state = m_accounts[name];
  state.unsent = 0;
  state.repeated = 0;
  m_unsent.erase(name);
  set_local(true);
  const std::shared_ptr<const ClientAccount> account = state.account;
  for (const Handler& handler : std::exchange(state.waiting, {})) {
    const bool admitted = m_gate.admit_locally(*account, now, m_random);
    ++(admitted ? m_counters.admitted_locally : m_counters.refused_locally);
    handler(admitted
              ? AllowanceDecision{}
              : AllowanceDecision{ .outcome = Outcome::Unknown, .retry = m_options.unknown_retry });
  }
}

// Sends the requests to the other responsible control host, or gives up.
void
AllowanceClient::retry(const AccountRequests& requests, TimePoint now)
{
  m_gate.unanswered(requests.account);
  Account& state = m_accounts[requests.account];
  state.unsent += requests.used;
  state.repeated += requests.used;
  if (state.unsent > 0) {
    m_unsent.insert(requests.account);
  }
  if (requests.wanted > 0) {
    state.wait_again();
    ask(requests.account, now);
  }
}

void
AllowanceClient::resolve(const AccountRequests& requests,
                         const AllowanceAnswer& answer,
                         TimePoint now)
{
  m_gate.confirm(requests.account, requests.used, answer.granted, now);
  m_gate.apply(requests.account, answer, now);
  set_local(false);
  if (requests.wanted == 0) {
    return;
  }
  std::size_t granted = answer.granted;
  for (const Handler& handler : std::exchange(m_accounts[requests.account].asked, {})) {
    if (granted > 0) {
      --granted;
      ++m_counters.granted;
      handler({});
    } else {
      ++(answer.over ? m_counters.denied : m_counters.unknown);
      deny(requests.account, handler, now);
    }
  }
  decide_waiting(requests.account, now);
}

void
AllowanceClient::receive(const AllowanceReply& reply, TimePoint now)
{
  const auto found = m_sent.find(reply.id);
  if (found == m_sent.end()) {
    return;
  }
  const Sent sent = std::move(found->second);
  m_sent.erase(found);
  if (reply.hosts > 0) {
    m_known_hosts = reply.hosts;
    update_hosts();
  }
  const auto item_of = [&](const std::string& account) {
    return std::find_if(reply.accounts.begin(), reply.accounts.end(), [&](const auto& item) {
      return item.account == account && item.responsible;
    });
  };
  const bool responsible =
    std::all_of(sent.accounts.begin(), sent.accounts.end(), [&](const auto& requests) {
      return item_of(requests.account) != reply.accounts.end();
    });
  if (sent.target.relayed && !responsible) {
    fail(sent, now);
    return;
  }
  if (!sent.target.relayed) {
    if (responsible) {
      m_selection.answered(sent.target.address);
    } else {
      m_selection.timed_out(sent.target.address, now);
    }
  }
  for (const AccountRequests& requests : sent.accounts) {
    const auto item = item_of(requests.account);
    if (item == reply.accounts.end()) {
      retry(requests, now);
    } else {
      resolve(requests, item->answer, now);
    }
  }
  send_reports(now);
}

void
AllowanceClient::receive(const RestrictedAccounts& message, TimePoint now)
{
  m_gate.set_restricted(message.accounts, now);
}

void
AllowanceClient::tick(TimePoint now)
{
  while (!m_sent.empty() && m_sent.begin()->second.expires <= now) {
    const Sent sent = std::move(m_sent.begin()->second);
    m_sent.erase(m_sent.begin());
    ++m_counters.timeouts;
    fail(sent, now);
  }
  send_reports(now);
}

// Another control host is tried. Another entry host is not, as the request has waited long enough.
void
AllowanceClient::fail(const Sent& sent, TimePoint now)
{
  if (!sent.target.relayed) {
    m_selection.timed_out(sent.target.address, now);
    for (const AccountRequests& requests : sent.accounts) {
      retry(requests, now);
    }
    return;
  }
  if (m_peer == sent.target.address) {
    m_peer.clear();
  }
  for (const AccountRequests& requests : sent.accounts) {
    if (requests.wanted > 0) {
      m_accounts[requests.account].wait_again();
    }
    give_up(requests.account, now);
  }
}

TimePoint
AllowanceClient::next_tick() const
{
  return m_sent.empty() ? m_next_report : std::min(m_next_report, m_sent.begin()->second.expires);
}

void
AllowanceClient::set_local(bool local)
{
  if (std::exchange(m_local, local) != local && m_options.report) {
    m_options.report(local ? "allowance_local_begins" : "allowance_local_ends",
                     { { "admitted", std::to_string(m_counters.admitted_locally) },
                       { "refused", std::to_string(m_counters.refused_locally) } });
  }
}

void
AllowanceClient::expire(TimePoint now)
{
  m_expired_at = now;
  m_gate.expire(now);
  std::erase_if(m_accounts, [&](const auto& entry) {
    const Account& state = entry.second;
    return now - state.last_request >= m_options.gate.retention && state.asked.empty() &&
           state.waiting.empty() && state.unsent == 0;
  });
}

} // namespace lovagehold
