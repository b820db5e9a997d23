#pragma once

#include "simulated_group.h"

#include <iosfwd>

namespace lovagehold::testing {

/// What happens to control hosts.
enum class FaultKind
{
  Restart,   ///< the process ends and starts again
  PowerLoss, ///< the same; what isn't synced is lost
  LostDisk,  ///< the host returns at its address with an empty disk
  Replace,   ///< the host is gone for good; an empty one starts at a new address
  Freeze,    ///< the process stops running for a while
  CutOff,    ///< no messages from or to the host
  Deaf,      ///< no messages reach the host
  Mute,      ///< no messages of the host reach others
  SlowDisk,
  ResetLinks,    ///< all messages on their way are lost
  ExchangeSeeds, ///< the settings name other control hosts
  PowerForAll,   ///< all hosts lose their power at once, and FaultEvent::count of them their disks
};

/// Which hosts it happens to.
enum class FaultTarget
{
  Any,
  Leader,
  Seed,
  Other, ///< none of the seeds
};

/// The moment at which it happens, once the time has come.
enum class FaultTrigger
{
  None,
  Acknowledgement, ///< right after the next acknowledgement
  Election,        ///< when a host enters the next term
  Vote,            ///< when a host enters a term of another's campaign; it happens to this host
};

struct FaultEvent
{
  FaultKind kind = FaultKind::Restart;
  FaultTarget target = FaultTarget::Any;
  FaultTrigger trigger = FaultTrigger::None;
  /// Hosts that it happens to at once.
  unsigned count = 1;
  /// Selects among the hosts that match the target.
  unsigned choice = 0;
  /// Time since the event before.
  milliseconds gap{ 0 };
  /// Time until the hosts are back.
  milliseconds duration{ 1000 };
};

std::ostream& operator<<(std::ostream& stream, const FaultEvent& event);

struct GroupModelOptions
{
  SimulatedGroupOptions group;
  /// Number of hosts that may be lost at once.
  unsigned tolerance = 1;
  /// Mean interval at which the operator changes the routing.
  milliseconds change_interval{ 300 };
};

std::ostream& operator<<(std::ostream& stream, const GroupModelOptions& options);

/// Lets faults happen to a SimulatedGroup, never to more hosts at once than it has to tolerate, and
/// checks what the group promises meanwhile and afterwards. A host counts as lost until it has been
/// back for some seconds.
class GroupModel
{
public:
  explicit GroupModel(GroupModelOptions options);

  /// Waits until the group is formed and can bear the tolerated losses.
  void form();

  /// Applies the event after its gap, as soon as no more hosts than tolerated are lost with it.
  void apply(const FaultEvent& event);

  /// Lets time pass. Ends early once a promise is broken.
  void run(milliseconds duration);

  /// Waits until no host counts as lost, and checks that the group is whole.
  void finish();

  /// Freezes leaders until a host that is none of the seeds leads.
  void move_leader_off_seeds();

  /// \return the first promise that was broken, or an empty string
  const std::string& violation() const { return m_group.violation(); }

private:
  static GroupModelOptions complete(GroupModelOptions options);
  milliseconds catch_up() const;
  void step();
  /// Whether the host counts as lost, or replaces one that does.
  bool is_lost(std::size_t host) const;
  unsigned lost_hosts() const;
  bool is_calm() const;
  /// \return the hosts that the event happens to; too few if there are not enough
  std::vector<std::size_t> select(const FaultEvent& event) const;
  bool may_apply(const FaultEvent& event) const;
  /// Whether all hosts count as lost, so that nothing is promised but that no data is lost.
  bool all_lost() const;
  /// \return the host that caused the trigger, for FaultTrigger::Vote
  std::optional<std::size_t> wait_for_trigger(const FaultEvent& event);
  std::uint64_t highest_term() const;
  std::vector<unsigned> votes() const;
  void trace(const FaultEvent& event) const;
  /// Begins the fault at the host and schedules its end.
  void strike(std::size_t host, const FaultEvent& event);
  void lose_power_everywhere(const FaultEvent& event);
  void exchange_seeds(const FaultEvent& event);
  void replace(std::size_t host, milliseconds duration);
  /// Names a host that is up as a seed if there is none beside the given ones: an empty host can't
  /// find the group through hosts that are gone or as empty as itself.
  void keep_a_seed(const std::vector<std::size_t>& lost);
  void schedule(std::size_t host, milliseconds duration, std::function<void()> end);
  void check_progress();
  void check_whole();

  GroupModelOptions m_options;
  SimulatedGroup m_group;
  std::mt19937_64 m_random;
  TimePoint m_change_at;
  /// Until when hosts count as lost.
  std::map<std::size_t, TimePoint> m_lost_until;
  /// Until when hosts have not caught up that replace others, which count as lost for them.
  std::map<std::size_t, TimePoint> m_new_until;
  /// The ends of faults.
  std::multimap<TimePoint, std::function<void()>> m_ends;
  /// When a fault last began or ended.
  TimePoint m_disturbed;
  /// When enough hosts run again for changes to be acknowledged.
  TimePoint m_enough_run;
  /// The group has been formed.
  bool m_formed = false;
};

} // namespace lovagehold::testing
