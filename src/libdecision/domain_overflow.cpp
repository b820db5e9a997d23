#include "lovagehold/domain_overflow.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lovagehold {

namespace {

// Services without a decision for this time are forgotten.
constexpr std::chrono::minutes kRetention{ 1 };
// Shares below this are 0: they result from rounding.
constexpr double kNoShare = 1e-6;
// A decision after a longer pause counts as one after this time.
constexpr double kMaxInterval = 1;
// In seconds. Keeps the cost of a move finite for very short requests.
constexpr double kMinRequestTime = 1e-3;

double
seconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

void
approach_mean(double& mean, double value, double weight)
{
  mean += (value - mean) * weight;
}

double
sum(const std::map<std::string, double>& shares)
{
  return std::accumulate(shares.begin(), shares.end(), 0.0, [](double total, const auto& entry) {
    return total + entry.second;
  });
}

} // namespace

void
add_load(DomainServiceLoad& sum, const DomainServiceLoad& load)
{
  sum.hosts += load.hosts;
  sum.listed += load.listed;
  sum.unusable += load.unusable;
  sum.usable += load.usable;
  sum.busy += load.busy;
  sum.demand += load.demand;
  sum.requests += load.requests;
  sum.bytes += load.bytes;
  for (const auto& [domain, attempts] : load.attempts) {
    sum.attempts[domain].attempts += attempts.attempts;
    sum.attempts[domain].failed += attempts.failed;
  }
  sum.age = std::max(sum.age, load.age);
}

const char*
to_string(OverflowReason reason)
{
  switch (reason) {
    case OverflowReason::Home:
      return "home";
    case OverflowReason::Overloaded:
      return "overloaded";
    case OverflowReason::Emptied:
      return "emptied";
    case OverflowReason::Full:
      return "full";
    case OverflowReason::Costly:
      return "costly";
    case OverflowReason::Unknown:
      break;
  }
  return "unknown";
}

// The hosts' lists of servers agree, so their mean is the list. What they know of the load differs:
// the ratio of its sums estimates the load of all servers, and the sum of the slots with fresh
// reports is an upper limit of the slots whose load is known at all. With little traffic there are
// moments without a fresh report; the last load then counts for as long as a report would.
void
DomainOverflow::update(Domain& domain,
                       const DomainServiceLoad& load,
                       double weight,
                       TimePoint now) const
{
  const double hosts = std::max(1.0, load.hosts);
  const double listed = load.listed / hosts;
  const double unusable = load.unusable / hosts;
  const bool was_emptied = domain.emptied;
  const bool emptied =
    load.hosts > 0 && load.usable <= 0 && unusable >= m_options.emptied_share * listed;
  domain.fresh = load.age <= m_options.max_age;
  if (domain.fresh && (emptied || load.usable > 0)) {
    domain.known_at = now;
  }
  domain.known = domain.fresh && domain.known_at && now - *domain.known_at <= m_options.max_age;
  if (!domain.known) {
    domain.emptied = false;
    return;
  }
  approach_mean(domain.in_progress, load.demand, weight);
  approach_mean(domain.requests, load.requests, weight);
  if (*domain.known_at != now) {
    return;
  }
  domain.emptied = emptied;
  const double capacity =
    domain.emptied ? 0 : std::min(std::max(0.0, listed - unusable), load.usable);
  const double busy = load.usable > 0 ? capacity * load.busy / load.usable : 0;
  const double capacity_weight = was_emptied || domain.emptied ? 1 : weight;
  approach_mean(domain.capacity, capacity, capacity_weight);
  approach_mean(domain.busy, busy, weight);
  approach_mean(domain.bytes, load.bytes, weight);
  for (const auto& [name, attempts] : load.attempts) {
    domain.attempts.try_emplace(name);
  }
  for (auto& [name, mean] : domain.attempts) {
    const auto found = load.attempts.find(name);
    const DomainAttempts latest = found == load.attempts.end() ? DomainAttempts{} : found->second;
    approach_mean(mean.attempts, latest.attempts, weight);
    approach_mean(mean.failed, latest.failed, weight);
  }
}

