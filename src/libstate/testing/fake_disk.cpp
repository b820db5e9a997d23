#include "fake_disk.h"

#include <algorithm>

namespace lovagehold::testing {

namespace {

Error
failure(const std::string& message)
{
  return { .kind = ErrorKind::Storage, .message = message, .remedy = "none" };
}

} // namespace

Result<void>
FakeDisk::count_change()
{
  if (m_changes_left && *m_changes_left > 0) {
    --*m_changes_left;
  }
  if (crashed()) {
    return failure("crashed");
  }
  if (m_failing > 0) {
    --m_failing;
    return failure("injected failure");
  }
  return boost::outcome_v2::success();
}

std::size_t
FakeDisk::used() const
{
  std::size_t bytes = 0;
  for (const auto& [name, file] : m_files) {
    bytes += file->content.size();
  }
  return bytes;
}

Result<void>
FakeDisk::append(const std::string& file, const Bytes& bytes)
{
  auto& entry = m_files[file];
  if (!entry) {
    entry = std::make_shared<File>();
  }
  Result<void> changed = count_change();
  const bool full = m_capacity && used() + bytes.size() > *m_capacity;
  // A failed append may have written part of the bytes.
  const std::size_t written = changed.has_error() || full ? bytes.size() / 2 : bytes.size();
  entry->content.insert(
    entry->content.end(), bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(written));
  if (full) {
    return failure("disk full");
  }
  return changed;
}

Result<void>
FakeDisk::sync(const std::string& file)
{
  BOOST_OUTCOME_TRYV(count_change());
  File& entry = *m_files.at(file);
  entry.synced = entry.content;
  return boost::outcome_v2::success();
}

Result<Bytes>
FakeDisk::read(const std::string& file)
{
  const auto found = m_files.find(file);
  if (found == m_files.end()) {
    return failure("no file " + file);
  }
  return found->second->content;
}

Result<void>
FakeDisk::rename(const std::string& from, const std::string& to)
{
  BOOST_OUTCOME_TRYV(count_change());
  m_files[to] = m_files.at(from);
  m_files.erase(from);
  return boost::outcome_v2::success();
}

Result<void>
FakeDisk::remove(const std::string& file)
{
  BOOST_OUTCOME_TRYV(count_change());
  m_files.erase(file);
  return boost::outcome_v2::success();
}

Result<std::vector<std::string>>
FakeDisk::list()
{
  std::vector<std::string> files;
  for (const auto& [name, file] : m_files) {
    files.push_back(name);
  }
  return files;
}

Result<void>
FakeDisk::truncate(const std::string& file, std::size_t size)
{
  BOOST_OUTCOME_TRYV(count_change());
  m_files.at(file)->content.resize(size);
  return boost::outcome_v2::success();
}

Result<void>
FakeDisk::sync_folder()
{
  BOOST_OUTCOME_TRYV(count_change());
  m_durable_files = m_files;
  return boost::outcome_v2::success();
}

void
FakeDisk::crash(std::mt19937_64& random)
{
  m_files = m_durable_files;
  for (auto& [name, file] : m_files) {
    const std::size_t synced = file->synced.size();
    if (file->content.size() > synced) {
      file->content.resize(synced + random() % (file->content.size() - synced + 1));
      // The last page of a torn write may hold arbitrary data.
      if (file->content.size() > synced && random() % 2 == 0) {
        file->content.back() ^= 0x5a;
      }
    } else {
      file->content = file->synced;
    }
    file->synced = file->content;
  }
  m_changes_left.reset();
  m_failing = 0;
}

void
FakeDisk::wipe()
{
  *this = FakeDisk();
}

void
FakeDisk::damage(const std::string& file, std::size_t offset)
{
  m_files.at(file)->content.at(offset) ^= 0xff;
}

} // namespace lovagehold::testing
