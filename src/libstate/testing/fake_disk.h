#pragma once

#include "lovagehold/disk.h"

#include <map>
#include <memory>
#include <optional>
#include <random>

namespace lovagehold::testing {

/// In-memory disk. A crash loses what was not synced: file names not synced with the folder, and
/// all or part of the bytes not synced with their file.
class FakeDisk : public Disk
{
public:
  Result<void> append(const std::string& file, const Bytes& bytes) override;
  Result<void> sync(const std::string& file) override;
  Result<Bytes> read(const std::string& file) override;
  Result<void> rename(const std::string& from, const std::string& to) override;
  Result<void> remove(const std::string& file) override;
  Result<std::vector<std::string>> list() override;
  Result<void> truncate(const std::string& file, std::size_t size) override;
  Result<void> sync_folder() override;

  /// Loses unsynced data; a random part of an unsynced tail survives.
  void crash(std::mt19937_64& random);
  /// Loses everything.
  void wipe();
  /// The last of this number of further changes fails, and so do all later ones until crash() or
  /// wipe().
  void crash_after(std::optional<unsigned> changes) { m_changes_left = changes; }
  bool crashed() const { return m_changes_left == 0U; }
  /// The next changes, this number of them, fail.
  void fail(unsigned changes) { m_failing = changes; }
  /// Appends beyond this number of bytes fail; nothing means no limit.
  void set_capacity(std::optional<std::size_t> bytes) { m_capacity = bytes; }
  std::size_t used() const;
  /// Inverts one byte, to simulate damage to the medium.
  void damage(const std::string& file, std::size_t offset);

private:
  struct File
  {
    Bytes content;
    Bytes synced;
  };
  using Files = std::map<std::string, std::shared_ptr<File>>;

  /// Counts a change to the disk. \return the error if it is to fail.
  Result<void> count_change();

  Files m_files;
  Files m_durable_files;
  std::optional<unsigned> m_changes_left;
  unsigned m_failing = 0;
  std::optional<std::size_t> m_capacity;
};

/// Forwards to a FakeDisk that outlives the owner of the disk, as a disk does across restarts.
class SharedDisk : public Disk
{
public:
  explicit SharedDisk(FakeDisk& disk)
    : m_disk(disk)
  {
  }
  Result<void> append(const std::string& file, const Bytes& bytes) override
  {
    return m_disk.append(file, bytes);
  }
  Result<void> sync(const std::string& file) override { return m_disk.sync(file); }
  Result<Bytes> read(const std::string& file) override { return m_disk.read(file); }
  Result<void> rename(const std::string& from, const std::string& to) override
  {
    return m_disk.rename(from, to);
  }
  Result<void> remove(const std::string& file) override { return m_disk.remove(file); }
  Result<std::vector<std::string>> list() override { return m_disk.list(); }
  Result<void> truncate(const std::string& file, std::size_t size) override
  {
    return m_disk.truncate(file, size);
  }
  Result<void> sync_folder() override { return m_disk.sync_folder(); }

private:
  FakeDisk& m_disk;
};

} // namespace lovagehold::testing
