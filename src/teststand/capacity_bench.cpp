#include "lovagehold/cluster_message.h"
#include "lovagehold/cluster_transport.h"
#include "lovagehold/home_selector.h"
#include "lovagehold/state_machine.h"

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <mutex>
#include <sys/resource.h>

// Measures how memory, processor time and encoded sizes grow with the size of the system. Prints
// one line per point, "slope=NAME x=SIZE y=VALUE unit=UNIT", and one per message type.
// src/build-scripts/capacity.py fits a straight line to the points of each slope.
namespace lovagehold {
namespace {

constexpr std::size_t kTypicalChangeBytes = 500;

void
print_point(const char* slope, double x, double y, const char* unit)
{
  std::printf("slope=%s x=%.0f y=%.3f unit=%s\n", slope, x, y, unit);
}

std::size_t
heap_bytes()
{
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

double
cpu_micros()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

std::string
service_name(std::size_t number)
{
  return "service-" + std::to_string(number);
}

ServerInfo
make_server(std::size_t number)
{
  return { .service = service_name(number / 10),
           .id = "server-" + std::to_string(number),
           .address =
             "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8080",
           .incarnation = 1796372712995 };
}

HostInfo
make_host(std::size_t number)
{
  const std::string ip =
    "10.2." + std::to_string(number / 250) + "." + std::to_string(number % 250);
  return { .id = "entry-" + std::to_string(number),
           .incarnation = 1796372712995,
           .failure_domain = "domain-" + std::to_string(number % 11),
           .caller_address = ip + ":7080",
           .cluster_address = ip + ":7081",
           .admin_address = ip + ":7082" };
}

ClaimKey
make_claim(std::size_t number)
{
  return { .service = service_name(number % 100),
           .key = "6f9619ff-8b86-d011-b42d-" + std::to_string(100000000000 + number),
           .attempt = "entry-7-" + std::to_string(number) + "/1",
           .holder = "entry-7" };
}

SubmitChange
make_change(std::size_t number, std::size_t service)
{
  std::string content = "services:\n  " + service_name(service) +
                        ":\n    kinds:\n      read: {treat: urgent, methods: [GET], path: /read, "
                        "deadline_ms: " +
                        std::to_string(100 + number % 1000) +
                        "}\n      write: {treat: non-idempotent, methods: [POST], path: /write, "
                        "deadline_ms: 3000}\n# ";
  content.resize(std::max(content.size(), kTypicalChangeBytes), 'x');
  content += "\n";
  char digits[16];
  std::snprintf(digits, sizeof digits, "%09zu", number);
  return { .number = number,
           .file_name = std::string(digits) + "-change.yaml",
           .content = content };
}

using MakeCommand = std::function<Command(std::size_t)>;

// Measures the heap growth of the state after a number of commands of one kind.
void
measure_memory(const char* slope, const std::vector<std::size_t>& sizes, const MakeCommand& make)
{
  for (const std::size_t size : sizes) {
    const std::size_t before = heap_bytes();
    StateMachine state;
    for (std::size_t i = 0; i < size; ++i) {
      state.apply(i + 1, make(i + 1));
    }
    print_point(
      slope, static_cast<double>(size), static_cast<double>(heap_bytes() - before), "bytes");
  }
}

// Measures the time to apply one more command to a state of the given size.
void
measure_apply(const char* slope, const std::vector<std::size_t>& sizes, const MakeCommand& make)
{
  constexpr std::size_t kRepeats = 20;
  for (const std::size_t size : sizes) {
    StateMachine state;
    for (std::size_t i = 0; i < size; ++i) {
      state.apply(i + 1, make(i + 1));
    }
    const double start = cpu_micros();
    for (std::size_t i = size; i < size + kRepeats; ++i) {
      state.apply(i + 1, make(i + 1));
    }
    print_point(slope, static_cast<double>(size), (cpu_micros() - start) / kRepeats, "us");
  }
}

constexpr std::size_t kTypicalAnswerBytes = 200;

// Claims a key and records its outcome, because a claim without an outcome reserves space for the
// largest possible response.
void
apply_claim(StateMachine& state, std::size_t number)
{
  const ClaimKey claim = make_claim(number);
  const ApplyResult claimed = state.apply(2 * number + 1, claim);
  const ApplyResult recorded = state.apply(
    2 * number + 2,
    RecordOutcome{ .service = claim.service,
                   .key = claim.key,
                   .attempt = claim.attempt,
                   .stored_response = { .status = 200,
                                        .content_type = "application/json",
                                        .body = std::string(kTypicalAnswerBytes, 'x') } });
  if (claimed.claim != ClaimStatus::Granted || !recorded.accepted) {
    std::fprintf(stderr, "capacity_bench: claim %zu was refused\n", number);
    std::abort();
  }
}

void
measure_claims(const std::vector<std::size_t>& sizes)
{
  constexpr std::size_t kRepeats = 1000;
  for (const std::size_t size : sizes) {
    const std::size_t before = heap_bytes();
    StateMachine state;
    for (std::size_t i = 0; i < size; ++i) {
      apply_claim(state, i);
    }
    const auto bytes = static_cast<double>(heap_bytes() - before);
    const double start = cpu_micros();
    for (std::size_t i = size; i < size + kRepeats; ++i) {
      apply_claim(state, i);
    }
    print_point("memory_claim", static_cast<double>(size), bytes, "bytes");
    print_point("apply_claim", static_cast<double>(size), (cpu_micros() - start) / kRepeats, "us");
  }
}

void
measure_snapshot(const std::vector<std::size_t>& sizes)
{
  for (const std::size_t size : sizes) {
    StateMachine state;
    for (std::size_t i = 0; i < size; ++i) {
      state.apply(i + 1, JoinServer{ make_server(i) });
    }
    const Bytes bytes = state.snapshot();
    const double start = cpu_micros();
    StateMachine restored;
    static_cast<void>(restored.restore(bytes));
    print_point("snapshot_bytes_per_server",
                static_cast<double>(size),
                static_cast<double>(bytes.size()),
                "bytes");
    print_point("snapshot_restore_time", static_cast<double>(size), cpu_micros() - start, "us");
  }
}

// Measures the time to select the home hosts of all services of a region after a membership change.
void
measure_home_selection(const std::vector<std::size_t>& host_counts)
{
  constexpr std::size_t kServices = 450;
  for (const std::size_t count : host_counts) {
    std::vector<HostInfo> hosts;
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(make_host(i));
    }
    const double start = cpu_micros();
    std::size_t found = 0;
    for (std::size_t i = 0; i < kServices; ++i) {
      found += select_homes(service_name(i), hosts, 3).size();
    }
    if (found == 0) {
      std::abort();
    }
    print_point("homes_of_450_services", static_cast<double>(count), cpu_micros() - start, "us");
  }
}

void
measure_codec()
{
  const auto measure = [](const char* name, const ClusterMessage& message) {
    constexpr int kRepeats = 2000;
    const Bytes bytes = encode(message);
    const double start = cpu_micros();
    for (int i = 0; i < kRepeats; ++i) {
      if (decode_message(encode(message)).has_error()) {
        std::abort();
      }
    }
    const double each = (cpu_micros() - start) / kRepeats;
    std::printf("message=%s bytes=%zu codec_us=%.2f\n", name, bytes.size(), each);
  };
  const ServerInfo server = make_server(17999);
  measure(
    "server_renewal",
    ServerRenewal{ .service = server.service, .id = server.id, .incarnation = server.incarnation });
  measure("heartbeat",
          Heartbeat{ .host = "entry-439",
                     .incarnation = server.incarnation,
                     .sequence = 1234567,
                     .view = 1234567,
                     .stable_view = 1234567 });
  measure("heartbeat_reply",
          HeartbeatReply{
            .sequence = 1234567, .lease = std::chrono::milliseconds(600), .stable_view = 1234567 });
  measure("propose_claim", Propose{ .id = 1234567, .command = encode(Command(make_claim(1))) });
  measure("propose_reply", ProposeReply{ .id = 1234567, .decided = true });
  measure("entry_server_join",
          Entries{ .first_index = 1234567, .payloads = { encode(Command(JoinServer{ server })) } });
  ServerInfo cold = server;
  cold.warmup = std::chrono::milliseconds(3000);
  cold.warmup_renewals = 12;
  measure("entry_server_cold",
          Entries{ .first_index = 1234567, .payloads = { encode(Command(JoinServer{ cold })) } });
  measure(
    "entry_change",
    Entries{ .first_index = 1234567, .payloads = { encode(Command(make_change(53000, 1))) } });
}

// Measures the processor time of sender and receiver for messages between two transports, both in
// this process.
void
measure_transport(const std::vector<std::size_t>& counts)
{
  const char* network = std::getenv("LOVAGEHOLD_TEST_NET");
  const std::string prefix = network == nullptr ? "127.10" : network;
  const std::string sender_address = prefix + ".0.1:39511";
  const std::string receiver_address = prefix + ".0.1:39512";
  std::mutex mutex;
  std::condition_variable message_arrived;
  std::size_t received = 0;
  ClusterTransport sender({ sender_address }, [](const std::string&, const Bytes&) {});
  ClusterTransport receiver({ receiver_address }, [&](const std::string&, const Bytes&) {
    const std::lock_guard<std::mutex> lock(mutex);
    ++received;
    message_arrived.notify_all();
  });
  std::string error;
  if (!sender.start(error) || !receiver.start(error)) {
    std::fprintf(stderr, "capacity_bench: %s\n", error.c_str());
    return;
  }
  const Bytes message(80, 1);
  for (const std::size_t count : counts) {
    const double start = cpu_micros();
    for (std::size_t i = 0; i < count; ++i) {
      // Send one message at a time, as heartbeats and renewals are sent, so that writes are not
      // batched.
      std::unique_lock<std::mutex> lock(mutex);
      const std::size_t before = received;
      sender.send(receiver_address, message);
      if (!message_arrived.wait_for(
            lock, std::chrono::seconds(10), [&] { return received > before; })) {
        std::fprintf(stderr, "capacity_bench: a message did not arrive within 10 s\n");
        return;
      }
    }
    print_point("transport_messages", static_cast<double>(count), cpu_micros() - start, "us");
  }
}

void
run()
{
  const std::vector<std::size_t> sizes{ 2250, 4500, 9000, 18000 };
  const std::vector<std::size_t> change_sizes{ 50, 100, 200, 400 };
  const MakeCommand join_server = [](std::size_t i) { return JoinServer{ make_server(i) }; };
  const MakeCommand join_host = [](std::size_t i) { return JoinHost{ make_host(i) }; };
  const MakeCommand change = [](std::size_t i) { return make_change(i, i % 1800); };
  measure_memory("memory_server", sizes, join_server);
  measure_memory("memory_host", { 55, 110, 220, 440 }, join_host);
  measure_claims({ 10000, 20000, 40000, 80000 });
  measure_memory("memory_change", change_sizes, change);
  measure_apply("apply_server", sizes, join_server);
  measure_apply("apply_change", change_sizes, change);
  measure_snapshot(sizes);
  measure_home_selection({ 55, 110, 220, 440 });
  measure_codec();
  measure_transport({ 1000, 2000, 4000, 8000 });
}

} // namespace
} // namespace lovagehold

int
main()
{
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  lovagehold::run();
  return 0;
}
