#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/state_machine.h"

#include <functional>
#include <memory>
#include <optional>

namespace lovagehold {

struct ControlClientOptions
{
  /// Cluster addresses of the control hosts at the start; also asked when all hosts learned since
  /// are silent.
  std::vector<std::string> control_addresses;
  /// A proposal that has no answer by then fails with Timeout: its effect is not known.
  std::chrono::milliseconds proposal_timeout{ 3000 };
  std::chrono::milliseconds resend_interval{ 200 };
  /// A subscription is renewed this often.
  std::chrono::milliseconds subscribe_interval{ 200 };
  /// A control host that has not answered a subscription for this time is replaced by the next.
  std::chrono::milliseconds subscription_timeout{ 600 };
  /// The same until the state is confirmed; zero: as above.
  std::chrono::milliseconds initial_subscription_timeout{ 0 };
  /// Own failure domain: a control host in it is followed if there is one.
  std::string failure_domain;
  /// False: only sends proposals.
  bool follow = true;
  /// Called with the number of entry hosts that callers are sent to. May be empty.
  std::function<void(std::uint64_t)> on_entry_hosts;
  /// Describes this host to control; empty if it is no entry host.
  std::function<std::optional<EntryPresence>()> presence;
  /// Version of the entry addresses that this host holds; empty if it is no entry host.
  std::function<std::uint64_t()> directory_version;
  /// Distinguishes this process's proposals from all others'; 0 draws a random one.
  std::uint64_t client = 0;
};

/// Follows the replicated state from one control host and sends proposals to the leader. Proposals
/// without an answer are sent again and are still applied once. Not thread-safe; the time is an
/// argument of each call.
class ControlClient
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  using Answer = std::function<void(Result<ApplyResult>)>;
  /// Called when the state is first confirmed by the leader and after each later change.
  using Applied = std::function<void(const StateMachine&)>;

  ControlClient(ControlClientOptions options, Send send, Applied applied);
  ~ControlClient();

  /// Proposes the command; the answer comes once, in a later call of receive or tick.
  void propose(const Command& command, Answer answer, TimePoint now);

  /// Handles ProposeReply, Entries and SnapshotTransfer; ignores the rest.
  void receive(const std::string& from, const ClusterMessage& message, TimePoint now);

  /// Subscribes again and times proposals out; to be called every 100 ms or so.
  void tick(TimePoint now);

  /// Replaces the addresses that are asked when all known control hosts are silent.
  void set_seeds(std::vector<std::string> addresses);

  /// Tells control at once what presence() returns.
  void announce(TimePoint now);

  /// Whether the state has been confirmed by the leader since the start.
  bool ready() const;

  const StateMachine& state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
