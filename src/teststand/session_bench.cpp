#include "../lovagehold/host_session.h"
#include "lovagehold/ownership_tracker.h"
#include "lovagehold/session_table.h"
#include "lovagehold/state_machine.h"

#include <algorithm>
#include <cstdio>

// Measures the leader's processing time and the bytes per heartbeat for several numbers of
// sessions, and the cost of a view change with 1,800 services. Prints key=value lines.
namespace lovagehold {
namespace {

constexpr std::size_t kServices = 1800;
constexpr int kRounds = 50;
constexpr std::chrono::milliseconds kHeartbeatInterval{ 150 };

double
micros_since(TimePoint start)
{
  return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

double
median(std::vector<double> values)
{
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

HostInfo
make_host(std::size_t number)
{
  const std::string digits = std::to_string(number);
  return { .id = "entry-" + digits,
           .incarnation = 1796373600000 + number,
           .failure_domain = "domain-" + std::to_string(number % 11),
           .caller_address = "127.1." + std::to_string(number / 250) + "." + digits + ":7080",
           .cluster_address = "127.1." + std::to_string(number / 250) + "." + digits + ":7081",
           .admin_address = "127.1." + std::to_string(number / 250) + "." + digits + ":7082" };
}

void
measure_heartbeats(std::size_t count)
{
  StateMachine state;
  std::uint64_t index = 0;
  for (std::size_t i = 0; i < count; ++i) {
    state.apply(++index, JoinHost{ make_host(i) });
  }
  SessionTable table;
  TimePoint now = Clock::now();
  table.set_leading(true, now);
  table.set_membership(state.membership(), now);
  std::vector<Bytes> sent;
  sent.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const HostInfo host = make_host(i);
    sent.push_back(encode(ClusterMessage(Heartbeat{ .host = host.id,
                                                    .incarnation = host.incarnation,
                                                    .sequence = host.incarnation + 100,
                                                    .view = state.view(),
                                                    .stable_view = state.view() }),
                          HybridTime{ 1796373600000, 12 }));
  }
  std::vector<double> table_micros;
  std::vector<double> with_codec_micros;
  std::vector<double> tick_micros;
  std::size_t reply_bytes = 0;
  for (int round = 0; round < kRounds; ++round) {
    now += kHeartbeatInterval;
    table.confirm_leadership(now);
    TimePoint start = Clock::now();
    for (const Bytes& bytes : sent) {
      const Result<StampedMessage> stamped = decode_stamped_message(bytes);
      const auto reply = table.receive(std::get<Heartbeat>(stamped.value().message), now);
      reply_bytes = encode(ClusterMessage(*reply), HybridTime{ 1796373600000, 13 }).size();
    }
    with_codec_micros.push_back(micros_since(start) / static_cast<double>(count));
    std::vector<Heartbeat> decoded;
    decoded.reserve(count);
    for (const Bytes& bytes : sent) {
      decoded.push_back(std::get<Heartbeat>(decode_message(bytes).value()));
    }
    start = Clock::now();
    for (const Heartbeat& heartbeat : decoded) {
      table.receive(heartbeat, now);
    }
    table_micros.push_back(micros_since(start) / static_cast<double>(count));
    start = Clock::now();
    table.tick(now);
    tick_micros.push_back(micros_since(start));
  }
  const double per_second = 1000.0 / static_cast<double>(kHeartbeatInterval.count());
  const double core_share =
    static_cast<double>(count) * per_second * median(with_codec_micros) / 1e6 +
    median(tick_micros) * 20 / 1e6;
  std::printf(
    "bench=heartbeat sessions=%zu table_us=%.3f with_codec_us=%.2f tick_us=%.1f "
    "heartbeat_bytes=%zu reply_bytes=%zu leader_core_percent=%.2f host_bytes_per_s=%.0f\n",
    count,
    median(table_micros),
    median(with_codec_micros),
    median(tick_micros),
    sent.back().size(),
    reply_bytes,
    100 * core_share,
    static_cast<double>(sent.back().size() + reply_bytes) * per_second);
}

void
measure_view_change(std::size_t count)
{
  StateMachine state;
  std::uint64_t index = 0;
  for (std::size_t i = 0; i < count; ++i) {
    state.apply(++index, JoinHost{ make_host(i) });
  }
  std::vector<ServiceName> services;
  services.reserve(kServices);
  for (std::size_t i = 0; i < kServices; ++i) {
    services.push_back("service-" + std::to_string(i));
  }
  const HostInfo self = make_host(0);
  OwnershipTracker tracker({ .self = self.id, .incarnation = self.incarnation });
  const TimePoint now = Clock::now();
  tracker.set_services(services, now);
  TimePoint start = Clock::now();
  tracker.set_membership(state.membership(), now);
  const double first_micros = micros_since(start);
  std::vector<double> leave_micros;
  std::vector<double> join_micros;
  for (int round = 0; round < kRounds; ++round) {
    HostInfo other = make_host(1 + static_cast<std::size_t>(round) % (count - 1));
    other.incarnation += static_cast<std::uint64_t>(round);
    state.apply(++index, LeaveHost{ .id = other.id, .incarnation = ~std::uint64_t{ 0 } });
    start = Clock::now();
    tracker.set_membership(state.membership(), now);
    leave_micros.push_back(micros_since(start));
    other.incarnation += 1'000'000;
    state.apply(++index, JoinHost{ other });
    start = Clock::now();
    tracker.set_membership(state.membership(), now);
    join_micros.push_back(micros_since(start));
  }
  std::printf("bench=view_change hosts=%zu services=%zu first_us=%.0f leave_us=%.0f join_us=%.0f\n",
              count,
              kServices,
              first_micros,
              median(leave_micros),
              median(join_micros));
}

// Measures what an entry host spends on one applied claim and on one applied server announcement. A
// claim does not change the routes; an announcement takes effect with the next periodic rebuild.
void
measure_applied_entries(std::size_t hosts)
{
  StateMachine state;
  std::uint64_t index = 0;
  std::string declarations = "services:\n";
  for (std::size_t i = 0; i < kServices; ++i) {
    const std::string name = "service-" + std::to_string(i);
    declarations.append("  ").append(name).append(": {kinds: {read: {path: /}}}\n");
  }
  state.apply(++index,
              SubmitChange{ .number = 1, .file_name = "0001-a.yaml", .content = declarations });
  for (std::size_t i = 0; i < kServices * 10; ++i) {
    state.apply(++index,
                JoinServer{ { .service = "service-" + std::to_string(i % kServices),
                              .id = "server-" + std::to_string(i),
                              .address = "127.2.1.1:8000" } });
  }
  for (std::size_t i = 0; i < hosts; ++i) {
    state.apply(++index, JoinHost{ make_host(i) });
  }
  const HostInfo self = make_host(0);
  EventLog log({ .host = self.id, .level = "off" });
  EntryService entry({ .self = self.id }, {}, log);
  HostSession session(
    { .self = self, .control_addresses = { self.cluster_address } },
    entry,
    [](const std::string&, const ClusterMessage&) {},
    [](const Command&, const std::function<void(const Result<ApplyResult>&)>&) {},
    log);
  TimePoint start = Clock::now();
  session.applied(state, start);
  const double first_micros = micros_since(start);
  std::vector<double> claim_micros;
  std::vector<double> join_micros;
  std::vector<double> rebuild_micros;
  for (int round = 0; round < kRounds; ++round) {
    state.apply(++index, ClaimKey{ .service = "service-0", .key = std::to_string(round) });
    start = Clock::now();
    session.applied(state, start);
    claim_micros.push_back(micros_since(start));
    state.apply(++index,
                JoinServer{ { .service = "service-0",
                              .id = "new-" + std::to_string(round),
                              .address = "127.2.1.1:8000" } });
    start = Clock::now();
    session.applied(state, start);
    join_micros.push_back(micros_since(start));
    // Advance the time far enough for a rebuild to be due.
    start = Clock::now();
    session.tick(state, start + std::chrono::seconds(10) * (round + 1));
    rebuild_micros.push_back(micros_since(start));
  }
  std::vector<double> view_micros;
  for (int round = 0; round < kRounds; ++round) {
    HostInfo other = make_host(1 + static_cast<std::size_t>(round) % (hosts - 1));
    state.apply(++index, LeaveHost{ .id = other.id, .incarnation = ~std::uint64_t{ 0 } });
    start = Clock::now();
    session.applied(state, start);
    view_micros.push_back(micros_since(start));
    other.incarnation += 1'000'000 + static_cast<std::uint64_t>(round);
    state.apply(++index, JoinHost{ other });
    start = Clock::now();
    session.applied(state, start);
    view_micros.push_back(micros_since(start));
  }
  std::printf("bench=applied_entry hosts=%zu services=%zu servers=%zu first_us=%.0f claim_us=%.2f "
              "announcement_us=%.2f rebuild_us=%.0f view_us=%.0f\n",
              hosts,
              kServices,
              kServices * 10,
              first_micros,
              median(claim_micros),
              median(join_micros),
              median(rebuild_micros),
              median(view_micros));
}

} // namespace
} // namespace lovagehold

int
main()
{
  for (const std::size_t count : { 100, 300, 1000, 3000 }) {
    lovagehold::measure_heartbeats(count);
  }
  for (const std::size_t count : { 29, 100, 300, 1000 }) {
    lovagehold::measure_view_change(count);
  }
  for (const std::size_t count : { 29, 100, 300 }) {
    lovagehold::measure_applied_entries(count);
  }
}
