#include "group_model.h"

#include <algorithm>
#include <sstream>

namespace lovagehold::testing {

namespace {

/// An acknowledged version is in force at all entry hosts after this time.
constexpr milliseconds kInForceWithin{ 2000 };
/// A change is acknowledged this long after the last fault began or ended, however many hosts of
/// those that the group has to tolerate are lost.
constexpr milliseconds kAcknowledgedWithin{ 4000 };
/// The same once no host counts as lost.
constexpr milliseconds kAcknowledgedWhenCalm{ 2000 };
/// Time within which a confirmed read succeeds at each control host then.
constexpr milliseconds kReadWhenCalm{ 2000 };
constexpr milliseconds kFormedWithin{ 10000 };
constexpr milliseconds kMaxWait{ 60000 };
constexpr milliseconds kTriggerWait{ 2000 };
constexpr milliseconds kReadInterval{ 300 };
/// Processes that are started together start within this time.
constexpr milliseconds kStartSpread{ 300 };
constexpr milliseconds kSlowSync{ 200 };
/// How long a leader is frozen for another host to be elected.
constexpr milliseconds kFreezeForElection{ 3000 };
constexpr std::size_t kMaxSeeds = 3;

const char*
to_string(FaultKind kind)
{
  switch (kind) {
    case FaultKind::Restart:
      return "Restart";
    case FaultKind::PowerLoss:
      return "PowerLoss";
    case FaultKind::LostDisk:
      return "LostDisk";
    case FaultKind::Replace:
      return "Replace";
    case FaultKind::Freeze:
      return "Freeze";
    case FaultKind::CutOff:
      return "CutOff";
    case FaultKind::Deaf:
      return "Deaf";
    case FaultKind::Mute:
      return "Mute";
    case FaultKind::SlowDisk:
      return "SlowDisk";
    case FaultKind::ResetLinks:
      return "ResetLinks";
    case FaultKind::ExchangeSeeds:
      return "ExchangeSeeds";
    case FaultKind::PowerForAll:
      return "PowerForAll";
  }
  return "";
}

const char*
to_string(FaultTarget target)
{
  switch (target) {
    case FaultTarget::Any:
      return "Any";
    case FaultTarget::Leader:
      return "Leader";
    case FaultTarget::Seed:
      return "Seed";
    case FaultTarget::Other:
      return "Other";
  }
  return "";
}

const char*
to_string(FaultTrigger trigger)
{
  switch (trigger) {
    case FaultTrigger::None:
      return "None";
    case FaultTrigger::Acknowledgement:
      return "Acknowledgement";
    case FaultTrigger::Election:
      return "Election";
    case FaultTrigger::Vote:
      return "Vote";
  }
  return "";
}

} // namespace

std::ostream&
operator<<(std::ostream& stream, const FaultEvent& event)
{
  return stream << "{ .kind = FaultKind::" << to_string(event.kind)
                << ", .target = FaultTarget::" << to_string(event.target)
                << ", .trigger = FaultTrigger::" << to_string(event.trigger)
                << ", .count = " << event.count << ", .choice = " << event.choice
                << ", .gap = milliseconds(" << event.gap.count() << "), .duration = milliseconds("
                << event.duration.count() << ") }";
}

std::ostream&
operator<<(std::ostream& stream, const GroupModelOptions& options)
{
  const SimulatedGroupOptions& group = options.group;
  return stream << "{ .group = { .control_hosts = " << group.control_hosts
                << ", .entry_hosts = " << group.entry_hosts << ", .seeds = " << group.seeds
                << ", .failure_domains = " << group.failure_domains
                << ", .max_delay = milliseconds(" << group.max_delay.count()
                << "), .sync_time = milliseconds(" << group.sync_time.count()
                << "), .document_bytes = " << group.document_bytes << ", .seed = " << group.seed
                << " }, .tolerance = " << options.tolerance << ", .change_interval = milliseconds("
                << options.change_interval.count() << ") }";
}

GroupModelOptions
GroupModel::complete(GroupModelOptions options)
{
  options.group.consensus.target_voters = 2 * options.tolerance + 1;
  options.group.consensus.lost_after = milliseconds(2000);
  options.group.read_interval = kReadInterval;
  return options;
}

GroupModel::GroupModel(GroupModelOptions options)
  : m_options(complete(std::move(options)))
  , m_group(m_options.group)
  , m_random(m_options.group.seed)
  , m_disturbed(m_group.now())
{
}

milliseconds
GroupModel::catch_up() const
{
  return m_options.tolerance > 1 ? milliseconds(6000) : milliseconds(4000);
}

void
GroupModel::step()
{
  while (!m_ends.empty() && m_ends.begin()->first <= m_group.now()) {
    const auto end = std::move(m_ends.begin()->second);
    m_ends.erase(m_ends.begin());
    end();
    m_disturbed = m_group.now();
  }
  m_group.step();
  if (!m_formed) {
    return;
  }
  if (m_group.now() >= m_change_at) {
    m_group.change_routing();
    const auto interval = static_cast<std::uint64_t>(m_options.change_interval.count());
    m_change_at = m_group.now() + milliseconds(interval / 2 + m_random() % (interval + 1));
  }
  check_progress();
  if (is_calm() && m_group.now().time_since_epoch() % kReadInterval == Duration::zero()) {
    check_whole();
  }
}

void
GroupModel::run(milliseconds duration)
{
  for (const TimePoint end = m_group.now() + duration;
       m_group.now() < end && violation().empty();) {
    step();
  }
}

void
GroupModel::form()
{
  run(kFormedWithin);
  if (violation().empty() && !m_group.ready()) {
    m_group.report_violation("no group was formed");
  }
  m_disturbed = m_group.now() - catch_up();
  m_formed = true;
  run(kFreezeForElection);
}

bool
GroupModel::is_lost(std::size_t host) const
{
  const auto is_in = [&](const std::map<std::size_t, TimePoint>& hosts) {
    const auto found = hosts.find(host);
    return found != hosts.end() && found->second > m_group.now();
  };
  return is_in(m_lost_until) || is_in(m_new_until);
}

unsigned
GroupModel::lost_hosts() const
{
  return static_cast<unsigned>(
    std::count_if(m_lost_until.begin(), m_lost_until.end(), [this](const auto& entry) {
      return entry.second > m_group.now();
    }));
}

bool
GroupModel::is_calm() const
{
  return m_ends.empty() && lost_hosts() == 0 && m_group.now() - m_disturbed >= catch_up();
}

std::vector<std::size_t>
GroupModel::select(const FaultEvent& event) const
{
  std::vector<std::size_t> candidates;
  const auto& seeds = m_group.seeds();
  const auto leader = m_group.leader();
  const bool anyone = all_lost();
  for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
    const bool is_seed = std::find(seeds.begin(), seeds.end(), host) != seeds.end();
    const bool matches = event.target == FaultTarget::Any ||
                         (event.target == FaultTarget::Seed && is_seed) ||
                         (event.target == FaultTarget::Other && !is_seed) ||
                         (event.target == FaultTarget::Leader && leader == host);
    if (matches && m_group.runs(host) && (anyone || !is_lost(host))) {
      candidates.push_back(host);
    }
  }
  if (!candidates.empty()) {
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(event.choice % candidates.size()),
                candidates.end());
  }
  candidates.resize(std::min<std::size_t>(candidates.size(), event.count));
  return candidates;
}

