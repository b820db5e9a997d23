#pragma once

#include "lovagehold/log_storage.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lovagehold {

/// Writes log records on its own thread. Records submitted during a write are batched into the next
/// one, with a single sync. Thread-safe.
class StorageWorker
{
public:
  /// Called after each write with the last token written; on the worker's thread if there is one.
  using Done = std::function<void(const Result<void>&, std::uint64_t token)>;

  /// \param threaded false: submit() writes synchronously and calls \p done before it returns
  StorageWorker(LogStorage& storage, Done done, bool threaded);
  ~StorageWorker();
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;

  /// Queues records to be written. After a failed write records are discarded until restart().
  void submit(std::vector<LogRecord> records, std::uint64_t token);

  /// Accepts records again. To be called after the storage has been reopened.
  void restart();

private:
  void run();
  void write(std::unique_lock<std::mutex>& lock);

  LogStorage& m_storage;
  Done m_done;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<LogRecord> m_records;
  std::uint64_t m_token = 0;
  bool m_failed = false;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lovagehold
