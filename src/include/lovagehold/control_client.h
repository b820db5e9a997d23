#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/state_machine.h"

#include <functional>
#include <memory>

namespace lovagehold {

struct ControlClientOptions
{
  /// Cluster addresses of the control hosts.
  std::vector<std::string> control_addresses;
  /// A proposal that has no answer by then fails with Timeout: its effect is not known.
  std::chrono::milliseconds proposal_timeout{ 3000 };
  std::chrono::milliseconds resend_interval{ 200 };
};

/// Follows the replicated state from a host and sends it proposals. Not thread-safe; the time is an
/// argument of each call.
class ControlClient
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  using Answer = std::function<void(Result<ApplyResult>)>;
  /// Called after entries have been applied.
  using Applied = std::function<void(const StateMachine&)>;

  ControlClient(ControlClientOptions options, Send send, Applied applied);
  ~ControlClient();

  /// Proposes the command; the answer comes once, in a later call of receive or tick.
  void propose(const Command& command, Answer answer, TimePoint now);

  /// Handles ProposeReply, Entries and SnapshotTransfer; ignores the rest.
  void receive(const std::string& from, const ClusterMessage& message, TimePoint now);

  /// Subscribes again and times proposals out; to be called every 100 ms or so.
  void tick(TimePoint now);

  /// Whether any state has been received from control.
  bool ready() const;

  const StateMachine& state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
