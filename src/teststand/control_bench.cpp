// Measures the replicated log with real files and fsync: all replicas run in one process, each with
// its own data folder and storage thread, and exchange messages through function calls.

#include "lovagehold/control_client.h"
#include "lovagehold/file_disk.h"
#include "lovagehold/replica.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <filesystem>
#include <malloc.h>
#include <tclap/CmdLine.h>

namespace lovagehold {
namespace {

constexpr std::chrono::milliseconds kTickInterval{ 20 };
constexpr std::size_t kPendingChanges = 500;
constexpr std::size_t kMemoryEntries = 10000;
constexpr std::size_t kEntrySizes[] = { 100, 1000, 10000, 60000 };

std::string
address_of(std::size_t number)
{
  return "replica-" + std::to_string(number);
}

Command
make_claim(std::uint64_t number, std::size_t key_bytes)
{
  std::string key = std::to_string(number);
  key.resize(std::max(key.size(), key_bytes), 'k');
  return ClaimKey{
    .service = "stem-ledger", .key = key, .attempt = "host-1/1", .holder = "host-1"
  };
}

// A group of replicas and one client on one thread. Messages are encoded and decoded as they would
// be between processes.
class Group
{
public:
  Group(std::string folder, std::size_t size)
    : m_folder(std::move(folder))
    , m_replicas(size)
    , m_timer(m_context)
  {
    for (std::size_t i = 0; i < size; ++i) {
      start_replica(i);
    }
    ControlClientOptions options;
    for (std::size_t i = 0; i < size; ++i) {
      options.control_addresses.push_back(address_of(i));
    }
    m_client = std::make_unique<ControlClient>(
      options,
      [this](const std::string& to, const ClusterMessage& message) { post("client", to, message); },
      [](const StateMachine&) {});
    tick();
  }

  ControlClient& client() { return *m_client; }
  const std::vector<std::unique_ptr<Replica>>& replicas() const { return m_replicas; }

  template<class Condition>
  void run_until(Condition condition)
  {
    while (!condition()) {
      m_context.run_one();
    }
  }

private:
  void start_replica(std::size_t number)
  {
    ReplicaOptions options{ .host = address_of(number), .address = address_of(number) };
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
      options.members.emplace_back(address_of(i), address_of(i));
    }
    ReplicaPorts ports;
    ports.send = [this, number](const std::string& to, const ClusterMessage& message) {
      post(address_of(number), to, message);
    };
    ports.post = [this](std::function<void()> function) {
      boost::asio::post(m_context, std::move(function));
    };
    ports.report = [](std::string_view, const std::vector<LogField>&) {};
    m_replicas[number] =
      std::make_unique<Replica>(std::move(options),
                                std::move(ports),
                                std::make_unique<FileDisk>(m_folder + "/" + address_of(number)));
    const Result<void> opened = m_replicas[number]->open();
    if (opened.has_error()) {
      std::fprintf(stderr, "control_bench: %s\n", opened.error().message.c_str());
      std::exit(1);
    }
  }

  void post(const std::string& from, const std::string& to, const ClusterMessage& message)
  {
    boost::asio::post(m_context, [this, from, to, bytes = encode(message)] {
      const ClusterMessage received = decode_message(bytes).value();
      if (to == "client") {
        m_client->receive(from, received, Clock::now());
        return;
      }
      for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        if (address_of(i) == to) {
          m_replicas[i]->receive(from, received);
        }
      }
    });
  }

  void tick()
  {
    for (const auto& replica : m_replicas) {
      replica->tick();
    }
    m_client->tick(Clock::now());
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](auto error) {
      if (!error) {
        tick();
      }
    });
  }

  std::string m_folder;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::unique_ptr<ControlClient> m_client;
  // Declared after the replicas, so that it is destroyed before them together with the handlers
  // that refer to them.
  boost::asio::io_context m_context{ 1 };
  boost::asio::steady_timer m_timer;
};

double
millis_since(TimePoint start)
{
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

struct LoadResult
{
  std::vector<double> latency_ms;
  double seconds = 0;
  std::size_t errors = 0;
};

// Keeps the number of proposals in flight constant.
LoadResult
propose_claims(Group& group, std::size_t count, std::size_t in_flight, std::size_t key_bytes)
{
  LoadResult result;
  std::size_t sent = 0;
  std::size_t done = 0;
  const TimePoint start = Clock::now();
  std::function<void()> propose_next = [&] {
    const TimePoint proposed = Clock::now();
    group.client().propose(
      make_claim(++sent, key_bytes),
      [&, proposed](const Result<ApplyResult>& answer) {
        result.errors += answer.has_error() ? 1 : 0;
        result.latency_ms.push_back(millis_since(proposed));
        ++done;
        if (sent < count) {
          propose_next();
        }
      },
      proposed);
  };
  for (std::size_t i = 0; i < std::min(in_flight, count); ++i) {
    propose_next();
  }
  group.run_until([&] { return done == count; });
  result.seconds = millis_since(start) / 1000;
  std::sort(result.latency_ms.begin(), result.latency_ms.end());
  return result;
}

std::uintmax_t
file_bytes(const std::string& folder)
{
  std::uintmax_t bytes = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    bytes += entry.is_regular_file() ? entry.file_size() : 0;
  }
  return bytes;
}

