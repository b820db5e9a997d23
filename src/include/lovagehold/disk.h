#pragma once

#include "lovagehold/error.h"
#include "lovagehold/types.h"

#include <string>
#include <vector>

namespace lovagehold {

/// Interface to the files of one folder. Written data is durable only after sync() of the file; the
/// creation, renaming or removal of a file only after sync_folder(). Every error has the kind
/// Storage. Not thread-safe.
class Disk
{
public:
  virtual ~Disk() = default;

  /// Appends the bytes, creating the file if it does not exist. After an error the file may hold
  /// part of them.
  virtual Result<void> append(const std::string& file, const Bytes& bytes) = 0;
  virtual Result<void> sync(const std::string& file) = 0;
  /// \return the whole content.
  virtual Result<Bytes> read(const std::string& file) = 0;
  /// Replaces \p to if it exists.
  virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
  virtual Result<void> remove(const std::string& file) = 0;
  /// \return the file names in ascending order.
  virtual Result<std::vector<std::string>> list() = 0;
  virtual Result<void> truncate(const std::string& file, std::size_t size) = 0;
  virtual Result<void> sync_folder() = 0;
};

} // namespace lovagehold