// Requests that fail at the own servers too fail because of their content or of the service, not of
// the link.
void
DomainOverflow::update_links(const std::string& name, Domain& domain, TimePoint now) const
{
  const auto failed_share = [](const DomainAttempts& mean) {
    return mean.attempts > 0 ? mean.failed / mean.attempts : 0;
  };
  const double usual = failed_share(domain.attempts[name]);
  for (auto& [other, mean] : domain.attempts) {
    if (other != name && mean.attempts >= m_options.min_attempts &&
        failed_share(mean) > usual + m_options.lossy_excess) {
      domain.lossy_until[other] = now + m_options.lossy_pause;
      mean = {};
    }
  }
}

// Requests that wait or that share a busy server take longer, so the requests in progress of an
// overloaded domain exceed what would be in progress elsewhere. The demand is therefore computed
// from the time that requests take where there is room.
void
DomainOverflow::update_demand(Service& service, double elapsed) const
{
  double in_progress = 0;
  double requests = 0;
  for (const auto& [name, domain] : service.domains) {
    if (domain.known && domain.busy <= m_options.receive_use * domain.capacity) {
      in_progress += domain.in_progress;
      requests += domain.requests;
    }
  }
  if (requests > 0) {
    const double weight =
      service.request_time ? 1 - std::exp(-elapsed / seconds(m_options.time_smoothing)) : 1;
    const double latest = in_progress / requests;
    service.request_time = service.request_time.value_or(0);
    approach_mean(*service.request_time, latest, weight);
  }
  for (auto& [name, domain] : service.domains) {
    domain.demand =
      service.request_time ? domain.requests * *service.request_time : domain.in_progress;
    const double request_time = std::max(kMinRequestTime, service.request_time.value_or(0));
    const double bytes = domain.requests > 0 ? domain.bytes / domain.requests : 0;
    domain.move_cost = 2 * seconds(m_options.delay) / request_time +
                       std::min(m_options.max_byte_cost, m_options.cost_per_byte * bytes);
  }
}

void
DomainOverflow::update_received(Service& service, double weight) const
{
  std::map<std::string, double> received;
  for (const auto& [sender, shares] : service.leaving) {
    for (const auto& [receiver, share] : shares) {
      received[receiver] += share * service.domains[sender].demand;
    }
  }
  for (auto& [name, domain] : service.domains) {
    approach_mean(domain.received, received[name], weight);
  }
}

// The use at which another request gains by leaving what the move costs.
double
DomainOverflow::start_use(const Domain& sender) const
{
  const double max_gain = m_options.full_slowdown - 1;
  return sender.move_cost <= max_gain
           ? m_options.full_use + (1 - m_options.full_use) * sender.move_cost / max_gain
           : 1 + (sender.move_cost - max_gain) / m_options.queue_cost;
}

// As many requests leave as bring the use below start_use() by the distance between full_use and
// receive_use, so that a varying load doesn't start and end the overflow in turn.
double
DomainOverflow::keep_use(const Domain& sender) const
{
  return start_use(sender) - (m_options.full_use - m_options.receive_use);
}

double
DomainOverflow::sent_by(const Service& service, const std::string& name)
{
  const auto row = service.leaving.find(name);
  return row == service.leaving.end() ? 0 : sum(row->second) * service.domains.at(name).demand;
}

// The servers may be slower than those of the other domains, or serve others too. What they report
// shows that, once it reflects the shares in force. Half the difference is corrected each time,
// because a request may count several times as much at slow servers.
void
DomainOverflow::update_relief(Service& service, TimePoint now) const
{
  for (auto& [name, domain] : service.domains) {
    const double own_busy = domain.busy - domain.received;
    const double busy_excess = own_busy - keep_use(domain) * domain.capacity;
    const double band = (m_options.full_use - m_options.receive_use) * domain.capacity;
    domain.has_spare = busy_excess < -band;
    const bool settled = now - domain.changed_at >= m_options.settling;
    if (settled && domain.demand > 0 && (busy_excess > band || domain.has_spare)) {
      const double sent = sent_by(service, name) + busy_excess / 2;
      domain.relief = std::clamp(sent / domain.demand, 0.0, 1.0);
    }
  }
}