bool
GroupModel::may_apply(const FaultEvent& event) const
{
  if (event.kind == FaultKind::ResetLinks || event.kind == FaultKind::ExchangeSeeds ||
      event.count == 0) {
    return true;
  }
  // Hosts without power keep their disks, so that any number of them may lose it.
  const bool keeps_data = event.kind != FaultKind::LostDisk && event.kind != FaultKind::Replace &&
                          event.kind != FaultKind::PowerForAll;
  return ((keeps_data && all_lost()) || lost_hosts() + event.count <= m_options.tolerance) &&
         select(event).size() == event.count;
}

bool
GroupModel::all_lost() const
{
  for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
    if (!m_group.hosts()[host].removed && !is_lost(host)) {
      return false;
    }
  }
  return true;
}

std::uint64_t
GroupModel::highest_term() const
{
  std::uint64_t term = 0;
  for (const auto& host : m_group.hosts()) {
    term = std::max(term, host.replica ? host.replica->status().term : 0);
  }
  return term;
}

std::vector<unsigned>
GroupModel::votes() const
{
  std::vector<unsigned> votes;
  for (const auto& host : m_group.hosts()) {
    votes.push_back(host.votes);
  }
  return votes;
}

std::optional<std::size_t>
GroupModel::wait_for_trigger(const FaultEvent& event)
{
  if (event.trigger == FaultTrigger::None) {
    return std::nullopt;
  }
  const std::size_t acknowledged = m_group.acknowledged().size();
  const std::uint64_t term = highest_term();
  const std::vector<unsigned> votes_before = votes();
  for (milliseconds waited{ 0 }; waited < kTriggerWait && violation().empty();
       waited += SimulatedGroup::kStep) {
    step();
    const std::vector<unsigned> votes_now = votes();
    const auto [voter, before] = std::mismatch(
      votes_now.begin(), votes_now.begin() + votes_before.size(), votes_before.begin());
    if (event.trigger == FaultTrigger::Vote && before != votes_before.end()) {
      return voter - votes_now.begin();
    }
    const bool occurred = event.trigger == FaultTrigger::Acknowledgement
                            ? m_group.acknowledged().size() > acknowledged
                            : event.trigger == FaultTrigger::Election && highest_term() > term;
    if (occurred) {
      break;
    }
  }
  return std::nullopt;
}

