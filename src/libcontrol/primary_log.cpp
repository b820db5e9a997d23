#include "lovagehold/primary_log.h"

#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lovagehold {

namespace {

Error
storage_error(const std::string& path, const char* what)
{
  return Error{ .kind = ErrorKind::Storage,
                .message = std::string(what) + " " + path + ": " + std::strerror(errno),
                .remedy = "check the folder's permissions and free space" };
}

} // namespace

struct PrimaryLog::Impl
{
  PrimaryLogOptions options;
  Send send;
  StateMachine state;
  std::vector<Bytes> entries;
  std::uint64_t committed = 0;
  int file = -1;
  std::map<std::string, std::uint64_t> acked;
  std::set<std::string> subscribers;
  struct Waiting
  {
    std::string from;
    std::uint64_t id = 0;
  };
  std::map<std::uint64_t, Waiting> waiting;

  bool primary() const { return options.members.front().first == options.self; }

  Result<void> append(const Bytes& command)
  {
    const auto size = static_cast<std::uint32_t>(command.size());
    Bytes record(sizeof size + command.size());
    std::memcpy(record.data(), &size, sizeof size);
    std::copy(command.begin(), command.end(), record.begin() + sizeof size);
    if (::write(file, record.data(), record.size()) != static_cast<ssize_t>(record.size()) ||
        ::fdatasync(file) != 0) {
      return storage_error(options.data_folder, "can't write the log in");
    }
    entries.push_back(command);
    return boost::outcome_v2::success();
  }

  void advance_commit()
  {
    while (committed < entries.size()) {
      std::size_t synced = 1;
      for (const auto& [address, index] : acked) {
        synced += index > committed ? 1 : 0;
      }
      if (synced * 2 <= options.members.size()) {
        return;
      }
      commit_next();
    }
  }

  void commit_next()
  {
    ++committed;
    const Bytes& bytes = entries[committed - 1];
    ApplyResult result;
    if (const Result<Command> command = decode_command(bytes)) {
      result = state.apply(committed, command.value());
    }
    for (const std::string& subscriber : subscribers) {
      send(subscriber, Entries{ .first_index = committed, .commands = { bytes } });
    }
    const auto waiter = waiting.find(committed);
    if (waiter != waiting.end()) {
      send(waiter->second.from,
           ProposeReply{ .id = waiter->second.id, .decided = true, .result = std::move(result) });
      waiting.erase(waiter);
    }
  }

  void handle(const std::string& from, const Propose& message)
  {
    if (!primary()) {
      return;
    }
    const Result<void> stored = append(message.command);
    if (stored.has_error()) {
      send(from, ProposeReply{ .id = message.id, .decided = false, .error = stored.error() });
      return;
    }
    waiting[entries.size()] = { from, message.id };
    for (const auto& [id, address] : options.members) {
      if (id != options.self) {
        send(address, Append{ .index = entries.size(), .command = message.command });
      }
    }
    advance_commit();
  }

  void handle(const std::string& from, const Subscribe& message)
  {
    if (!primary()) {
      return;
    }
    subscribers.insert(from);
    // Entries sent before the member listened were lost; its periodic subscription triggers the
    // resend.
    for (const auto& [id, address] : options.members) {
      if (address == from && id != options.self) {
        for (std::uint64_t index = acked[from] + 1; index <= entries.size(); ++index) {
          send(from, Append{ .index = index, .command = entries[index - 1] });
        }
      }
    }
    Entries backlog{ .first_index = message.from_index };
    for (std::uint64_t index = message.from_index; index <= committed; ++index) {
      backlog.commands.push_back(entries[index - 1]);
    }
    send(from, backlog);
  }

  void handle(const std::string& from, const Append& message)
  {
    if (message.index == entries.size() + 1) {
      if (append(message.command).has_error()) {
        return;
      }
    }
    send(from, AppendAck{ .index = entries.size() });
  }

  void handle(const std::string& from, const AppendAck& message)
  {
    acked[from] = message.index;
    for (std::uint64_t index = message.index + 1; index <= committed; ++index) {
      send(from, Append{ .index = index, .command = entries[index - 1] });
    }
    advance_commit();
  }

  template<class Other>
  void handle(const std::string&, const Other&)
  {
  }
};

PrimaryLog::PrimaryLog(PrimaryLogOptions options, Send send)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = std::move(options);
  m_impl->send = std::move(send);
}

PrimaryLog::~PrimaryLog()
{
  if (m_impl->file >= 0) {
    ::close(m_impl->file);
  }
}

Result<void>
PrimaryLog::open()
{
  const std::string path = m_impl->options.data_folder + "/log";
  ::mkdir(m_impl->options.data_folder.c_str(), 0755);
  m_impl->file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_impl->file < 0) {
    return storage_error(path, "can't open");
  }
  std::uint32_t size = 0;
  while (::read(m_impl->file, &size, sizeof size) == sizeof size) {
    Bytes command(size);
    if (::read(m_impl->file, command.data(), size) != static_cast<ssize_t>(size)) {
      break;
    }
    m_impl->entries.push_back(std::move(command));
  }
  if (m_impl->primary() && m_impl->options.members.size() == 1) {
    m_impl->advance_commit();
  }
  return boost::outcome_v2::success();
}

void
PrimaryLog::receive(const std::string& from, const ClusterMessage& message)
{
  std::visit([&](const auto& typed) { m_impl->handle(from, typed); }, message);
}

} // namespace lovagehold
