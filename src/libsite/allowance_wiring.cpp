#include "allowance_wiring.h"

#include "status_page.h"

#include <random>

namespace lovagehold {

namespace {

// Part of the slack that a ledger's bucket may use for jitter of the arrivals: 8 of 20.
constexpr double kJitterPart = 0.4;

void
counter(MetricsText& text, const char* name, const char* help, std::uint64_t value)
{
  text.begin(name, "counter", help);
  text.sample({}, static_cast<double>(value));
}

void
gauge(MetricsText& text, const char* name, const char* help, std::size_t value)
{
  text.begin(name, "gauge", help);
  text.sample({}, static_cast<double>(value));
}

} // namespace

std::vector<std::string>
member_addresses(const Membership& membership)
{
  std::vector<std::string> addresses;
  addresses.reserve(membership.size());
  for (const Member& member : membership) {
    addresses.push_back(member.address);
  }
  return addresses;
}

AllowanceClientOptions
allowance_client_options(const SiteSettings& settings,
                         EventLog& log,
                         std::function<std::string()> peer)
{
  return { .gate = { .window = settings.allowance.window,
                     .overage = settings.allowance.overage,
                     .slack = settings.allowance.slack,
                     .jitter = kJitterPart * settings.allowance.slack },
           .peer = std::move(peer),
           .report = [&log](std::string_view event,
                            const std::vector<LogField>& fields) { log.info(event, fields); },
           .seed = std::random_device{}() };
}

std::string
choose_peer(const EntryAddresses& directory, const SiteSettings& settings)
{
  const auto local = directory.by_domain.find(settings.failure_domain);
  const auto found = local != directory.by_domain.end() ? local : directory.by_domain.begin();
  if (found == directory.by_domain.end()) {
    return "";
  }
  std::vector<std::string> peers = found->second;
  std::erase(peers, settings.entry_address);
  if (peers.empty()) {
    return "";
  }
  std::random_device random;
  std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
  // All hosts of a deployment use the same port for each other.
  return with_port_of(peers[any(random)], settings.cluster_address);
}

AllowanceBoardOptions
allowance_board_options(const SiteSettings& settings,
                        std::chrono::milliseconds subscription_timeout)
{
  return { .address = settings.cluster_address,
           .ledger = { .window = settings.allowance.window,
                       .jitter = kJitterPart * settings.allowance.slack },
           .subscription_timeout = subscription_timeout,
           .seed = std::random_device{}() };
}

AllowanceView
make_allowance_view(const Replica& replica, const EntryDirectory& entry_hosts, TimePoint now)
{
  const Membership& membership = replica.membership();
  // Without a leader, the hosts that hear from a majority go on: the others can't.
  const bool majority = 2 * replica.running_members().size() > membership.size();
  return { .members = member_addresses(membership),
           .in_contact = replica.in_contact() || majority,
           .hosts = entry_hosts.size(),
           .reached_hosts = entry_hosts.unexpired_hosts(now).size() };
}

void
render_allowance_metrics(MetricsText& text, const AllowanceClient& client, TimePoint now)
{
  const AllowanceCounters& counters = client.counters();
  text.begin("lovagehold_allowance_requests_total",
             "counter",
             "Requests of limited accounts by who decided and how.");
  const auto sample = [&text](const char* mode, const char* result, std::uint64_t value) {
    text.sample({ { "mode", mode }, { "result", result } }, static_cast<double>(value));
  };
  sample("unrestricted", "admitted", counters.admitted);
  sample("queried", "admitted", counters.granted);
  sample("queried", "denied", counters.denied);
  sample("queried", "unknown", counters.unknown);
  sample("denied_before", "denied", counters.denied_again);
  sample("local", "admitted", counters.admitted_locally);
  sample("local", "unknown", counters.refused_locally);
  counter(text,
          "lovagehold_allowance_queries_total",
          "Messages with requests of limited accounts to control hosts.",
          counters.queries);
  counter(text,
          "lovagehold_allowance_relayed_total",
          "Those that went through another entry host.",
          counters.relayed);
  counter(text,
          "lovagehold_allowance_timeouts_total",
          "Those that were not answered in time.",
          counters.timeouts);
  gauge(text,
        "lovagehold_allowance_restricted",
        "Accounts for which this host asks before it forwards a request.",
        client.restricted_count(now));
}

void
render_allowance_metrics(MetricsText& text, const AllowanceBoard& board)
{
  const AllowanceBoard::Counters& counters = board.counters();
  gauge(text,
        "lovagehold_allowance_accounts",
        "Limited accounts whose requests this host counts.",
        board.size());
  gauge(text,
        "lovagehold_allowance_restricted",
        "Accounts near or over their allowance, as any control host says.",
        board.restricted().size());
  text.begin("lovagehold_allowance_requests_total",
             "counter",
             "Requests of limited accounts that this host counted or decided about.");
  const auto sample = [&text](const char* result, std::uint64_t value) {
    text.sample({ { "result", result } }, static_cast<double>(value));
  };
  sample("reported", counters.reported);
  sample("granted", counters.granted);
  sample("denied", counters.denied);
  sample("unknown", counters.unknown);
}

} // namespace lovagehold