void
measure_throughput(const std::string& folder, std::size_t replicas, std::size_t in_flight)
{
  const std::string data =
    folder + "/throughput-" + std::to_string(replicas) + "-" + std::to_string(in_flight);
  std::filesystem::create_directories(data);
  Group group(data, replicas);
  group.run_until([&] { return group.client().ready(); });
  const std::uintmax_t before = file_bytes(data);
  const std::size_t count = in_flight == 1 ? 1000 : 10000;
  const LoadResult load = propose_claims(group, count, in_flight, 0);
  const auto quantile = [&](double share) {
    return load.latency_ms[static_cast<std::size_t>(share * static_cast<double>(count - 1))];
  };
  std::printf("bench=commit replicas=%zu in_flight=%zu commands=%zu errors=%zu per_second=%.0f "
              "median_ms=%.3f p99_ms=%.3f disk_bytes_per_entry=%.1f\n",
              replicas,
              in_flight,
              count,
              load.errors,
              static_cast<double>(count) / load.seconds,
              quantile(0.5),
              quantile(0.99),
              static_cast<double>(file_bytes(data) - before) /
                static_cast<double>(count * replicas));
}

void
measure_restart(const std::string& folder, std::size_t replicas)
{
  const std::string data = folder + "/restart-" + std::to_string(replicas);
  std::filesystem::create_directories(data);
  {
    Group group(data, replicas);
    group.run_until([&] { return group.client().ready(); });
    std::size_t done = 0;
    for (std::size_t i = 1; i <= kPendingChanges; ++i) {
      group.client().propose(
        SubmitChange{ .number = i,
                      .file_name = std::to_string(i) + "-change.yaml",
                      .content = "services: {s" + std::to_string(i) + ": {}}" },
        [&](const Result<ApplyResult>&) { ++done; },
        Clock::now());
      group.run_until([&] { return done == i; });
    }
  }
  const TimePoint start = Clock::now();
  Group group(data, replicas);
  const double opened = millis_since(start);
  group.run_until([&] { return group.client().ready(); });
  std::printf(
    "bench=restart replicas=%zu pending_changes=%zu open_ms=%.1f confirmed_ms=%.1f changes=%zu\n",
    replicas,
    kPendingChanges,
    opened,
    millis_since(start),
    group.client().state().changes().size());
}

void
measure_memory(std::size_t entry_bytes)
{
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  Consensus consensus({}, RestoredLog{ .self = 1 }, Clock::now());
  const auto complete_storage = [&](Effects effects) {
    while (effects.token != 0) {
      effects = consensus.storage_done(effects.token, Clock::now());
    }
  };
  complete_storage(
    consensus.bootstrap({ { .id = 1, .host = "host-1", .voter = true } }, Clock::now()));
  while (consensus.role() != ConsensusRole::Leader) {
    complete_storage(consensus.tick(Clock::now()));
  }
  for (std::size_t i = 0; i < kMemoryEntries; ++i) {
    complete_storage(
      consensus.propose({ std::make_shared<const Bytes>(entry_bytes) }, Clock::now()));
  }
  const std::size_t used = mallinfo2().uordblks + mallinfo2().hblkhd - before;
  std::printf("bench=memory entries=%zu payload_bytes=%zu log_bytes=%zu overhead_per_entry=%.1f\n",
              kMemoryEntries,
              entry_bytes,
              used,
              static_cast<double>(used) / kMemoryEntries - static_cast<double>(entry_bytes));
}

void
run(const std::string& folder)
{
  std::filesystem::create_directories(folder);
  for (const std::size_t replicas : { 1, 3, 5 }) {
    for (const std::size_t in_flight : { 1, 64, 256 }) {
      measure_throughput(folder, replicas, in_flight);
    }
  }
  for (const std::size_t replicas : { 1, 3 }) {
    measure_restart(folder, replicas);
  }
  for (const std::size_t size : kEntrySizes) {
    measure_memory(size);
  }
}

} // namespace
} // namespace lovagehold

int
main(int argc, char** argv)
{
  TCLAP::CmdLine command("control_bench: replicated log with real files and fsync");
  TCLAP::ValueArg<std::string> folder(
    "", "folder", "new folder on the disk to measure", true, "", "path", command);
  command.parse(argc, argv);
  if (std::filesystem::exists(folder.getValue())) {
    std::fprintf(
      stderr, "control_bench: %s exists; name a new folder\n", folder.getValue().c_str());
    return 1;
  }
  lovagehold::run(folder.getValue());
  std::filesystem::remove_all(folder.getValue());
  return 0;
}