void
GroupModel::apply(const FaultEvent& event)
{
  run(event.gap);
  for (milliseconds waited{ 0 }; waited < kMaxWait && violation().empty() && !may_apply(event);
       waited += SimulatedGroup::kStep) {
    step();
  }
  const auto cause = wait_for_trigger(event);
  if (!violation().empty() || !may_apply(event)) {
    return;
  }
  trace(event);
  switch (event.kind) {
    case FaultKind::ResetLinks:
      m_group.reset_links();
      break;
    case FaultKind::ExchangeSeeds:
      exchange_seeds(event);
      break;
    case FaultKind::PowerForAll:
      lose_power_everywhere(event);
      break;
    default: {
      std::vector<std::size_t> hosts = select(event);
      if (event.trigger == FaultTrigger::Vote && cause && (all_lost() || !is_lost(*cause))) {
        hosts = { *cause };
      }
      const bool beyond_tolerance = lost_hosts() + hosts.size() > m_options.tolerance;
      if (event.kind == FaultKind::LostDisk || event.kind == FaultKind::Replace) {
        keep_a_seed(hosts);
      }
      for (const std::size_t host : hosts) {
        strike(host, event);
      }
      if (beyond_tolerance) {
        m_enough_run = std::max(m_enough_run, m_group.now() + event.duration);
      }
    }
  }
  m_disturbed = m_group.now();
}

void
GroupModel::trace(const FaultEvent& event) const
{
  if (m_options.group.trace) {
    std::ostringstream text;
    text << event;
    m_group.trace(text.str());
  }
}

void
GroupModel::schedule(std::size_t host, milliseconds duration, std::function<void()> end)
{
  m_ends.emplace(m_group.now() + duration, std::move(end));
  TimePoint& lost_until = m_lost_until[host];
  lost_until = std::max(lost_until, m_group.now() + duration + catch_up());
}

void
GroupModel::strike(std::size_t host, const FaultEvent& event)
{
  const auto start = [this, host] { m_group.start(host); };
  m_group.trace("fault at " + m_group.hosts()[host].address);
  switch (event.kind) {
    case FaultKind::Restart:
      m_group.kill(host);
      schedule(host, event.duration, start);
      break;
    case FaultKind::PowerLoss:
      m_group.power_off(host);
      schedule(host, event.duration, start);
      break;
    case FaultKind::LostDisk:
      m_group.lose_disk(host);
      schedule(host, event.duration, start);
      break;
    case FaultKind::Replace:
      replace(host, event.duration);
      break;
    case FaultKind::Freeze:
      m_group.set_frozen(host, true);
      schedule(host, event.duration, [this, host] { m_group.set_frozen(host, false); });
      break;
    case FaultKind::CutOff:
    case FaultKind::Deaf:
    case FaultKind::Mute:
      m_group.set_links(host, event.kind == FaultKind::Mute, event.kind == FaultKind::Deaf);
      schedule(host, event.duration, [this, host] { m_group.set_links(host, true, true); });
      break;
    case FaultKind::SlowDisk: {
      const milliseconds usual = m_group.hosts()[host].sync_time;
      m_group.set_sync_time(host, kSlowSync);
      schedule(host, event.duration, [this, host, usual] { m_group.set_sync_time(host, usual); });
      break;
    }
    case FaultKind::ResetLinks:
    case FaultKind::ExchangeSeeds:
    case FaultKind::PowerForAll:
      break;
  }
}

void
GroupModel::replace(std::size_t host, milliseconds duration)
{
  m_group.remove(host);
  const std::size_t successor = m_group.add_host(m_group.hosts()[host].failure_domain);
  m_new_until[successor] = m_group.now() + duration + catch_up();
  schedule(host, duration, [this, host, successor] {
    // A seed that is gone is replaced in the settings as well.
    std::vector<std::size_t> seeds = m_group.seeds();
    std::replace(seeds.begin(), seeds.end(), host, successor);
    m_group.set_seeds(seeds);
    m_group.start(successor);
  });
}

void
GroupModel::keep_a_seed(const std::vector<std::size_t>& lost)
{
  const auto is_usable = [&](std::size_t host) {
    return m_group.runs(host) && !is_lost(host) &&
           std::find(lost.begin(), lost.end(), host) == lost.end();
  };
  std::vector<std::size_t> seeds = m_group.seeds();
  if (std::any_of(seeds.begin(), seeds.end(), is_usable)) {
    return;
  }
  for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
    if (is_usable(host)) {
      seeds.front() = host;
      m_group.set_seeds(seeds);
      return;
    }
  }
}

