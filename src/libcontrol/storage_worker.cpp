#include "storage_worker.h"

namespace lovagehold {

StorageWorker::StorageWorker(LogStorage& storage, Done done, bool threaded)
  : m_storage(storage)
  , m_done(std::move(done))
{
  if (threaded) {
    m_thread = std::thread([this] { run(); });
  }
}

StorageWorker::~StorageWorker()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
StorageWorker::submit(std::vector<LogRecord> records, std::uint64_t token)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_failed) {
    return;
  }
  m_records.insert(m_records.end(),
                   std::make_move_iterator(records.begin()),
                   std::make_move_iterator(records.end()));
  m_token = token;
  if (!m_thread.joinable()) {
    write(lock);
  }
  m_changed.notify_one();
}

void
StorageWorker::restart()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_failed = false;
}

void
StorageWorker::run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (true) {
    m_changed.wait(lock, [this] { return m_stopping || !m_records.empty(); });
    if (m_stopping) {
      return;
    }
    write(lock);
  }
}

void
StorageWorker::write(std::unique_lock<std::mutex>& lock)
{
  const std::vector<LogRecord> records = std::exchange(m_records, {});
  const std::uint64_t token = m_token;
  lock.unlock();
  const Result<void> result = m_storage.write(records);
  lock.lock();
  if (result.has_error()) {
    m_failed = true;
    m_records.clear();
  }
  lock.unlock();
  m_done(result, token);
  lock.lock();
}

} // namespace lovagehold