// The demand that should leave.
double
DomainOverflow::need(const Service& service, const std::string& name) const
{
  const Domain& sender = service.domains.at(name);
  if (!sender.known || sender.emptied) {
    return sender.known ? sender.demand : 0;
  }
  const double sent = sent_by(service, name);
  const double excess = sender.demand - keep_use(sender) * sender.capacity;
  if (sent > 0 || sender.relief > 0) {
    const double relief = sender.relief * sender.demand;
    return std::max(
      { 0.0, excess, sender.has_spare ? std::min(sent, relief) : std::max(sent, relief) });
  }
  return sender.demand > start_use(sender) * sender.capacity ? excess : 0;
}

// The demand of the own callers comes first, wherever it is served at present.
double
DomainOverflow::free_capacity(const Domain& receiver) const
{
  if (!receiver.known || receiver.emptied) {
    return 0;
  }
  const double own = std::max(receiver.demand, receiver.busy - receiver.received);
  return std::max(0.0, m_options.receive_use * receiver.capacity - own);
}

bool
DomainOverflow::may_receive(const Service& service,
                            const std::string& sender,
                            const std::string& receiver,
                            TimePoint now) const
{
  const Domain& from = service.domains.at(sender);
  const auto lossy = from.lossy_until.find(receiver);
  const auto found = service.domains.find(receiver);
  return sender != receiver && found != service.domains.end() && found->second.known &&
         !found->second.emptied && (lossy == from.lossy_until.end() || now >= lossy->second);
}

// Distributes what should leave in proportion to the free capacity.
std::map<std::string, DomainOverflow::Shares>
DomainOverflow::targets(Service& service, TimePoint now) const
{
  std::map<std::string, Shares> moved;
  Shares arriving;
  for (auto& [sender, domain] : service.domains) {
    const double wanted = need(service, sender);
    const bool overloaded =
      domain.known && !domain.emptied && domain.demand > m_options.full_use * domain.capacity;
    domain.reason = !domain.known    ? OverflowReason::Unknown
                    : domain.emptied ? OverflowReason::Emptied
                    : wanted > 0     ? OverflowReason::Overloaded
                    : overloaded     ? OverflowReason::Costly
                                     : OverflowReason::Home;
    if (wanted <= 0 || domain.demand <= 0) {
      continue;
    }
    Shares free;
    for (const auto& [receiver, other] : service.domains) {
      const double capacity = free_capacity(other);
      if (capacity > 0 && may_receive(service, sender, receiver, now)) {
        free[receiver] = capacity;
      }
    }
    const double total = sum(free);
    for (const auto& [receiver, capacity] : free) {
      const double amount = std::min(wanted, total) * capacity / total;
      moved[sender][receiver] = amount;
      arriving[receiver] += amount;
    }
    if (free.empty()) {
      domain.reason = OverflowReason::Full;
    }
  }
  for (auto& [sender, amounts] : moved) {
    for (auto& [receiver, amount] : amounts) {
      const double capacity = free_capacity(service.domains.at(receiver));
      amount *= std::min(1.0, capacity / arriving.at(receiver));
      amount = std::min(1.0, amount / service.domains.at(sender).demand);
    }
  }
  return moved;
}

// A domain that receives requests has no spare ones to send to, as it must not send.
std::map<std::string, std::set<std::string>>
DomainOverflow::find_spare(const Service& service, TimePoint now) const
{
  std::map<std::string, std::set<std::string>> spare;
  for (const auto& [sender, domain] : service.domains) {
    if (!domain.known || receives(service, sender)) {
      continue;
    }
    for (const auto& [receiver, other] : service.domains) {
      if (service.leaving.count(receiver) == 0 && free_capacity(other) > 0 &&
          may_receive(service, sender, receiver, now)) {
        spare[sender].insert(receiver);
      }
    }
  }
  return spare;
}

bool
DomainOverflow::receives(const Service& service, const std::string& domain)
{
  return std::any_of(service.leaving.begin(), service.leaving.end(), [&](const auto& entry) {
    return entry.second.count(domain) > 0;
  });
}

