#pragma once

#include "lovagehold/disk.h"

#include <map>

namespace lovagehold {

/// Disk that stores its files in a folder of the file system. The constructor creates the folder if
/// its parent exists.
class FileDisk : public Disk
{
public:
  explicit FileDisk(std::string folder);
  ~FileDisk() override;
  FileDisk(const FileDisk&) = delete;
  FileDisk& operator=(const FileDisk&) = delete;

  Result<void> append(const std::string& file, const Bytes& bytes) override;
  Result<void> sync(const std::string& file) override;
  Result<Bytes> read(const std::string& file) override;
  Result<void> rename(const std::string& from, const std::string& to) override;
  Result<void> remove(const std::string& file) override;
  Result<std::vector<std::string>> list() override;
  Result<void> truncate(const std::string& file, std::size_t size) override;
  Result<void> sync_folder() override;

private:
  std::string path(const std::string& file) const;
  Result<int> open_for_append(const std::string& file);
  void close(const std::string& file);

  std::string m_folder;
  /// Open descriptors by file name, for appending and syncing.
  std::map<std::string, int> m_descriptors;
};

} // namespace lovagehold
