#pragma once

#include "lovagehold/group_tolerance.h"
#include "lovagehold/metrics.h"
#include "lovagehold/replica.h"

namespace lovagehold {

/// What a control host can tell of its group.
struct GroupStatus
{
  /// Cluster address of this host, by which members are listed.
  std::string address;
  bool leads = false;
  std::uint64_t term = 0;
  /// Members of the group as in this host's log. Only a leader knows which of them answer and what
  /// they lack.
  std::vector<MemberState> members;
  /// Set on the leader only, which alone knows who answers.
  std::optional<GroupTolerance> tolerance;
  /// Number of losses that the group is to bear.
  std::size_t wanted_losses = 0;
  /// See ReplicaStatus::outside and ReplicaStatus::joining.
  Duration outside = Duration::zero();
  std::vector<std::string> joining;

  /// \return the number of voters or of learners
  std::size_t count(bool voters) const;

  /// \return the committed entries that the member furthest behind lacks, as far as a leader knows;
  /// meaningless on other hosts
  std::uint64_t most_missing_entries() const;
};

/// \param address cluster address of this host
/// \param wanted_losses number of losses that the group is to bear
/// \param reply_limit a member answers if its last reply is not older than this
GroupStatus make_group_status(const std::string& address,
                              const ReplicaStatus& replica,
                              std::size_t wanted_losses,
                              Duration reply_limit);

/// Adds the metrics of the group.
void render_group_metrics(MetricsText& text, const GroupStatus& group);

} // namespace lovagehold
