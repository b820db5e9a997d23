#pragma once

#include "lovagehold/log_storage.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace lovagehold {

/// Writes records on its own thread. Everything submitted during a write is written together with
/// the next one, with one sync. Thread-safe.
class StorageWorker
{
public:
  /// Called on the worker's thread after each write with the last token written.
  using Done = std::function<void(const Result<void>&, std::uint64_t token)>;

  /// \param threaded false: submit() writes at once and calls \p done before it returns
  StorageWorker(LogStorage& storage, Done done, bool threaded);
  ~StorageWorker();
  StorageWorker(const StorageWorker&) = delete;
  StorageWorker& operator=(const StorageWorker&) = delete;

  /// Ignored after a failed write until restart().
  void submit(std::vector<LogRecord> records, std::uint64_t token);

  /// Accepts records again; the storage has been opened again.
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
