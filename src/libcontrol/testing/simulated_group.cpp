#include "simulated_group.h"

#include <algorithm>

namespace lovagehold::testing {

namespace {

constexpr milliseconds kControlTick{ 50 };
/// Tick of a control host without a leader.
constexpr milliseconds kElectionTick{ 10 };
constexpr milliseconds kEntryTick{ 100 };
/// The operator tries another control host after this time.
constexpr milliseconds kOperatorRetry{ 500 };
/// A leader that a majority has not answered for this time counts as lost.
constexpr milliseconds kLeaderContact{ 300 };
const std::string kEntryPrefix = "entry-";

bool
is_vote(const ClusterMessage& message)
{
  const auto* envelope = std::get_if<ConsensusEnvelope>(&message);
  const auto* reply = envelope == nullptr ? nullptr : std::get_if<VoteReply>(&envelope->message);
  return reply != nullptr && reply->granted && !reply->pre_vote;
}

} // namespace

/// A sync takes effect when the functions that were posted after it run, at the latest.
class SimulatedGroup::SlowDisk : public SharedDisk
{
public:
  explicit SlowDisk(FakeDisk& disk)
    : SharedDisk(disk)
  {
  }

  bool has_pending() const { return !m_pending.empty(); }

  Result<void> finish_syncs()
  {
    for (const std::string& file : std::exchange(m_pending, {})) {
      BOOST_OUTCOME_TRYV(SharedDisk::sync(file));
    }
    return boost::outcome_v2::success();
  }