// Moves the shares of a sender towards their targets by at most \p step in total.
void
DomainOverflow::approach(Service& service,
                         const std::string& sender,
                         const Shares& target,
                         double step,
                         TimePoint now) const
{
  Domain& domain = service.domains.at(sender);
  const bool may_send = !receives(service, sender);
  Shares& current = service.leaving[sender];
  Shares changes;
  double raised = 0;
  double lowered = 0;
  for (const auto& [receiver, other] : service.domains) {
    if (!may_receive(service, sender, receiver, now)) {
      current.erase(receiver);
      continue;
    }
    const auto wanted = target.find(receiver);
    const double goal = wanted == target.end() ? 0 : wanted->second;
    double change = goal - (current.count(receiver) > 0 ? current.at(receiver) : 0);
    const auto sends = service.leaving.find(receiver);
    const bool receiver_sends = sends != service.leaving.end() && !sends->second.empty();
    const bool blocked = change > 0 && (!may_send || receiver_sends);
    const bool small = goal > 0 && std::abs(change) < m_options.min_change && !domain.emptied;
    if (blocked || small) {
      change = 0;
    }
    changes[receiver] = change;
    (change > 0 ? raised : lowered) += std::abs(change);
  }
  const double largest = std::max(raised, lowered);
  if (largest > 0) {
    domain.changed_at = now;
  }
  const double factor = domain.emptied || largest <= step ? 1 : step / largest;
  for (const auto& [receiver, change] : changes) {
    current[receiver] += factor * change;
  }
  std::erase_if(current, [](const auto& entry) { return entry.second < kNoShare; });
  const double total = sum(current);
  for (auto& [receiver, share] : current) {
    share /= std::max(1.0, total);
  }
}

ServiceShares
DomainOverflow::decide(const ServiceName& name, const Loads& loads, TimePoint now)
{
  Service& service = m_services[name];
  const double elapsed = std::clamp(seconds(now - service.decided_at), 0.0, kMaxInterval);
  service.decided_at = now;
  const double weight = 1 - std::exp(-elapsed / seconds(m_options.smoothing));
  for (auto& [domain_name, domain] : service.domains) {
    if (loads.count(domain_name) == 0) {
      update(domain, {}, weight, now);
    }
  }
  for (const auto& [domain_name, load] : loads) {
    const auto [entry, is_new] = service.domains.try_emplace(domain_name);
    update(entry->second, load, is_new ? 1 : weight, now);
    update_links(domain_name, entry->second, now);
  }
  std::erase_if(service.domains, [&](const auto& entry) {
    return loads.count(entry.first) == 0 && !entry.second.known;
  });
  std::erase_if(service.leaving,
                [&](const auto& entry) { return service.domains.count(entry.first) == 0; });
  update_demand(service, elapsed);
  update_received(service, weight);
  update_relief(service, now);
  ServiceShares result{ .service = name };
  std::size_t known = 0;
  for (const auto& [domain_name, domain] : service.domains) {
    known += domain.known ? 1 : 0;
    // A domain that reports but whose load is not known is left to the choice of each request.
    if (domain.known || !domain.fresh) {
      result.domains.push_back(domain_name);
    }
  }
  if (known == 0 || result.domains.size() < 2) {
    service.leaving.clear();
    for (auto& [domain_name, domain] : service.domains) {
      domain.reason = OverflowReason::Unknown;
    }
    return { .service = name };
  }
  const std::map<std::string, Shares> target = targets(service, now);
  // An emptied domain can't wait until a receiver has taken its own requests back in steps, and the
  // receiver has room for them.
  for (const auto& [sender, shares] : target) {
    if (service.domains.at(sender).emptied) {
      for (const auto& [receiver, share] : shares) {
        service.leaving.erase(receiver);
      }
    }
  }
  const double step = m_options.step_per_second * elapsed;
  for (const auto& [sender, domain] : service.domains) {
    if (!domain.known) {
      service.leaving.erase(sender);
      continue;
    }
    const auto found = target.find(sender);
    approach(service, sender, found == target.end() ? Shares{} : found->second, step, now);
  }
  std::erase_if(service.leaving, [](const auto& entry) { return entry.second.empty(); });
  result.leaving = service.leaving;
  result.spare = find_spare(service, now);
  return result;
}

std::map<std::string, OverflowReason>
DomainOverflow::reasons(const ServiceName& service) const
{
  std::map<std::string, OverflowReason> reasons;
  const auto found = m_services.find(service);
  if (found != m_services.end()) {
    for (const auto& [name, domain] : found->second.domains) {
      reasons[name] = domain.reason;
    }
  }
  return reasons;
}

void
DomainOverflow::expire(TimePoint now)
{
  std::erase_if(m_services,
                [&](const auto& entry) { return now - entry.second.decided_at >= kRetention; });
}

} // namespace lovagehold
