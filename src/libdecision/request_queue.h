#pragma once

#include "lovagehold/dispatcher.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <map>

namespace lovagehold {

/// The two queues of a service: urgent requests are ordered by deadline (earliest first), patient
/// requests by arrival. Non-idempotent requests are queued as urgent.
class RequestQueue
{
public:
  /// While requests of both classes wait, one dispatch in this many is patient.
  static constexpr unsigned kPatientInterval = 8;

  /// \param arrival sequence number of the request's arrival; a retried request keeps its number
  void push(const RequestInfo& request, std::uint64_t arrival);

  /// Removes a queued request. \return whether it was queued.
  bool remove(const RequestInfo& request, std::uint64_t arrival);

  /// \param patient_allowed whether a patient request may take the next slot
  /// \return the request to dispatch next; nothing if none may be dispatched.
  std::optional<RequestId> next(bool patient_allowed) const;

  /// Records that the request returned by next() is dispatched. Advances the count towards the next
  /// patient dispatch (1 in 8).
  void dispatched(bool patient);

  /// \return number of dispatches expected before this queued request.
  std::size_t dispatches_before(const RequestInfo& request, std::uint64_t arrival) const;

  std::size_t urgent_size() const { return m_urgent.size(); }
  std::size_t patient_size() const { return m_patient.size(); }
  bool is_empty() const { return m_urgent.empty() && m_patient.empty(); }

private:
  using UrgentKey = std::pair<TimePoint, std::uint64_t>;
  // Order statistics give the rank of a request in O(log n).
  template<class Key>
  using RankedMap = __gnu_pbds::tree<Key,
                                     RequestId,
                                     std::less<>,
                                     __gnu_pbds::rb_tree_tag,
                                     __gnu_pbds::tree_order_statistics_node_update>;

  RankedMap<UrgentKey> m_urgent;
  RankedMap<std::uint64_t> m_patient;
  unsigned m_urgent_since_patient = 0;
  // Smoothed share of patient dispatches among those made while patient requests waited.
  double m_patient_share = 1;
};

} // namespace lovagehold
