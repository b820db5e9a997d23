#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/state_machine.h"

#include <functional>
#include <memory>
#include <optional>

namespace lovagehold {

struct ControlClientOptions
{
  /// Cluster addresses of the control hosts at the start, also used as seeds: they are tried again
  /// when none of the control hosts learned since responds.
  std::vector<std::string> control_addresses;
  /// A proposal without a reply after this time fails with Timeout; it may have been applied or
  /// not.
  std::chrono::milliseconds proposal_timeout{ 3000 };
  std::chrono::milliseconds resend_interval{ 200 };
  /// Until the state is confirmed: interval at which the subscription is repeated, and time without
  /// an answer after which the client switches to the next control host.
  std::chrono::milliseconds subscribe_interval{ 200 };
  std::chrono::milliseconds subscription_timeout{ 600 };
  /// Interval at which the subscription is renewed once the state is confirmed.
  std::chrono::milliseconds renew_interval{ 200 };
  /// Once the state is confirmed and gets older than this, see ControlClient::state_age(), the
  /// client looks for a control host that is current, whether its own one answers or not.
  std::chrono::milliseconds max_state_age{ 600 };
  /// Interval at which it asks further control hosts for that; doubles once.
  std::chrono::milliseconds search_interval{ 250 };
  /// Address and failure domain of this host, by which it prefers a control host; see
  /// select_source().
  std::string address;
  std::string failure_domain;
  /// Whether to subscribe to the replicated state; false: the client only sends proposals.
  bool follow = true;
  /// Called when the client begins to follow another control host, with its address and the reason.
  /// May be empty.
  std::function<void(const std::string& address, const char* reason)> on_source;
  /// Called with the number of entry hosts that callers are directed to. May be empty.
  std::function<void(std::uint64_t)> on_entry_hosts;
  /// Called with all control hosts whenever the followed one names them. May be empty.
  std::function<void(const std::vector<ControlAddress>&)> on_control_hosts;
  /// Returns what this host reports to control; empty if it is not an entry host.
  std::function<std::optional<EntryPresence>()> presence;
  /// Returns the version of the EntryAddresses that this host has; empty if it is not an entry
  /// host.
  std::function<std::uint64_t()> directory_version;
  /// Client id of this process's proposals, unique among all processes; 0 draws a random one.
  std::uint64_t client = 0;
  /// Number of the first proposal and of the first request to a control host, see RequestNumbers.
  std::uint64_t first_request = 0;
};

/// Replicates the state from one control host and sends proposals to the leader. Proposals without
/// a reply are sent again, but are applied only once. Follows a control host only while that keeps
/// the state current. Not thread-safe. Reads no clock: the time is an argument of each call.
class ControlClient
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  /// Receives the result of a proposal, or the error Timeout.
  using ResultHandler = std::function<void(Result<ApplyResult>)>;
  /// Called when the state is first confirmed by the leader and after each later change.
  using Applied = std::function<void(const StateMachine&)>;

  ControlClient(ControlClientOptions options, Send send, Applied applied);
  ~ControlClient();

  /// Proposes the command. \p handler is called once, from a later call of receive() or tick().
  void propose(const Command& command, ResultHandler handler, TimePoint now);

  /// Handles ProposeReply, Entries, SourceStatus and SnapshotTransfer; ignores other messages.
  void receive(const std::string& from, const ClusterMessage& message, TimePoint now);

  /// Renews the subscription, resends proposals and times them out. To be called about every 100
  /// ms, or at next_tick() if there are no proposals.
  void tick(TimePoint now);

  /// \return when the subscription has to be renewed, or another control host to be looked for;
  /// meaningful once the state is confirmed
  TimePoint next_tick() const;

  /// No connection to the address could be opened. If the client follows it, it looks for another
  /// control host at once.
  void unreachable(const std::string& address, TimePoint now);

  /// Replaces the seed addresses, which are tried when no known control host responds.
  void set_seeds(std::vector<std::string> addresses);

  /// Sends the current value of ControlClientOptions::presence to control immediately.
  void announce(TimePoint now);

  /// Whether the state has been confirmed by the leader since the process started.
  bool ready() const;

  /// \return time since which changes may have been acknowledged that the state lacks;
  /// Duration::max() before the state is first confirmed
  Duration state_age(TimePoint now) const;

  const StateMachine& state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
