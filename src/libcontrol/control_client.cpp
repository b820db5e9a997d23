#include "lovagehold/control_client.h"

namespace lovagehold {

namespace {

struct Pending
{
  ControlClient::Answer answer;
  TimePoint expires;
};

} // namespace

struct ControlClient::Impl
{
  ControlClientOptions options;
  Send send;
  Applied applied;
  StateMachine state;
  bool ready = false;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, Pending> pending;
  std::optional<TimePoint> last_subscribe;

  void send_all(const ClusterMessage& message)
  {
    for (const std::string& address : options.control_addresses) {
      send(address, message);
    }
  }

  void subscribe(TimePoint now)
  {
    last_subscribe = now;
    send_all(Subscribe{ .from_index = state.applied_index() + 1 });
  }

  void handle(const ProposeReply& reply, TimePoint)
  {
    const auto found = pending.find(reply.id);
    if (found == pending.end()) {
      return;
    }
    const Answer answer = std::move(found->second.answer);
    pending.erase(found);
    answer(reply.decided ? Result<ApplyResult>(reply.result) : Result<ApplyResult>(reply.error));
  }

  void handle(const Entries& entries, TimePoint now)
  {
    if (entries.first_index > state.applied_index() + 1) {
      subscribe(now);
      return;
    }
    std::uint64_t index = entries.first_index;
    for (const Bytes& bytes : entries.commands) {
      if (const Result<Command> command = decode_command(bytes)) {
        state.apply(index, command.value());
      }
      ++index;
    }
    ready = true;
    applied(state);
  }

  void handle(const SnapshotTransfer& snapshot, TimePoint)
  {
    if (snapshot.index > state.applied_index() && state.restore(snapshot.state).has_value()) {
      ready = true;
      applied(state);
    }
  }

  template<class Other>
  void handle(const Other&, TimePoint)
  {
  }
};

ControlClient::ControlClient(ControlClientOptions options, Send send, Applied applied)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->options = std::move(options);
  m_impl->send = std::move(send);
  m_impl->applied = std::move(applied);
}

ControlClient::~ControlClient() = default;

void
ControlClient::propose(const Command& command, Answer answer, TimePoint now)
{
  const std::uint64_t id = m_impl->next_id++;
  m_impl->pending[id] = { std::move(answer), now + m_impl->options.proposal_timeout };
  m_impl->send_all(Propose{ .id = id, .command = encode(command) });
}

void
ControlClient::receive(const std::string&, const ClusterMessage& message, TimePoint now)
{
  std::visit([&](const auto& typed) { m_impl->handle(typed, now); }, message);
}

void
ControlClient::tick(TimePoint now)
{
  const bool due =
    !m_impl->last_subscribe || now - *m_impl->last_subscribe >= m_impl->options.resend_interval;
  if (due) {
    m_impl->subscribe(now);
  }
  for (auto entry = m_impl->pending.begin(); entry != m_impl->pending.end();) {
    if (entry->second.expires > now) {
      ++entry;
      continue;
    }
    const Answer answer = std::move(entry->second.answer);
    entry = m_impl->pending.erase(entry);
    answer(Error{ .kind = ErrorKind::Timeout,
                  .message = "control did not answer in time",
                  .remedy = "check with lovagectl status which control hosts are reachable" });
  }
}

bool
ControlClient::ready() const
{
  return m_impl->ready;
}

const StateMachine&
ControlClient::state() const
{
  return m_impl->state;
}

} // namespace lovagehold
