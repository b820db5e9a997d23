#include "lovagehold/file_disk.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lovagehold {

namespace {

Error
make_error(const char* action, const std::string& path)
{
  return { .kind = ErrorKind::Storage,
           .message = std::string("can't ") + action + " " + path + ": " + std::strerror(errno),
           .remedy = "check the data folder's permissions, its free space and the disk" };
}

Result<void>
check(bool succeeded, const char* action, const std::string& path)
{
  if (!succeeded) {
    return make_error(action, path);
  }
  return boost::outcome_v2::success();
}

} // namespace

FileDisk::FileDisk(std::string folder)
  : m_folder(std::move(folder))
{
  ::mkdir(m_folder.c_str(), 0755);
}

FileDisk::~FileDisk()
{
  for (const auto& [file, descriptor] : m_descriptors) {
    ::close(descriptor);
  }
}

std::string
FileDisk::path(const std::string& file) const
{
  return m_folder + "/" + file;
}

void
FileDisk::close(const std::string& file)
{
  const auto found = m_descriptors.find(file);
  if (found != m_descriptors.end()) {
    ::close(found->second);
    m_descriptors.erase(found);
  }
}

Result<int>
FileDisk::open_for_append(const std::string& file)
{
  const auto found = m_descriptors.find(file);
  if (found != m_descriptors.end()) {
    return found->second;
  }
  const int descriptor =
    ::open(path(file).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    return make_error("open", path(file));
  }
  m_descriptors[file] = descriptor;
  return descriptor;
}

Result<void>
FileDisk::append(const std::string& file, const Bytes& bytes)
{
  BOOST_OUTCOME_TRY(descriptor, open_for_append(file));
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return make_error("write", path(file));
    }
    written += static_cast<std::size_t>(count);
  }
  return boost::outcome_v2::success();
}

Result<void>
FileDisk::sync(const std::string& file)
{
  BOOST_OUTCOME_TRY(descriptor, open_for_append(file));
  return check(::fdatasync(descriptor) == 0, "sync", path(file));
}

Result<Bytes>
FileDisk::read(const std::string& file)
{
  const int descriptor = ::open(path(file).c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return make_error("open", path(file));
  }
  struct stat status = {};
  Bytes content(::fstat(descriptor, &status) == 0 ? static_cast<std::size_t>(status.st_size) : 0);
  std::size_t filled = 0;
  ssize_t count = 1;
  while (filled < content.size() && count > 0) {
    count = ::read(descriptor, content.data() + filled, content.size() - filled);
    filled += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  }
  ::close(descriptor);
  if (filled != content.size()) {
    return make_error("read", path(file));
  }
  return content;
}

Result<void>
FileDisk::rename(const std::string& from, const std::string& to)
{
  close(from);
  close(to);
  return check(::rename(path(from).c_str(), path(to).c_str()) == 0, "rename", path(from));
}

Result<void>
FileDisk::remove(const std::string& file)
{
  close(file);
  return check(::unlink(path(file).c_str()) == 0, "remove", path(file));
}

Result<std::vector<std::string>>
FileDisk::list()
{
  DIR* folder = ::opendir(m_folder.c_str());
  if (folder == nullptr) {
    return make_error("list", m_folder);
  }
  std::vector<std::string> files;
  while (const dirent* entry = ::readdir(folder)) {
    if (entry->d_type != DT_DIR) {
      files.emplace_back(entry->d_name);
    }
  }
  ::closedir(folder);
  std::sort(files.begin(), files.end());
  return files;
}

Result<void>
FileDisk::truncate(const std::string& file, std::size_t size)
{
  return check(
    ::truncate(path(file).c_str(), static_cast<off_t>(size)) == 0, "truncate", path(file));
}

Result<void>
FileDisk::sync_folder()
{
  const int descriptor = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
  Result<void> result = check(synced, "sync", m_folder);
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  return result;
}

} // namespace lovagehold