  Result<void> sync(const std::string& file) override
  {
    m_pending.insert(file);
    return boost::outcome_v2::success();
  }
  Result<void> rename(const std::string& from, const std::string& to) override
  {
    BOOST_OUTCOME_TRYV(finish_syncs());
    return SharedDisk::rename(from, to);
  }
  Result<void> remove(const std::string& file) override
  {
    BOOST_OUTCOME_TRYV(finish_syncs());
    return SharedDisk::remove(file);
  }
  Result<void> truncate(const std::string& file, std::size_t size) override
  {
    BOOST_OUTCOME_TRYV(finish_syncs());
    return SharedDisk::truncate(file, size);
  }
  Result<void> sync_folder() override
  {
    BOOST_OUTCOME_TRYV(finish_syncs());
    return SharedDisk::sync_folder();
  }

private:
  std::set<std::string> m_pending;
};

SimulatedGroup::SimulatedGroup(SimulatedGroupOptions options)
  : m_options(std::move(options))
  , m_random(m_options.seed)
{
  for (unsigned number = 0; number < m_options.control_hosts; ++number) {
    add_host("domain-" + std::to_string(number % m_options.failure_domains));
  }
  const unsigned seeds = m_options.seeds == 0 ? m_options.control_hosts : m_options.seeds;
  for (std::size_t number = 0; number < std::min<std::size_t>(seeds, m_hosts.size()); ++number) {
    m_seeds.push_back(number);
  }
  for (std::size_t number = 0; number < m_hosts.size(); ++number) {
    launch(number, true);
  }
  for (unsigned number = 0; number < m_options.entry_hosts; ++number) {
    ControlClientOptions client_options = entry_options();
    std::vector<std::string>& addresses = client_options.control_addresses;
    addresses = seed_addresses();
    std::rotate(addresses.begin(),
                addresses.begin() + static_cast<std::ptrdiff_t>(number % addresses.size()),
                addresses.end());
    client_options.client = number + 2;
    client_options.address = kEntryPrefix + std::to_string(number);
    m_entry_hosts.push_back(make_client(client_options, client_options.address));
  }
}

SimulatedGroup::~SimulatedGroup() = default;

// The timing of EntryHost.
ControlClientOptions
SimulatedGroup::entry_options()
{
  return { .subscribe_interval = milliseconds(50),
           .subscription_timeout = milliseconds(1000),
           .renew_interval = milliseconds(500),
           .max_state_age = milliseconds(1000) };
}

std::vector<std::string>
SimulatedGroup::seed_addresses() const
{
  std::vector<std::string> addresses;
  for (const std::size_t seed : m_seeds) {
    addresses.push_back(m_hosts[seed].address);
  }
  return addresses;
}

std::size_t
SimulatedGroup::add_host(const std::string& failure_domain)
{
  const std::size_t number = m_hosts.size();
  Host& host = m_hosts.emplace_back();
  m_processes.emplace_back();
  host.address = "control-" + std::to_string(number);
  host.failure_domain = failure_domain;
  host.sync_time = m_options.sync_time;
  m_numbers[host.address] = number;
  return number;
}

// The options that ControlHost sets.
void
SimulatedGroup::launch(std::size_t number, bool first_start)
{
  Host& host = m_hosts[number];
  Process& process = m_processes[number];
  process = {};
  // The ticks of different hosts don't coincide.
  process.tick_at = m_now + kStep * (m_random() % static_cast<std::uint64_t>(kControlTick / kStep));
  ReplicaOptions options{ .host = host.address,
                          .address = host.address,
                          .failure_domain = host.failure_domain,
                          .may_bootstrap = first_start,
                          .consensus = m_options.consensus };
  std::vector<std::string> seeds = seed_addresses();
  std::sort(seeds.begin(), seeds.end());
  for (const std::string& seed : seeds) {
    options.members.emplace_back(seed, seed);
  }
  options.snapshot_bytes = std::size_t{ 64 } << 10;
  options.subscription_timeout = milliseconds(3000);
  options.storage_thread = false;
  options.seed = m_random() | 1U;
  ReplicaPorts ports;
  ports.send = [this, number](const std::string& to, const ClusterMessage& message) {
    send(m_hosts[number].address, to, message);
  };
  ports.post = [this, number](std::function<void()> function) {
    Process& target = m_processes[number];
    const bool writes = target.disk != nullptr && target.disk->has_pending();
    TimePoint due = m_now + (writes ? m_hosts[number].sync_time : milliseconds(0));
    if (!target.posted.empty()) {
      due = std::max(due, target.posted.back().due);
    }
    target.posted.push_back({ .due = due, .function = std::move(function) });
  };
  ports.report = [this, number](std::string_view event, const std::vector<LogField>& fields) {
    on_report(number, event, fields);
  };
  ports.now = [this] { return m_now; };
  process.client = make_client({ .control_addresses = { host.address },
                                 .proposal_timeout = milliseconds(2500),
                                 .resend_interval = milliseconds(400),
                                 .follow = false,
                                 .client = m_random() | 1U },
                               host.address);
  auto disk = std::make_unique<SlowDisk>(host.disk);
  process.disk = disk.get();
  host.read_confirmed = m_now;
  host.replica = std::make_unique<Replica>(std::move(options), std::move(ports), std::move(disk));
  const Result<void> opened = host.replica->open();
  if (opened.has_error()) {
    report_violation(host.address + " can't open its log: " + opened.error().message);
    host.replica.reset();
  }
}

std::unique_ptr<ControlClient>
SimulatedGroup::make_client(const ControlClientOptions& options, const std::string& address)
{
  return std::make_unique<ControlClient>(
    options,
    [this, address](const std::string& to, const ClusterMessage& message) {
      send(address, to, message);
    },
    [](const StateMachine&) {});
}

void
SimulatedGroup::kill(std::size_t number)
{
  m_hosts[number].replica.reset();
  m_hosts[number].frozen = false;
  m_processes[number] = {};
}

void
SimulatedGroup::power_off(std::size_t number)
{
  kill(number);
  m_hosts[number].disk.crash(m_random);
}

void
SimulatedGroup::lose_disk(std::size_t number)
{
  kill(number);
  m_hosts[number].disk.wipe();
  ++m_hosts[number].lost_disks;
}

void
SimulatedGroup::start(std::size_t number)
{
  if (!m_hosts[number].removed && !m_hosts[number].replica) {
    launch(number, false);
  }
}

void
SimulatedGroup::remove(std::size_t number)
{
  kill(number);
  m_hosts[number].removed = true;
}

void
SimulatedGroup::set_links(std::size_t number, bool hears, bool is_heard)
{
  m_hosts[number].hears = hears;
  m_hosts[number].is_heard = is_heard;
}

void
SimulatedGroup::set_seeds(const std::vector<std::size_t>& hosts)
{
  m_seeds = hosts;
  const std::vector<std::string> addresses = seed_addresses();
  for (const Host& host : m_hosts) {
    if (host.replica) {
      host.replica->set_seeds(addresses);
    }
  }
  for (const auto& entry_host : m_entry_hosts) {
    entry_host->set_seeds(addresses);
  }
}

std::optional<std::size_t>
SimulatedGroup::leader() const
{
  std::optional<std::size_t> found;
  for (std::size_t number = 0; number < m_hosts.size(); ++number) {
    if (runs(number) && m_hosts[number].replica->leads() &&
        (!found ||
         m_hosts[number].replica->status().term > m_hosts[*found].replica->status().term)) {
      found = number;
    }
  }
  return found;
}

bool
SimulatedGroup::ready() const
{
  return leader() && std::all_of(m_entry_hosts.begin(), m_entry_hosts.end(), [](const auto& e) {
           return e->ready();
         });
}

std::uint64_t
SimulatedGroup::change_routing()
{
  const std::uint64_t version = ++m_version;
  m_changes[version] = { .proposed = m_now, .retry_at = m_now };
  send_changes();
  return version;
}

void
SimulatedGroup::send_changes()
{
  for (auto& [version, change] : m_changes) {
    if (change.retry_at > m_now) {
      continue;
    }
    change.retry_at = m_now + kOperatorRetry;
    do {
      m_next_host = (m_next_host + 1) % m_hosts.size();
    } while (m_hosts[m_next_host].removed);
    const Host& host = m_hosts[m_next_host];
    if (runs(m_next_host) && host.hears && host.is_heard) {
      send_change(version, m_next_host);
    }
  }
}

void
SimulatedGroup::send_change(std::uint64_t version, std::size_t number)
{
  std::string document = "version " + std::to_string(version);
  document.resize(std::max(document.size(), m_options.document_bytes), ' ');
  m_processes[number].client->propose(
    ReplaceRouting{ .version = version, .document = std::move(document) },
    [this, version, number](const Result<ApplyResult>& result) {
      if (result.has_value() && m_hosts[number].is_heard) {
        m_changes.erase(version);
        m_acknowledged.try_emplace(version, m_now);
      }
    },
    m_now);
}

std::uint64_t
SimulatedGroup::last_acknowledged() const
{
  return m_acknowledged.empty() ? 0 : m_acknowledged.rbegin()->first;
}

std::optional<TimePoint>
SimulatedGroup::oldest_proposal() const
{
  return m_changes.empty() ? std::nullopt : std::optional(m_changes.begin()->second.proposed);
}

bool
SimulatedGroup::is_due(milliseconds interval) const
{
  return interval > milliseconds(0) && m_now.time_since_epoch() % interval == Duration::zero();
}

milliseconds
SimulatedGroup::link_delay(const std::string& from, const std::string& to) const
{
  const auto choices =
    static_cast<std::size_t>((m_options.max_delay - m_options.min_delay) / kStep) + 1;
  return m_options.min_delay + kStep * (std::hash<std::string>()(from + " " + to) % choices);
}

std::optional<std::size_t>
SimulatedGroup::control_number(const std::string& address) const
{
  const auto found = m_numbers.find(address);
  return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
}

void
SimulatedGroup::send(const std::string& from, const std::string& to, const ClusterMessage& message)
{
  const auto sender = control_number(from);
  m_hosts[sender.value_or(0)].votes += is_vote(message) ? 1 : 0;
  const auto receiver = control_number(to);
  const bool is_cut =
    (sender && !m_hosts[*sender].is_heard) || (receiver && !m_hosts[*receiver].hears);
  if (!is_cut && !(m_options.is_lost && m_options.is_lost(from, to, message))) {
    m_messages.emplace(m_now + link_delay(from, to),
                       Message{ .from = from, .to = to, .bytes = encode(message) });
  }
}

void
SimulatedGroup::deliver(Message message)
{
  const auto number = control_number(message.to);
  if (number && m_hosts[*number].frozen) {
    m_processes[*number].held.push_back(std::move(message));
    return;
  }
  const ClusterMessage received = decode_message(message.bytes).value();
  if (number) {
    if (m_hosts[*number].replica && m_hosts[*number].hears) {
      if (std::holds_alternative<ProposeReply>(received)) {
        m_processes[*number].client->receive(message.from, received, m_now);
      } else {
        m_hosts[*number].replica->receive(message.from, received);
      }
    }
  } else {
    m_entry_hosts[std::stoul(message.to.substr(kEntryPrefix.size()))]->receive(
      message.from, received, m_now);
  }
}

void
SimulatedGroup::run_posted(std::size_t number)
{
  Process& process = m_processes[number];
  while (!process.posted.empty() && process.posted.front().due <= m_now) {
    const Posted posted = std::move(process.posted.front());
    process.posted.pop_front();
    if (process.disk->finish_syncs().has_error()) {
      report_violation("the disk of " + m_hosts[number].address + " failed");
    }
    posted.function();
  }
}

void
SimulatedGroup::run_host(std::size_t number)
{
  Host& host = m_hosts[number];
  for (Message& message : std::exchange(m_processes[number].held, {})) {
    deliver(std::move(message));
  }
  run_posted(number);
  TimePoint& tick_at = m_processes[number].tick_at;
  if (tick_at <= m_now) {
    host.replica->tick();
    m_processes[number].client->tick(m_now);
    tick_at = m_now + (host.replica->status().in_contact ? kControlTick : kElectionTick);
  }
  run_posted(number);
  check_leader(number);
  if (is_due(m_options.read_interval)) {
    request_read(number);
  }
}

void
SimulatedGroup::request_read(std::size_t number)
{
  const std::uint64_t acknowledged = last_acknowledged();
  m_hosts[number].replica->confirm_leadership(
    [this, number, acknowledged](std::optional<TimePoint> requested) {
      if (!requested) {
        return;
      }
      Host& host = m_hosts[number];
      host.read_confirmed = std::max(host.read_confirmed, *requested);
      const std::uint64_t version = host.replica->machine().routing_version();
      if (version < acknowledged) {
        report_violation("a confirmed read at " + host.address + " shows version " +
                         std::to_string(version) + " after version " +
                         std::to_string(acknowledged) + " was acknowledged");
      }
    });
}

void
SimulatedGroup::check_leader(std::size_t number)
{
  const Host& host = m_hosts[number];
  if (!host.replica->leads()) {
    return;
  }
  const std::pair leader(host.address, host.lost_disks);
  const ReplicaStatus status = host.replica->status();
  check_new_voters(number, status);
  const auto known = m_leader_by_term.try_emplace(status.term, leader).first;
  if (known->second != leader) {
    report_violation(host.address + " and " + known->second.first + " lead in term " +
                     std::to_string(known->first));
  }
}

// A member that becomes a voter must hold what was committed before.
void
SimulatedGroup::check_new_voters(std::size_t number, const ReplicaStatus& status)
{
  Process& process = m_processes[number];
  std::set<MemberId> voters;
  for (const Member& member : status.membership) {
    if (member.voter) {
      voters.insert(member.id);
    }
  }
  for (const MemberProgress& member : status.progress) {
    const bool is_new = voters.count(member.id) > 0 && process.led_voters.count(member.id) == 0;
    if (status.term == process.led_term && is_new && member.stored_index < process.led_commit) {
      report_violation("a member that lacks committed entries became a voter");
    }
  }
  process.led_term = status.term;
  process.led_commit = status.commit;
  process.led_voters = std::move(voters);
}

void
SimulatedGroup::on_report(std::size_t number,
                          std::string_view event,
                          const std::vector<LogField>& fields)
{
  if (event == "group_founded" && ++m_groups_founded > 1) {
    report_violation("a second group was founded");
  }
  if (m_options.trace) {
    std::string text = m_hosts[number].address + " " + std::string(event);
    for (const auto& [key, value] : fields) {
      text += " " + std::string(key) + "=" + value;
    }
    trace(text);
  }
}

std::string
SimulatedGroup::time() const
{
  const auto since_start =
    std::chrono::duration_cast<milliseconds>(m_now - TimePoint(std::chrono::hours(1)));
  return std::to_string(since_start.count());
}

void
SimulatedGroup::trace(const std::string& text) const
{
  if (m_options.trace) {
    m_options.trace(time() + " " + text);
  }
}

void
SimulatedGroup::report_violation(const std::string& violation)
{
  if (m_violation.empty()) {
    m_violation = "at " + time() + " ms: " + violation;
    trace(violation);
  }
}

void
SimulatedGroup::step()
{
  m_now += kStep;
  while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
    Message message = std::move(m_messages.begin()->second);
    m_messages.erase(m_messages.begin());
    deliver(std::move(message));
  }
  for (std::size_t number = 0; number < m_hosts.size(); ++number) {
    if (runs(number)) {
      run_host(number);
    }
  }
  if (!has_effective_leader()) {
    m_leaderless_until = m_now;
  }
  if (is_due(kEntryTick)) {
    send_changes();
    for (const auto& entry_host : m_entry_hosts) {
      entry_host->tick(m_now);
    }
  }
}

bool
SimulatedGroup::has_effective_leader() const
{
  return std::any_of(m_hosts.begin(), m_hosts.end(), [](const Host& host) {
    return host.replica && host.replica->leads() && host.replica->status().lag < kLeaderContact;
  });
}

milliseconds
SimulatedGroup::longest_delay() const
{
  milliseconds longest{ 0 };
  for (const auto& entry_host : m_entry_hosts) {
    const auto missing = m_acknowledged.upper_bound(entry_host->state().routing_version());
    if (missing != m_acknowledged.end()) {
      // A later version may have been acknowledged earlier.
      TimePoint oldest = m_now;
      for (auto version = missing; version != m_acknowledged.end(); ++version) {
        oldest = std::min(oldest, version->second);
      }
      const TimePoint begin = std::max(oldest, m_leaderless_until);
      longest = std::max(longest, std::chrono::duration_cast<milliseconds>(m_now - begin));
    }
  }
  return longest;
}

} // namespace lovagehold::testing