void
GroupModel::lose_power_everywhere(const FaultEvent& event)
{
  const std::vector<std::size_t> lost_disks =
    event.count == 0 ? std::vector<std::size_t>() : select(event);
  if (!lost_disks.empty()) {
    keep_a_seed(lost_disks);
  }
  for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
    if (m_group.hosts()[host].removed || !m_group.hosts()[host].replica) {
      continue;
    }
    m_group.power_off(host);
    if (std::find(lost_disks.begin(), lost_disks.end(), host) != lost_disks.end()) {
      m_group.lose_disk(host);
    }
    const milliseconds spread =
      SimulatedGroup::kStep *
      (m_random() % static_cast<std::uint64_t>(kStartSpread / SimulatedGroup::kStep));
    schedule(host, event.duration + spread, [this, host] { m_group.start(host); });
    m_enough_run = std::max(m_enough_run, m_group.now() + event.duration + spread);
  }
}

void
GroupModel::exchange_seeds(const FaultEvent& event)
{
  std::vector<std::size_t> running;
  for (std::size_t host = 0; host < m_group.hosts().size(); ++host) {
    if (m_group.runs(host) && !is_lost(host)) {
      running.push_back(host);
    }
  }
  if (running.empty()) {
    return;
  }
  std::rotate(running.begin(),
              running.begin() + static_cast<std::ptrdiff_t>(event.choice % running.size()),
              running.end());
  running.resize(std::min({ running.size(), m_group.seeds().size(), kMaxSeeds }));
  m_group.set_seeds(running);
}

void
GroupModel::check_progress()
{
  if (const milliseconds delay = m_group.longest_delay(); delay >= kInForceWithin) {
    m_group.report_violation("an entry host lacks a version that was acknowledged " +
                             std::to_string(delay.count()) + " ms ago");
  }
  const auto proposed = m_group.oldest_proposal();
  if (!proposed) {
    return;
  }
  const TimePoint begin = std::max({ *proposed, m_disturbed, m_enough_run });
  const milliseconds limit = is_calm() ? kAcknowledgedWhenCalm : kAcknowledgedWithin;
  if (m_group.now() - begin > limit) {
    m_group.report_violation("a version is not acknowledged after " +
                             std::to_string(limit.count()) + " ms");
  }
}

void
GroupModel::check_whole()
{
  const auto leader = m_group.leader();
  if (!leader) {
    m_group.report_violation("no leader although no host is lost");
    return;
  }
  const ReplicaStatus group = m_group.hosts()[*leader].replica->status();
  unsigned hosts = 0;
  unsigned current_voters = 0;
  for (const auto& host : m_group.hosts()) {
    if (host.removed) {
      continue;
    }
    ++hosts;
    const auto member =
      std::find_if(group.membership.begin(), group.membership.end(), [&](const Member& entry) {
        return entry.address == host.address;
      });
    const ReplicaStatus status = host.replica->status();
    if (member == group.membership.end() || !status.in_contact) {
      m_group.report_violation(host.address + " is outside the group; " +
                               m_group.hosts()[*leader].address + " leads");
      return;
    }
    if (status.lag > kReadWhenCalm) {
      m_group.report_violation(host.address + " is not up to date");
    }
    if (m_group.now() - host.read_confirmed > kReadWhenCalm) {
      m_group.report_violation("no confirmed read at " + host.address);
    }
    current_voters += member->voter && status.lag < kReadWhenCalm ? 1 : 0;
  }
  const auto voters = static_cast<unsigned>(std::count_if(
    group.membership.begin(), group.membership.end(), [](const Member& m) { return m.voter; }));
  const unsigned majority = voters / 2 + 1;
  const unsigned bearable = std::min(m_options.tolerance, (hosts - 1) / 2);
  if (current_voters < majority + bearable) {
    m_group.report_violation("the group can't bear " + std::to_string(bearable) +
                             " losses: " + std::to_string(current_voters) + " of " +
                             std::to_string(voters) + " voters run");
  }
}

void
GroupModel::finish()
{
  for (milliseconds waited{ 0 }; waited < kMaxWait && violation().empty() && !is_calm();
       waited += SimulatedGroup::kStep) {
    step();
  }
  // Long enough for all checks, of which each gives the group some time.
  run(kAcknowledgedWithin);
}

void
GroupModel::move_leader_off_seeds()
{
  const auto& seeds = m_group.seeds();
  const auto leads_from_seed = [&] {
    const auto leader = m_group.leader();
    return !leader || std::find(seeds.begin(), seeds.end(), *leader) != seeds.end();
  };
  for (unsigned attempt = 0; attempt < 20 && violation().empty() && leads_from_seed(); ++attempt) {
    apply(
      { .kind = FaultKind::Freeze, .target = FaultTarget::Leader, .duration = kFreezeForElection });
    run(kFreezeForElection + catch_up());
  }
}

} // namespace lovagehold::testing
