#include "overflow_board.h"

#include "lovagehold/domain_choice.h"

#include <fmt/format.h>

namespace lovagehold {

namespace {

// Interval of the decisions and of the messages to the leader.
constexpr std::chrono::milliseconds kInterval{ 500 };
// Unchanged shares are sent again after this time; hosts don't use them for longer than
// DomainChoice::kMaxAge.
constexpr std::chrono::milliseconds kRepeatInterval{ 1000 };
// A new leader decides after this time, when the reports of all control hosts have arrived. The
// shares of the last leader stay in force meanwhile.
constexpr std::chrono::milliseconds kFirstDecision{ 1200 };
// A domain whose reports have ceased without notice gets no requests for this time. It is then
// treated like one without traffic.
constexpr std::chrono::seconds kSilence{ 60 };
// An entry host is sent the shares of the services that it has reported within this time. A host
// with few requests of a service must decide like the others when the next one arrives.
constexpr std::chrono::seconds kSubscription{ 60 };

std::chrono::milliseconds
to_milliseconds(Duration duration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

std::string
describe(const std::map<std::string, double>& row)
{
  std::string text;
  for (const auto& [receiver, share] : row) {
    text += fmt::format("{}{}:{:.2f}", text.empty() ? "" : ",", receiver, share);
  }
  return text;
}

} // namespace

OverflowBoard::OverflowBoard(bool enabled,
                             std::string address,
                             Report report,
                             DomainOverflowOptions options)
  : m_enabled(enabled)
  , m_address(std::move(address))
  , m_report(std::move(report))
  , m_options(options)
  , m_overflow(options)
{
}

bool
OverflowBoard::receive(const std::string& from, const ClusterMessage& message, TimePoint now)
{
  if (const auto* load = std::get_if<DomainLoad>(&message)) {
    if (m_enabled) {
      m_loads[from] = { .load = *load, .received = now };
      subscribe(from, *load, now);
    }
    return true;
  }
  if (const auto* shares = std::get_if<DomainShares>(&message)) {
    // A deposed leader may go on for a moment.
    const bool outdated = shares->term < m_shares.term && has_fresh_shares(now);
    if (m_enabled && !m_leads_since && !outdated) {
      m_shares = *shares;
      m_decided_at = now - shares->age;
    }
    return true;
  }
  return false;
}

void
OverflowBoard::subscribe(const std::string& from, const DomainLoad& load, TimePoint now)
{
  if (load.combined || load.loads.empty()) {
    return;
  }
  const auto& [domain, services] = *load.loads.begin();
  Subscriber& subscriber = m_subscribers[from];
  subscriber.domain = domain;
  for (const auto& [service, unused] : services) {
    subscriber.services[service] = now;
  }
}

std::vector<OverflowBoard::Outgoing>
OverflowBoard::tick(const std::function<Group()>& group, TimePoint now)
{
  std::vector<Outgoing> messages;
  if (!m_enabled) {
    return messages;
  }
  if (now - m_ticked_at < kInterval) {
    send_to_entry_hosts(messages, now);
    return messages;
  }
  m_ticked_at = now;
  expire(now);
  const Group state = group();
  if (state.leads) {
    decide(state, now);
    send_to_members(state, messages, now);
  } else {
    m_leads_since.reset();
    m_reasons.clear();
    send_to_leader(state, messages, now);
  }
  send_to_entry_hosts(messages, now);
  return messages;
}

Duration
OverflowBoard::age_of(const ReceivedLoad& report, TimePoint now) const
{
  std::chrono::milliseconds age{ 0 };
  for (const auto& [domain, services] : report.load.loads) {
    for (const auto& [service, load] : services) {
      age = std::max(age, load.age);
    }
  }
  return now - report.received + age;
}

OverflowBoard::DomainLoads
OverflowBoard::sum_loads(bool with_combined, TimePoint now) const
{
  DomainLoads sums;
  for (const auto& [from, report] : m_loads) {
    if (age_of(report, now) > m_options.max_age || (report.load.combined && !with_combined)) {
      continue;
    }
    for (const auto& [domain, services] : report.load.loads) {
      for (const auto& [service, reported] : services) {
        DomainServiceLoad load = reported;
        load.age += to_milliseconds(now - report.received);
        add_load(sums[domain][service], load);
      }
    }
  }
  return sums;
}

// A domain whose hosts have all fallen silent is probably cut off. It is part of the decision with
// an old load, so that nothing is sent to it.
void
OverflowBoard::add_silent_domains(DomainLoads& loads, TimePoint now) const
{
  DomainLoads silent;
  for (const auto& [from, report] : m_loads) {
    for (const auto& [domain, services] : report.load.loads) {
      if (loads.count(domain) > 0) {
        continue;
      }
      for (const auto& [service, reported] : services) {
        DomainServiceLoad load = reported;
        load.age = to_milliseconds(age_of(report, now));
        add_load(silent[domain][service], load);
      }
    }
  }
  loads.merge(silent);
}

void
OverflowBoard::decide(const Group& group, TimePoint now)
{
  if (!m_leads_since) {
    m_leads_since = now;
    if (has_fresh_shares(now)) {
      for (const ServiceShares& shares : m_shares.services) {
        m_overflow.adopt(shares);
      }
    }
  }
  if (now - *m_leads_since < kFirstDecision) {
    return;
  }
  DomainLoads by_domain = sum_loads(true, now);
  add_silent_domains(by_domain, now);
  std::map<ServiceName, DomainOverflow::Loads> by_service;
  for (const auto& [domain, services] : by_domain) {
    for (const auto& [service, load] : services) {
      by_service[service][domain] = load;
    }
  }
  m_shares = { .term = group.term };
  m_decided_at = now;
  for (const auto& [service, loads] : by_service) {
    const ServiceShares shares = m_overflow.decide(service, loads, now);
    report_reasons(shares);
    if (!shares.domains.empty()) {
      m_shares.services.push_back(shares);
    }
  }
  m_overflow.expire(now);
}

// Whether a domain's requests leave and why is logged when it changes, not each change of a share.
void
OverflowBoard::report_reasons(const ServiceShares& shares)
{
  for (const auto& [domain, reason] : m_overflow.reasons(shares.service)) {
    const auto [entry, is_new] = m_reasons.try_emplace({ shares.service, domain }, reason);
    const bool unremarkable = reason == OverflowReason::Home || reason == OverflowReason::Unknown;
    if ((is_new && unremarkable) || (!is_new && entry->second == reason)) {
      continue;
    }
    entry->second = reason;
    const auto row = shares.leaving.find(domain);
    m_report("domain_overflow",
             { { "service", shares.service },
               { "domain", domain },
               { "reason", to_string(reason) },
               { "shares", row == shares.leaving.end() ? "" : describe(row->second) } });
  }
}

// The last report before a pause is empty, as those of entry hosts. If entry hosts have fallen
// silent there is none.
void
OverflowBoard::send_to_leader(const Group& group, std::vector<Outgoing>& messages, TimePoint now)
{
  DomainLoad message{ .combined = true, .loads = sum_loads(false, now) };
  const bool empty = message.loads.empty();
  const bool silent = empty && std::any_of(m_loads.begin(), m_loads.end(), [](const auto& entry) {
                        return !entry.second.load.combined && !entry.second.load.loads.empty();
                      });
  if (group.leader.empty() || group.leader == m_address || silent || (empty && !m_reported)) {
    return;
  }
  m_reported = !empty;
  messages.push_back({ group.leader, std::move(message) });
}

void
OverflowBoard::send_to_members(const Group& group, std::vector<Outgoing>& messages, TimePoint now)
{
  const bool repeated = m_shares.services == m_sent_to_members.services;
  if (!has_fresh_shares(now) || m_decided_at != now ||
      (repeated && now - m_sent_to_members.decided < kRepeatInterval)) {
    return;
  }
  if (m_shares.services.empty() && repeated) {
    return;
  }
  m_sent_to_members = { .services = m_shares.services, .decided = m_decided_at };
  for (const std::string& member : group.members) {
    if (member != m_address) {
      messages.push_back({ member, m_shares });
    }
  }
}

DomainShares
OverflowBoard::shares_for(const Subscriber& subscriber, TimePoint now) const
{
  DomainShares message{ .term = m_shares.term, .age = to_milliseconds(now - m_decided_at) };
  for (const ServiceShares& shares : m_shares.services) {
    if (subscriber.services.count(shares.service) == 0) {
      continue;
    }
    message.services.push_back({ .service = shares.service, .domains = shares.domains });
    const auto row = shares.leaving.find(subscriber.domain);
    if (row != shares.leaving.end()) {
      message.services.back().leaving[subscriber.domain] = row->second;
    }
    const auto spare = shares.spare.find(subscriber.domain);
    if (spare != shares.spare.end()) {
      message.services.back().spare[subscriber.domain] = spare->second;
    }
  }
  return message;
}

void
OverflowBoard::send_to_entry_hosts(std::vector<Outgoing>& messages, TimePoint now)
{
  const bool is_new = m_decided_at != m_passed_on;
  if (!is_new || !has_fresh_shares(now)) {
    return;
  }
  m_passed_on = m_decided_at;
  for (auto& [address, subscriber] : m_subscribers) {
    DomainShares message = shares_for(subscriber, now);
    SentShares& sent = subscriber.sent;
    const bool repeated = message.services == sent.services;
    if (message.services.empty() || (repeated && m_decided_at - sent.decided < kRepeatInterval)) {
      continue;
    }
    sent = { .services = message.services, .decided = m_decided_at };
    messages.push_back({ address, std::move(message) });
  }
}

void
OverflowBoard::expire(TimePoint now)
{
  std::erase_if(m_loads, [&](const auto& entry) {
    const bool withdrawn = entry.second.load.loads.empty();
    return now - entry.second.received >= (withdrawn ? Duration(m_options.max_age) : kSilence);
  });
  for (auto& [address, subscriber] : m_subscribers) {
    std::erase_if(subscriber.services,
                  [&](const auto& entry) { return now - entry.second >= kSubscription; });
  }
  std::erase_if(m_subscribers, [](const auto& entry) { return entry.second.services.empty(); });
}

bool
OverflowBoard::has_fresh_shares(TimePoint now) const
{
  return now - m_decided_at < DomainChoice::kMaxAge;
}

std::string
OverflowBoard::render_metrics(TimePoint now) const
{
  if (!m_enabled) {
    return "";
  }
  MetricsText text;
  text.begin("lovagehold_domain_share",
             "gauge",
             "Share of a service's requests that leaves its failure domain for another one.");
  for (const ServiceShares& shares : m_shares.services) {
    for (const auto& [sender, row] : shares.leaving) {
      for (const auto& [receiver, share] : row) {
        text.sample({ { "service", shares.service }, { "domain", sender }, { "to", receiver } },
                    has_fresh_shares(now) ? share : 0);
      }
    }
  }
  text.begin("lovagehold_domain_overflow",
             "gauge",
             "1 for the reason of the present shares. Served by the leader only.");
  for (const auto& [key, reason] : m_reasons) {
    text.sample(
      { { "service", key.first }, { "domain", key.second }, { "reason", to_string(reason) } }, 1);
  }
  text.begin("lovagehold_domain_load_reports",
             "gauge",
             "Entry and control hosts whose load reports this host uses.");
  const auto fresh = std::count_if(m_loads.begin(), m_loads.end(), [&](const auto& entry) {
    return age_of(entry.second, now) <= m_options.max_age;
  });
  text.sample({}, static_cast<double>(fresh));
  return text.text();
}

OverflowBoard::Group
overflow_group(const Replica& replica)
{
  const ReplicaStatus status = replica.status();
  OverflowBoard::Group group{ .leads = replica.leads(),
                              .term = status.term,
                              .leader = status.leader_address };
  for (const Member& member : status.membership) {
    group.members.push_back(member.address);
  }
  return group;
}

} // namespace lovagehold
